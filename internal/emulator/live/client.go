package live

import (
	"encoding/base64"
	"fmt"
	"sync"
	"time"

	"aniseloft/internal/emulator/clients"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// client sends one query: the first try and the retries.
type client struct {
	rehearsal *Rehearsal
	query     scenario.Query
	state     observer.ClientQuery
	tries     int // number of tries so far
}

// try sends the query once. Engines can look the request up by its ID until requestRetentionMS after its end.
func (cl *client) try() {
	d := cl.rehearsal
	now := d.clock.Now()
	cl.tries++
	until := clients.TryDeadline(d.scenario, cl.query, &cl.state, now)
	coordinator := d.pickCoordinator(cl.query.Zone)
	if coordinator < 0 {
		cl.end(observer.Lost, 0)
		return
	}
	t := &try{client: cl, id: cl.tryID(), request: &clientRequest{
		query: cl.query, coordinator: coordinator,
		observed: &observer.Request{
			Name: fmt.Sprintf("request %d.%d", cl.query.Number, cl.tries), Class: cl.query.Class, Key: cl.query.DataSet, Until: until,
		},
	}}
	d.requestSent(now, t)
	t.request.sentAt = now
	class := d.scenario.Classes[cl.query.Class]
	cancel, err := d.clientPools[coordinator].send(class.Name, cl.params(t.id, until), t.answered)
	if err != nil {
		d.sharedObserver.with(func(o *observer.Observer) { o.ClientDisconnected(now, coordinator, t.request.observed) }) // the request was not sent
		t.finish(observer.Lost, 0)
		return
	}
	d.clock.after(until+d.scenario.Rules.AnswerSlackMS+socketSlackMS+1, func() { t.timeOut(cancel) })
}

// tryID returns the request ID of the client's current try.
func (cl *client) tryID() string {
	return fmt.Sprintf("%016x", uint64(cl.query.Number)<<8|uint64(cl.tries))
}

// params returns the parameters of a JSON-RPC request; the parameter ttl is the time until the deadline, in ms.
func (cl *client) params(id string, until float64) map[string]any {
	d := cl.rehearsal
	class := d.scenario.Classes[cl.query.Class]
	statement := fmt.Sprintf("select * from sales_%d.trips -- %s", cl.query.DataSet, id)
	if class.LoadsDataSet {
		statement = fmt.Sprintf("insert into sales_%d.trips select * from staging.x -- %s", cl.query.DataSet, id)
	}
	params := map[string]any{
		"call": id, "ttl": max(until-d.clock.Now(), 1), "work": cl.query.EstimatedWork,
		"ram": cl.query.EstimatedMB, "doc": base64.StdEncoding.EncodeToString([]byte(statement)),
	}
	if class.Idempotency == "by_key" {
		params["dedupe"] = fmt.Sprintf("%032x", cl.query.Number)
	}
	if d.scenario.Clients.MarksRetries && cl.tries > 1 {
		params["rep"] = "1"
	}
	return params
}

// pickCoordinator returns the index of the coordinator to which the front proxy sends a client of a zone, or -1.
func (d *Rehearsal) pickCoordinator(zone int) int {
	d.frontProxyMu.Lock()
	defer d.frontProxyMu.Unlock()
	return d.frontProxy.Pick(zone)
}

// requestSent registers a request, before it is sent, for the engines and with the observer.
func (d *Rehearsal) requestSent(now float64, t *try) {
	coordinator := t.request.coordinator
	d.mu.Lock()
	paused := d.paused[coordinator]
	d.mu.Unlock()
	d.sharedObserver.mu.Lock()
	defer d.sharedObserver.mu.Unlock()
	d.sharedObserver.requests[t.id] = t.request
	d.sharedObserver.inner.RequestReceived(now, coordinator, t.request.observed)
	if paused {
		d.sharedObserver.inner.CoordinatorPaused(coordinator)
	}
}

// try is one request of a client. Only the first of its possible ends counts: an answer, the loss of
// its connection or its timeout.
type try struct {
	client  *client
	id      string
	request *clientRequest
	once    sync.Once
}

// rejectedCode is the JSON-RPC error code of a request that was rejected and may be retried.
const rejectedCode = -32000

// answered handles the answer to the try, or nil if the connection ended without an answer.
func (t *try) answered(a *answer, arrivedAt time.Time) {
	d := t.client.rehearsal
	if a == nil {
		d.connectionLost(d.clock.Now(), t)
		t.finish(observer.Lost, 0)
		return
	}
	result, retryAfterMS := a.outcome()
	d.requestAnswered(d.clock.FromWallTime(arrivedAt), t.request, result)
	t.finish(result, retryAfterMS)
}

// outcome returns the result for the client and, if the request was rejected, the time after which it may retry.
func (a *answer) outcome() (result observer.TryResult, retryAfterMS float64) {
	switch {
	case a.Result != nil:
		return observer.Served, 0
	case a.Error != nil && a.Error.Code == rejectedCode:
		return observer.Rejected, a.Error.Data.Pushback
	}
	return observer.Failed, 0
}

// finish ends the try with its result. The request stays registered for requestRetentionMS, because late messages may
// still reach an engine.
func (t *try) finish(result observer.TryResult, retryAfterMS float64) {
	d := t.client.rehearsal
	t.once.Do(func() {
		t.client.end(result, retryAfterMS)
		d.clock.after(d.clock.Now()+requestRetentionMS, func() {
			d.sharedObserver.mu.Lock()
			delete(d.sharedObserver.requests, t.id)
			d.sharedObserver.mu.Unlock()
		})
	})
}

// timeOut ends a try whose answer is late, and cancels its request.
func (t *try) timeOut(cancel func()) {
	d := t.client.rehearsal
	t.once.Do(func() {
		cancel()
		d.sharedObserver.with(func(o *observer.Observer) {
			o.ClientDisconnected(d.clock.Now(), t.request.coordinator, t.request.observed)
		})
		t.client.end(observer.Failed, 0)
	})
}

const (
	socketSlackMS      = 50.0   // allowance for real sockets, added to every time limit of the protocol
	requestRetentionMS = 5000.0 // time for which engines can look up a request after its end
)

// requestAnswered notifies the observer of an answer that arrived at a client, and counts its work as served.
func (d *Rehearsal) requestAnswered(at float64, r *clientRequest, result observer.TryResult) {
	d.sharedObserver.with(func(o *observer.Observer) {
		o.AnswerReceived(at, r.coordinator, r.observed, result)
		if result == observer.Served && !r.served {
			r.served = true
			o.Totals().Served += r.doneWork
		}
	})
}

// closeCrossingWindowMS is how long before the loss of its connection a request may have been sent and still count as crossing
// the coordinator's close: the protocol allows 50 ms, to which socketSlackMS is added. The client sends such a request again.
const closeCrossingWindowMS = 50.0 + socketSlackMS

// connectionLost handles a connection that ended without an answer. That is a violation, unless the coordinator was
// killed. If the request may have crossed the close, Options.Unanswered decides.
func (d *Rehearsal) connectionLost(at float64, t *try) {
	r := t.request
	wasKilled := at <= d.lossExcusedUntil(r.coordinator)
	mayHaveCrossed := d.options.Unanswered != nil && at-r.sentAt <= closeCrossingWindowMS
	if mayHaveCrossed && !wasKilled {
		d.options.Unanswered(r.coordinator, t.id)
	}
	d.sharedObserver.with(func(o *observer.Observer) {
		o.ClientDisconnected(at, r.coordinator, r.observed)
		if !wasKilled && !mayHaveCrossed {
			o.Violate(observer.RuleOneAnswer, at, "%s: its connection ended without an answer, %.1f ms after it was sent", r.observed.Name, at-r.sentAt)
		}
	})
}

// end handles the result of a try: the client is served, retries as its habit says, or gives up.
func (cl *client) end(result observer.TryResult, retryAfterMS float64) {
	d, now := cl.rehearsal, cl.rehearsal.clock.Now()
	wait, willRetry := clients.RetryDelay(cl.query, &cl.state, cl.tries, result, retryAfterMS, now)
	d.sharedObserver.with(func(o *observer.Observer) { o.TryEnded(now, &cl.state, result, !willRetry) })
	if !willRetry {
		d.activeClients.Done()
		return
	}
	d.clock.after(now+wait, func() {
		d.sharedObserver.with(func(o *observer.Observer) { o.Retry(d.clock.Now(), &cl.state) })
		cl.try()
	})
}

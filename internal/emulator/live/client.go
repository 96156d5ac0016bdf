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

// client sends one query, over all its tries.
type client struct {
	rehearsal *Rehearsal
	query     scenario.Query
	state     observer.ClientQuery
	tries     int
}

// try sends the query once. While it is open, and a while longer, the judge knows it by its ID for the engines.
func (cl *client) try() {
	d := cl.rehearsal
	now := d.clock.Now()
	cl.tries++
	until := clients.TryDeadline(d.scenario, cl.query, &cl.state, now)
	index := d.pickCoordinator(cl.query.Zone)
	if index < 0 {
		cl.end(observer.Lost, 0)
		return
	}
	t := &try{client: cl, id: cl.tryID(), attempt: &attempt{
		query: cl.query, coordinator: index,
		request: &observer.Request{
			Name: fmt.Sprintf("request %d.%d", cl.query.Number, cl.tries), Class: cl.query.Class, Key: cl.query.DataSet, Until: until,
		},
	}}
	d.requestSent(now, t)
	t.attempt.sentAt = now
	class := d.scenario.Classes[cl.query.Class]
	withdraw, err := d.clientPools[index].send(class.Name, cl.params(t.id, until), t.answered)
	if err != nil {
		d.judge.with(func(o *observer.Observer) { o.ClientDisconnected(now, index, t.attempt.request) }) // it never arrived
		t.finish(observer.Lost, 0)
		return
	}
	d.clock.after(until+d.scenario.Rules.AnswerSlackMS+socketSlackMS+1, func() { t.timeOut(withdraw) })
}

// tryID is the request ID of the client's current try.
func (cl *client) tryID() string {
	return fmt.Sprintf("%016x", uint64(cl.query.Number)<<8|uint64(cl.tries))
}

// params are the parameters of a JSON-RPC request; the time left is in ms.
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

func (d *Rehearsal) pickCoordinator(zone int) int {
	d.frontProxyMu.Lock()
	defer d.frontProxyMu.Unlock()
	return d.frontProxy.Pick(zone)
}

// requestSent makes a try known to the engines and the observer.
func (d *Rehearsal) requestSent(now float64, t *try) {
	index := t.attempt.coordinator
	d.mu.Lock()
	paused := d.paused[index]
	d.mu.Unlock()
	d.judge.mu.Lock()
	defer d.judge.mu.Unlock()
	d.judge.calls[t.id] = t.attempt
	d.judge.observer.RequestReceived(now, index, t.attempt.request)
	if paused {
		d.judge.observer.CoordinatorPaused(index)
	}
}

// try is one request of a client. It ends once: with an answer, the loss of its connection or its timeout.
type try struct {
	client  *client
	id      string
	attempt *attempt
	once    sync.Once
}

// rejectedCode is the JSON-RPC error code of a request that was rejected and may be retried.
const rejectedCode = -32000

// answered handles the answer; nil: the connection ended without one.
func (t *try) answered(a *answer, arrivedAt time.Time) {
	d := t.client.rehearsal
	if a == nil {
		d.connectionLost(d.clock.Now(), t)
		t.finish(observer.Lost, 0)
		return
	}
	result, retryAfterMS := a.outcome()
	d.requestAnswered(d.clock.Of(arrivedAt), t.attempt, result)
	t.finish(result, retryAfterMS)
}

// outcome is what the answer is to its client, and when a rejected one may retry.
func (a *answer) outcome() (result observer.TryResult, retryAfterMS float64) {
	switch {
	case a.Result != nil:
		return observer.Served, 0
	case a.Error != nil && a.Error.Code == rejectedCode:
		return observer.Rejected, a.Error.Data.Pushback
	}
	return observer.Failed, 0
}

// finish ends the try. The judge knows its ID for a while longer, as late messages may still reach an engine.
func (t *try) finish(result observer.TryResult, retryAfterMS float64) {
	d := t.client.rehearsal
	t.once.Do(func() {
		t.client.end(result, retryAfterMS)
		d.clock.after(d.clock.Now()+attemptRetentionMS, func() {
			d.judge.mu.Lock()
			delete(d.judge.calls, t.id)
			d.judge.mu.Unlock()
		})
	})
}

// timeOut ends a try without an answer in time, and withdraws its request.
func (t *try) timeOut(withdraw func()) {
	d := t.client.rehearsal
	t.once.Do(func() {
		withdraw()
		d.judge.with(func(o *observer.Observer) {
			o.ClientDisconnected(d.clock.Now(), t.attempt.coordinator, t.attempt.request)
		})
		t.client.end(observer.Failed, 0)
	})
}

const (
	socketSlackMS      = 50.0   // the protocol's allowance on real sockets, for every time limit
	attemptRetentionMS = 5000.0 // ms
)

func (d *Rehearsal) requestAnswered(at float64, c *attempt, kind observer.TryResult) {
	d.judge.with(func(o *observer.Observer) {
		o.AnswerReceived(at, c.coordinator, c.request, kind)
		if kind == observer.Served && !c.served {
			c.served = true
			o.Totals().Served += c.doneWork
		}
	})
}

// crossingWindowMS is how long before a close, by the page, a request may have been sent that crosses it, with what real
// sockets take: its client sends it again.
const crossingWindowMS = 50.0 + socketSlackMS

// connectionLost handles a connection that ended without an answer: a violation, unless its coordinator was killed, or the
// request crossed the close and Options.Unanswered judges it.
func (d *Rehearsal) connectionLost(at float64, t *try) {
	c := t.attempt
	killed := at <= d.forgivenUntil(c.coordinator)
	crossed := d.options.Unanswered != nil && at-c.sentAt <= crossingWindowMS
	if crossed && !killed {
		d.options.Unanswered(c.coordinator, t.id)
	}
	d.judge.with(func(o *observer.Observer) {
		o.ClientDisconnected(at, c.coordinator, c.request)
		if !killed && !crossed {
			o.Violate(observer.RuleOneAnswer, at, "%s: its connection ended without an answer, %.1f ms after it was sent", c.request.Name, at-c.sentAt)
		}
	})
}

// end ends a try: the client is served, retries by its habit, or gives up.
func (cl *client) end(result observer.TryResult, retryAfterMS float64) {
	d, now := cl.rehearsal, cl.rehearsal.clock.Now()
	wait, again := clients.RetryDelay(cl.query, &cl.state, cl.tries, result, retryAfterMS, now)
	d.judge.with(func(o *observer.Observer) { o.TryEnded(now, &cl.state, result, !again) })
	if !again {
		d.activeClients.Done()
		return
	}
	d.clock.after(now+wait, func() {
		d.judge.with(func(o *observer.Observer) { o.Retry(d.clock.Now(), &cl.state) })
		cl.try()
	})
}

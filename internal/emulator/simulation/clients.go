package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"aniseloft/decide"
	"aniseloft/internal/emulator/clients"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// client sends one query: the first try and the retries.
type client struct {
	sim   *Simulation
	query scenario.Query
	state observer.ClientQuery
	tries int // number of tries so far
}

// try is one request of a client: the first one or a retry.
type try struct {
	client      *client
	coordinator *coordinator
	incarnation int
	request     *openRequest
	ended       bool
}

// scheduleNextQuery schedules the arrival of the next query, which in turn schedules the arrival after it.
func (sim *Simulation) scheduleNextQuery() {
	q, more := sim.arrivals.Next()
	if !more {
		return
	}
	sim.loop.At(q.ArrivesAt, func() {
		cl := &client{sim: sim, query: q, state: clients.NewClientQuery(sim.scenario, q)}
		sim.observer.FirstTry(&cl.state)
		cl.try()
		sim.scheduleNextQuery()
	})
}

// try sends the query to the coordinator that the front proxy picks.
func (cl *client) try() {
	sim := cl.sim
	now := sim.loop.Now()
	cl.tries++
	sim.tries++
	t := &try{client: cl}
	if n := sim.frontProxy.Pick(cl.query.Zone); n >= 0 {
		t.coordinator = sim.coordinators[n]
	}
	until := clients.TryDeadline(sim.scenario, cl.query, &cl.state, now)
	t.request = &openRequest{
		id: requestID(sim.tries), query: cl.query, try: t, priority: 1,
		markedRetry: sim.scenario.Clients.MarksRetries && cl.tries > 1,
	}
	t.request.Request = observer.Request{
		Name: fmt.Sprintf("request %d.%d", cl.query.Number, cl.tries), Class: cl.query.Class, Key: cl.query.DataSet, Until: until,
	}
	// The client waits a little longer than the deadline that it sends.
	sim.loop.At(until+sim.scenario.Rules.AnswerSlackMS, t.abandon)
	sim.loop.After(sim.clientDelay(), func() {
		if t.coordinator == nil || !t.coordinator.running {
			sim.loop.After(sim.clientDelay(), t.endLost)
			return
		}
		t.incarnation = t.coordinator.incarnation
		t.coordinator.deliver(sim, requestInput{t.request})
	})
}

// connectionLost ends a try whose coordinator crashed, once the client notices.
func (t *try) connectionLost() { t.client.sim.loop.After(t.client.sim.clientDelay(), t.endLost) }

// endLost ends a try that reached no running coordinator, or whose coordinator crashed.
func (t *try) endLost() { t.end(observer.Lost, 0) }

func (t *try) answered(result observer.TryResult, retryAfterMS float64) { t.end(result, retryAfterMS) }

// abandon ends a try that got no answer in time.
func (t *try) abandon() {
	if t.ended {
		return
	}
	sim := t.client.sim
	if t.coordinator != nil && t.coordinator.incarnation == t.incarnation && t.incarnation > 0 {
		sim.loop.After(sim.clientDelay(), func() {
			if t.coordinator.incarnation == t.incarnation {
				t.coordinator.deliver(sim, disconnectInput{t.request})
			}
		})
	}
	t.end(observer.Failed, 0)
}

// end ends a try, once: its client is served, retries by its habit, or gives up.
func (t *try) end(result observer.TryResult, retryAfterMS float64) {
	if t.ended {
		return
	}
	t.ended = true
	cl, sim := t.client, t.client.sim
	now := sim.loop.Now()
	wait, willRetry := clients.RetryDelay(cl.query, &cl.state, cl.tries, result, retryAfterMS, now)
	sim.observer.TryEnded(now, &cl.state, result, !willRetry)
	if willRetry {
		sim.loop.After(wait, func() {
			sim.observer.Retry(sim.loop.Now(), &cl.state)
			cl.try()
		})
	}
}

// sortedRequests returns requests in order of arrival, which is the order of their IDs.
func sortedRequests(m map[decide.RequestID]*openRequest) []*openRequest {
	requests := make([]*openRequest, 0, len(m))
	for _, r := range m {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b *openRequest) int {
		return cmp.Or(cmp.Compare(len(a.id), len(b.id)), cmp.Compare(a.id, b.id))
	})
	return requests
}

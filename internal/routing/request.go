package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"aniseloft/decide"
)

// deadlineGrace is how long past a request's deadline the dispatcher waits for the decisions
// before it answers by itself.
const deadlineGrace = 15 * time.Millisecond

// request is a query and what became of it.
type request struct {
	Ticket
	query     Query
	responder Responder // nil once the request is answered or withdrawn
	gate      sendGate  // closed with the final answer
	timer     *time.Timer
	grantMB   float64
	priority  int // -1: not set
	attempts  []*attempt
	running   int // attempts without an outcome
	// Coalescing: the request that this one waits for, and those that wait for this one.
	leader    *request
	followers []*request
}

// closed reports whether no answer is owed any more.
func (r *request) closed() bool { return r.responder == nil }

// mayStart reports whether an attempt of the request may start. Attempts call it from their own goroutines.
func (r *request) mayStart() bool { return !r.clientLeft.Load() && !r.gate.isClosed() }

// mayHaveRun reports whether any attempt of the request may have run at its endpoint.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan() })
}

// Ticket identifies a submitted request to its submitter.
type Ticket struct {
	requestID decide.RequestID
	// clientLeft is set at once when the client is known to have left: an attempt reads it before its first
	// byte, which may be before the dispatcher's goroutine has handled the event.
	clientLeft *atomic.Bool
}

// Withdraw ends a request whose client no longer waits: no answer is owed, and no attempt of it
// starts from now on.
func (d *Dispatcher) Withdraw(t Ticket) {
	t.clientLeft.Store(true)
	d.post(func() { d.withdraw(t.requestID) })
}

func (d *Dispatcher) withdraw(id decide.RequestID) {
	if follower := d.coalescer.followers[id]; follower != nil {
		d.Counters.withdrawn(follower.query.Class)
		d.close(follower)
		d.leaveLeader(follower)
		return
	}
	r := d.requests[id]
	if r == nil || r.closed() {
		return
	}
	d.Counters.withdrawn(r.query.Class)
	d.close(r)
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	if r.running == 0 { // nothing will end for its followers to wait for
		d.releaseFollowers(r, Answer{Kind: Failed})
	}
	d.forget(r)
}

// Detach notes that the client of a request has left and may return for the result: running
// attempts go on, and none starts from now on. The responder receives its answer all the same.
func (d *Dispatcher) Detach(t Ticket) {
	t.clientLeft.Store(true)
	d.post(func() { d.detach(t.requestID) })
}

// detach leaves a follower waiting: releaseFollowers finds that its client has left.
func (d *Dispatcher) detach(id decide.RequestID) {
	r := d.requests[id]
	if r == nil || r.closed() || r.running > 0 {
		return
	}
	d.answer(r, d.unservedAnswer(r, reasonClientLeft))
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	d.forget(r)
}

// AnswerAllOpen answers every open request, for a process that is about to be killed: a request
// that may be retried is rejected with retryAfter, so that its client reaches another process;
// one that must not run twice and may have run fails. The decisions are notified that each
// client has left, and cancel its attempts. What is submitted after it is rejected alike: a
// request may have been taken just before.
func (d *Dispatcher) AnswerAllOpen(retryAfter time.Duration) {
	d.post(func() {
		d.ending, d.endingRetryAfter = true, retryAfter
		for _, r := range d.requests {
			if r.closed() && len(r.followers) == 0 {
				continue
			}
			d.answerAtExit(r, retryAfter)
		}
	})
}

func (d *Dispatcher) answerAtExit(r *request, retryAfter time.Duration) {
	answer := d.unservedAnswer(r, reasonProcessEnds)
	answer.RetryAfter = retryAfter
	d.Counters.answeredAtExit.Add(1)
	for _, follower := range d.coalescer.end(r) { // no attempt of a follower was started
		d.answer(follower, answer)
	}
	d.answer(r, answer)
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	d.cancelRun(r) // also one that only followers waited for
	d.forget(r)
}

// startDeadlineTimer guards the rule of one answer: the decisions answer in time, and the timer does so
// should they fail to.
func (d *Dispatcher) startDeadlineTimer(r *request) {
	wait := max(time.Until(r.query.Deadline), 0) + deadlineGrace
	r.timer = time.AfterFunc(wait, func() { d.post(func() { d.deadlineExceeded(r) }) })
}

func (d *Dispatcher) deadlineExceeded(r *request) {
	if r.closed() {
		return
	}
	d.answer(r, d.unservedAnswer(r, reasonDeadlineExceeded))
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	d.forget(r)
}

// finish gives an open request its final answer and forgets it.
func (d *Dispatcher) finish(id decide.RequestID, answer Answer) {
	if r := d.requests[id]; r != nil {
		d.answer(r, answer)
		d.forget(r)
	}
}

// answer gives the one final answer. A closed request has had it, and nothing happens.
func (d *Dispatcher) answer(r *request, answer Answer) {
	if r.closed() {
		return
	}
	responder := r.responder
	d.Counters.answered(r.query.Class, answer.Kind)
	d.log.Debug("request answered", "call", r.query.CallID, "class", r.query.Class, "kind", answer.Kind.String(),
		"attempts", len(r.attempts), "reason", answer.Reason)
	d.close(r)
	// An attempt that is still dialling must not start; one whose first byte is being written comes before the answer.
	respond := func() { responder.Respond(answer) }
	if r.gate.close(func() { d.post(respond) }) {
		respond()
	}
	d.releaseFollowers(r, answer)
}

// close marks that no answer is owed to a request any more.
func (d *Dispatcher) close(r *request) {
	r.responder = nil
	d.openCount.Add(-1)
	if r.timer != nil {
		r.timer.Stop()
	}
}

// forget drops a request that is closed and has no running attempt.
func (d *Dispatcher) forget(r *request) {
	if r.closed() && r.running == 0 && d.requests[r.requestID] == r {
		d.freeStatement += len(r.query.Statement)
		delete(d.requests, r.requestID)
		delete(d.callIDs, r.query.CallID)
	}
}

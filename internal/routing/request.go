package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"aniseloft/decide"
)

// deadlineGrace is how long after a request's deadline the dispatcher waits for the balancer's answer
// before it answers the request itself.
const deadlineGrace = 15 * time.Millisecond

// request is a submitted query and its state.
type request struct {
	Ticket
	query     Query
	responder Responder // nil once the request is answered or withdrawn
	gate      sendGate  // prevents attempts from starting after the final answer
	// deadlineTimer answers the request if nothing else has by its deadline, see startDeadlineTimer and startFollowerTimer.
	deadlineTimer   *time.Timer
	grantMB         float64 // memory grant of the request's later attempts
	priority        int     // priority of the request's attempts; -1: not set
	attempts        []*attempt
	runningAttempts int // number of attempts that have not ended
	// Coalescing: the request whose result this one waits for, and the requests that wait for this one.
	leader    *request
	followers []*request
}

// closed reports whether the request has been answered or withdrawn.
func (r *request) closed() bool { return r.responder == nil }

// mayStart reports whether an attempt of the request may still start. Attempts call it on their own goroutines.
func (r *request) mayStart() bool { return !r.clientLeft.Load() && !r.gate.isClosed() }

// mayHaveRun reports whether any attempt of the request may have run at its endpoint.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan() })
}

// Ticket identifies a submitted request to the caller of Submit.
type Ticket struct {
	requestID decide.RequestID
	// clientLeft is set as soon as the client is known to have left. An attempt checks it before its first
	// byte, which may be before the dispatcher's goroutine has handled the event.
	clientLeft *atomic.Bool
}

// Withdraw ends a request whose client no longer waits: the request gets no answer, and no further
// attempt of it starts.
func (d *Dispatcher) Withdraw(t Ticket) {
	t.clientLeft.Store(true)
	d.post(func() { d.withdraw(t.requestID) })
}

func (d *Dispatcher) withdraw(id decide.RequestID) {
	if follower := d.coalescer.followers[id]; follower != nil {
		d.Counters.countWithdrawn(follower.query.Class)
		d.close(follower)
		d.leaveLeader(follower)
		return
	}
	r := d.requests[id]
	if r == nil || r.closed() {
		return
	}
	d.Counters.countWithdrawn(r.query.Class)
	d.close(r)
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	if r.runningAttempts == 0 { // no running attempt can produce a result for the followers
		d.releaseFollowers(r, Answer{Kind: Failed})
	}
	d.removeIfDone(r)
}

// Detach records that the client of a request has left but may return for the result: running
// attempts continue, and no further attempt starts. The responder still receives an answer.
func (d *Dispatcher) Detach(t Ticket) {
	t.clientLeft.Store(true)
	d.post(func() { d.detach(t.requestID) })
}

// detach handles the event of Detach. It does nothing for a follower, which keeps waiting: releaseFollowers
// checks whether its client has left.
func (d *Dispatcher) detach(id decide.RequestID) {
	r := d.requests[id]
	if r == nil || r.closed() || r.runningAttempts > 0 {
		return
	}
	d.answer(r, d.unservedAnswer(r, reasonClientLeft))
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	d.removeIfDone(r)
}

// AnswerAllOpen answers every open request, for a process that is about to be killed. A request
// that may be retried is rejected with retryAfter, so that its client reaches another process; a
// request that must not run twice and may have run fails. The balancer is notified that each client
// has left, and cancels the attempts. Requests submitted later are rejected in the same way, as a
// listener may have received one just before.
func (d *Dispatcher) AnswerAllOpen(retryAfter time.Duration) {
	d.post(func() {
		d.processEnding, d.endingRetryAfter = true, retryAfter
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
	for _, follower := range d.coalescer.end(r) { // no attempt was started for a follower
		d.answer(follower, answer)
	}
	d.answer(r, answer)
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	d.cancelRun(r) // also cancels a run that only followers waited for
	d.removeIfDone(r)
}

// startDeadlineTimer ensures that every request is answered: the timer answers it if the balancer has
// not done so by the deadline plus deadlineGrace.
func (d *Dispatcher) startDeadlineTimer(r *request) {
	timerDelay := max(time.Until(r.query.Deadline), 0) + deadlineGrace
	r.deadlineTimer = time.AfterFunc(timerDelay, func() { d.post(func() { d.deadlineExceeded(r) }) })
}

func (d *Dispatcher) deadlineExceeded(r *request) {
	if r.closed() {
		return
	}
	d.answer(r, d.unservedAnswer(r, reasonDeadlineExceeded))
	d.handle(decide.ClientDisconnected{ID: r.requestID})
	d.removeIfDone(r)
}

// finish gives an open request its final answer and removes it once no attempt is running.
func (d *Dispatcher) finish(id decide.RequestID, answer Answer) {
	if r := d.requests[id]; r != nil {
		d.answer(r, answer)
		d.removeIfDone(r)
	}
}

// answer gives a request its one final answer. It does nothing for a closed request.
func (d *Dispatcher) answer(r *request, answer Answer) {
	if r.closed() {
		return
	}
	responder := r.responder
	d.Counters.countAnswered(r.query.Class, answer.Kind)
	d.log.Debug("request answered", "call", r.query.CallID, "class", r.query.Class, "kind", answer.Kind.String(),
		"attempts", len(r.attempts), "reason", answer.Reason)
	d.close(r)
	// Closing the gate keeps an attempt that is still dialling from starting. While the first byte of
	// another attempt is being written to its endpoint, the answer waits: no attempt may start after the answer.
	respond := func() { responder.Respond(answer) }
	if r.gate.close(func() { d.post(respond) }) {
		respond()
	}
	d.releaseFollowers(r, answer)
}

// close marks a request as answered or withdrawn.
func (d *Dispatcher) close(r *request) {
	r.responder = nil
	d.openRequestCount.Add(-1)
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	if d.requests[r.requestID] != r { // a follower, or rejected at its admission: no attempt uses the statement
		r.query.statementMemory.Release()
	}
}

// removeIfDone removes a request that is closed and has no running attempt.
func (d *Dispatcher) removeIfDone(r *request) {
	if r.closed() && r.runningAttempts == 0 && d.requests[r.requestID] == r {
		r.query.statementMemory.Release()
		delete(d.requests, r.requestID)
		delete(d.openCallIDs, r.query.CallID)
	}
}

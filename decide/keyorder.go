package decide

import (
	"maps"
	"slices"
)

// keyOrder runs requests with the same order key one at a time, in order of arrival, in classes with
// OrderedByKey. After the end of an attempt that may still be running, the key is blocked for
// Rules.KeyOrderDelay.
type keyOrder struct {
	clock         *clock
	blockDuration Millis // Rules.KeyOrderDelay
	estimates     *estimator
	queues        map[uint64]*keyQueue
}

// keyQueue holds the open requests of one key, in order of arrival.
type keyQueue struct {
	requests     []*request // the first request may run
	blockedUntil Millis
	blockedBy    *request // the request whose attempt may still be running; the block does not apply to it
}

// queue returns the queue of the request's key, or nil if it has no key or its class is not OrderedByKey.
func (o *keyOrder) queue(r *request) *keyQueue {
	if !r.HasKey || !o.estimates.class(r).OrderedByKey {
		return nil
	}
	q := o.queues[r.Key]
	if q == nil {
		q = &keyQueue{blockedUntil: never}
		o.queues[r.Key] = q
	}
	return q
}

// join appends a new request to its key's queue.
func (o *keyOrder) join(r *request) {
	if q := o.queue(r); q != nil {
		q.requests = append(q.requests, r)
	}
}

// leave removes the request from its key's queue once it is answered and has no attempt in flight.
func (o *keyOrder) leave(r *request) {
	q := o.queue(r)
	if q == nil || !r.answered || r.current.endpoint != nil {
		return
	}
	q.requests = slices.DeleteFunc(q.requests, func(other *request) bool { return other == r })
}

// mayRun reports whether the request is the first of its key and the key is not blocked by another request.
func (o *keyOrder) mayRun(r *request) bool {
	q := o.queue(r)
	return q == nil || q.requests[0] == r && (o.clock.now > q.blockedUntil || q.blockedBy == r ||
		o.blockDuration == 0)
}

// attemptEnded blocks the key if the attempt may still be running.
func (o *keyOrder) attemptEnded(r *request, outcome Outcome) {
	mayBeRunning := outcome == OutcomeTimeout || outcome == OutcomeReset || outcome == OutcomeCancelled
	if q := o.queue(r); q != nil && mayBeRunning {
		q.blockedUntil, q.blockedBy = o.clock.now+o.blockDuration, r
	}
}

// expire drops queues that are empty and no longer blocked.
func (o *keyOrder) expire() {
	maps.DeleteFunc(o.queues, func(_ uint64, q *keyQueue) bool {
		return len(q.requests) == 0 && o.clock.now > q.blockedUntil
	})
}

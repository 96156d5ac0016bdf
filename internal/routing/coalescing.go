package routing

import (
	"bytes"
	"errors"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/millis"
)

// maxFollowers is the maximum number of requests that wait for the run of one leader. Followers are
// retries of a client, which does not send a hundred duplicates at once.
const maxFollowers = 32

// Errors of coalescer.join. Their texts are sent to clients.
var (
	errTooManyFollowers = errors.New("too many wait under the key")
	// errStatementDiffers is returned where one key is used with two statements: the result of one would
	// be the answer to the other.
	errStatementDiffers = errors.New("the key is in use with another statement")
)

// requestKey is an idempotency key and its class. Equal keys of different classes are unrelated.
type requestKey struct {
	class          int
	idempotencyKey string
}

func (r *request) key() requestKey { return requestKey{r.query.Class, r.query.IdempotencyKey} }

// coalescer lets identical requests with one idempotency key share a run. The first request, the
// leader, is sent; the others, its followers, wait for its result. A leader may keep
// running after its own client has left. The coalescer is owned by the dispatcher's goroutine.
type coalescer struct {
	leaders   map[requestKey]*request       // by idempotency key and class
	followers map[decide.RequestID]*request // by the follower's request ID
}

func newCoalescer() *coalescer {
	return &coalescer{leaders: map[requestKey]*request{}, followers: map[decide.RequestID]*request{}}
}

// join makes a request a follower of the leader of its key, or the leader if there is none. usesKeys
// reports whether the request's class has idempotency keys; otherwise join does nothing.
func (c *coalescer) join(r *request, usesKeys bool) (isFollower bool, err error) {
	if !usesKeys || r.query.IdempotencyKey == "" {
		return false, nil
	}
	leader := c.leaders[r.key()]
	if leader == nil {
		c.leaders[r.key()] = r
		return false, nil
	}
	if !bytes.Equal(leader.query.Statement, r.query.Statement) {
		return false, errStatementDiffers
	}
	if len(leader.followers) >= maxFollowers {
		return false, errTooManyFollowers
	}
	r.query.Statement = leader.query.Statement // keep a single copy in memory
	leader.followers = append(leader.followers, r)
	r.leader = leader
	c.followers[r.requestID] = r
	return true, nil
}

// leave removes a follower that no longer waits from its leader.
func (c *coalescer) leave(follower *request) {
	delete(c.followers, follower.requestID)
	leader := follower.leader
	if leader == nil {
		return
	}
	for i, r := range leader.followers {
		if r == follower {
			leader.followers = append(leader.followers[:i:i], leader.followers[i+1:]...)
			break
		}
	}
	follower.leader = nil
}

// end releases the key of a leader that has ended and returns its followers.
func (c *coalescer) end(leader *request) []*request {
	if c.leaders[leader.key()] != leader {
		return nil
	}
	delete(c.leaders, leader.key())
	followers := leader.followers
	leader.followers = nil
	for _, r := range followers {
		delete(c.followers, r.requestID)
		r.leader = nil
	}
	return followers
}

// releaseFollowers ends the wait of a leader's followers. If the leader succeeded they get its answer.
// Otherwise each is admitted again under its own call ID, as the leader's client may have left; a
// follower whose own client has left is answered instead.
func (d *Dispatcher) releaseFollowers(leader *request, answer Answer) {
	for _, follower := range d.coalescer.end(leader) {
		if answer.Kind == Succeeded {
			d.answer(follower, answer)
			continue
		}
		if follower.clientLeft.Load() {
			d.answer(follower, d.unservedAnswer(follower, reasonClientLeft))
			continue
		}
		responder := follower.responder
		follower.deadlineTimer.Stop()
		d.afterEvent(func() { d.admit(follower.Ticket, follower.query, responder) })
	}
}

// leaveLeader ends the wait of one follower. If it was the last one and the leader's client has left, the run is cancelled.
func (d *Dispatcher) leaveLeader(follower *request) {
	leader := follower.leader
	d.coalescer.leave(follower)
	if leader.closed() && len(leader.followers) == 0 {
		d.cancelRun(leader)
	}
}

// cancelRun cancels all attempts of a request, where the settings allow cancellation.
func (d *Dispatcher) cancelRun(r *request) {
	if !d.settings.CancellationEnabled {
		return
	}
	for _, a := range r.attempts {
		a.cancel()
	}
}

// startFollowerTimer limits the wait of a follower to its own deadline.
func (d *Dispatcher) startFollowerTimer(r *request) {
	timeLeft := max(time.Until(r.query.Deadline), 0)
	r.deadlineTimer = time.AfterFunc(timeLeft, func() { d.post(func() { d.followerDeadlineExceeded(r) }) })
}

// followerDeadlineExceeded answers a follower whose leader has not ended by the follower's deadline.
// The follower was never sent itself. A retry would become a follower again or be dropped by the
// endpoint as a duplicate, so the follower is rejected as retryable where endpoints deduplicate.
func (d *Dispatcher) followerDeadlineExceeded(r *request) {
	if r.leader == nil {
		return
	}
	answer := Answer{Kind: Failed, Reason: reasonLeaderRunning}
	if retryable, _ := d.retryable(r); retryable {
		answer.Kind, answer.RetryAfter = Rejected, millis.Duration(d.settings.MaxRetryAfter)
	}
	d.answer(r, answer)
	d.leaveLeader(r)
}

package decide

import "math/rand/v2"

// subscription keeps the subscription to the endpoint list active if discovery requires one, with a backoff
// after failures.
type subscription struct {
	clock             *clock
	rng               *rand.Rand
	outbox            *outbox
	isRequired        bool
	subscribeInterval Millis // Rules.SubscribeInterval

	isActive            bool   // a subscription is in effect
	consecutiveFailures int    // consecutive failures
	retryAt             Millis // earliest time of the next Subscribe
	startedAt           Millis // time at which this balancer got the cached list at its start
}

// updated records an update of the endpoint list or the failure to get one.
func (s *subscription) updated(kind UpdateKind) {
	if kind == UpdateFailed {
		s.isActive = false
		s.consecutiveFailures++
		return
	}
	if s.isRequired {
		s.isActive, s.consecutiveFailures = kind != UpdateCached, 0
	}
	if kind == UpdateCached {
		s.startedAt = s.clock.now
	}
}

// maxBackoffSteps is the number of backoff steps, each a sixteenth of Rules.SubscribeInterval:
// the backoff grows to a quarter of that interval.
const maxBackoffSteps = 4

// renew subscribes if no subscription is active. It randomizes the time of the next try, because all
// balancers lose discovery at the same time.
func (s *subscription) renew() {
	if !s.isRequired || s.isActive || s.clock.now < s.retryAt {
		return
	}
	retryDelay := s.subscribeInterval / 4 *
		float64(min(s.consecutiveFailures+1, maxBackoffSteps)) / maxBackoffSteps
	s.retryAt = s.clock.now + retryDelay*(0.75+0.5*s.rng.Float64())
	s.outbox.add(Subscribe{})
}

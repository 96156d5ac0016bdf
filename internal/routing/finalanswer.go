package routing

import (
	"math"

	"aniseloft/internal/millis"
)

// unservedAnswer returns the answer to a request that ends now without a result: rejected if the
// client may retry it or no attempt can have run, failed otherwise.
//
// The balancer applies the same rule to the requests that it ends, see giveUp in decide/attempt.go.
// The dispatcher also needs the rule because it answers some requests without the balancer: when the
// deadline timer fires, when a client disconnects, when the process ends, and for the followers of
// coalesced requests, which the balancer does not know.
func (d *Dispatcher) unservedAnswer(r *request, reason string) Answer {
	retryable, keyUsed := d.retryable(r)
	if !retryable && (keyUsed || r.mayHaveRun()) {
		return Answer{Kind: Failed, Reason: reason + reasonMayHaveRun}
	}
	return Answer{Kind: Rejected, RetryAfter: millis.Duration(d.settings.MaxRetryAfter), Reason: reason}
}

// retryable reports whether the client may retry a request even if an attempt has run, by the rule of
// its class. keyUsed reports whether an attempt may have run under its idempotency key.
func (d *Dispatcher) retryable(r *request) (retryable, keyUsed bool) {
	windowStart := math.Inf(1) // infinite: the deduplication window of the key has not begun
	now := millis.Now()
	earlierRun := d.runHistory.earlierRun(r.key(), now)
	if earlierRun != nil {
		windowStart = earlierRun.StartedAt
	}
	return d.settings.Classes[r.query.Class].ClientMayRetry(windowStart, now), earlierRun != nil
}

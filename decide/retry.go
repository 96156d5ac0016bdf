package decide

import "sort"

// retryForbidden reports whether an attempt that started at startedAt and may have run forbids another at
// now: endpoints don't deduplicate the class, or its deduplication window has passed. Times are in ms
// on one clock.
func (c Class) retryForbidden(startedAt, now Millis) bool {
	return c.Idempotency == NotIdempotent || c.Idempotency == IdempotentByKey &&
		now >= startedAt+c.DedupWindow
}

// ClientMayRetry reports whether a client may safely retry a request that may have run since startedAt, at
// any endpoint. The rule is stricter than for this balancer's own retries, which stay inside the
// deduplication scope (placement.permitted). Times are in ms on one clock.
func (c Class) ClientMayRetry(startedAt, now Millis) bool {
	if c.Idempotency == IdempotentAlways {
		return true
	}
	return c.DedupScope == DedupFleet && !c.retryForbidden(startedAt, now)
}

const (
	// Ratio of requests whose attempt may be cancelled as too slow. It is low because bad plans are rare and
	// overload is not.
	replanBudgetRatio = 0.1
	maxReplanBudget   = 4.0 // number of such cancellations in a row
)

// retryPolicy decides whether a request may have a further attempt.
type retryPolicy struct {
	clock     *clock
	settings  *Settings
	estimates *estimator
	// Times of arrivals and retries within Rules.RetryBudgetWindow.
	arrivalTimes, retryTimes []Millis
	replanBudget             float64 // number of attempts that may be cancelled as too slow now
}

// recordArrival adds a new request to the replan budget and the retry budget.
func (p *retryPolicy) recordArrival() {
	p.replanBudget = min(p.replanBudget+replanBudgetRatio, maxReplanBudget)
	if p.settings.Rules.RetryBudgetEnabled {
		p.arrivalTimes = append(p.arrivalTimes, p.clock.now)
	}
}

// recordRetry counts a retry against the retry budget.
func (p *retryPolicy) recordRetry() {
	if p.settings.Rules.RetryBudgetEnabled {
		p.retryTimes = append(p.retryTimes, p.clock.now)
	}
}

// takeReplan takes one cancellation from the replan budget. It reports whether the budget allowed it.
func (p *retryPolicy) takeReplan() bool {
	if p.replanBudget < 1 {
		return false
	}
	p.replanBudget--
	return true
}

// forbidden reports whether the request may have run and must not run again.
func (p *retryPolicy) forbidden(r *request) bool {
	return r.firstRun.mayHaveRun() && p.estimates.class(r).retryForbidden(r.firstRun.startedAt, p.clock.now)
}

// mayRetry reports whether the number of attempts, the time left, the idempotency and the retry budget allow
// the request another attempt.
func (p *retryPolicy) mayRetry(r *request) bool {
	endsAt := p.clock.now + p.estimates.unloadedLatency(r)
	if r.attemptsStarted >= p.settings.MaxAttempts || endsAt >= r.deadline {
		return false
	}
	return !p.forbidden(r) && p.withinBudget()
}

// withinBudget reports whether the retry budget allows another retry. Its window is one tick shorter for
// arrivals and one tick longer for retries, because compliance is checked on another clock.
func (p *retryPolicy) withinBudget() bool {
	rules := p.settings.Rules
	if !rules.RetryBudgetEnabled {
		return true
	}
	p.arrivalTimes = dropBefore(p.arrivalTimes, p.clock.now-rules.RetryBudgetWindow+p.clock.ticks(1))
	p.retryTimes = dropBefore(p.retryTimes, p.clock.now-rules.RetryBudgetWindow-p.clock.ticks(1))
	return float64(len(p.retryTimes))+1 <=
		rules.RetryBudgetMin+rules.RetryBudgetRatio*float64(len(p.arrivalTimes))
}

// dropBefore drops the times before t from a sorted list.
func dropBefore(times []Millis, t Millis) []Millis {
	return times[sort.SearchFloat64s(times, t):]
}

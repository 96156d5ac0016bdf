package decide

import "math"

const (
	slowPlanRatio = 5.0   // an attempt this many times slower than usual counts as having a bad query plan
	minProgress   = 0.001 // lower bound on the progress ratio in projections
	// Progress ratio below which an attempt that is projected to end past its deadline is given up.
	maxGiveUpProgress = 0.5
	minTimeout        = 0.001 // lower bound on the timeout of an attempt, in ms
)

// startAttempt starts an attempt at an endpoint and counts it in all components.
func (b *Balancer) startAttempt(r *request, e *endpoint) {
	if r.attemptsStarted > 0 {
		b.retries.recordRetry()
	}
	now, c := b.clock.now, b.estimates.class(r)
	r.attemptsStarted++
	r.current = attempt{
		endpoint:       e,
		startedAt:      now,
		lastActivityAt: now,
		work:           b.estimates.expectedWork(r),
		memoryMB:       b.capacity.memoryNeed(r, e),
	}
	startBefore := 0.0
	if !r.firstRun.mayHaveRun() {
		r.firstRun = firstRun{now, e.EndpointInfo}
	} else if c.Idempotency == IdempotentByKey {
		startBefore = r.firstRun.startedAt + c.DedupWindow // connecting may delay the first byte past that
	}
	b.endpoints.attach(r, e, c)
	b.outliers.attemptStarted(e)
	e.countInReport(r.current.memoryMB)
	b.endpoints.countSend(e)
	b.slowStart.recordSend(e, c.meanWork)
	if resources := b.resources(r, e); resources.GrantMB > 0 || resources.Priority != defaultPriority {
		b.outbox.add(resources)
	}
	b.outbox.add(StartAttempt{r.ID, e.ID, max(r.deadline-now, minTimeout), startBefore})
}

// countInReport adds an attempt to the endpoint's last load report, until the next report includes it. Absent
// values stay absent.
func (e *endpoint) countInReport(memoryMB float64) {
	if e.report.InFlight >= 0 {
		e.report.InFlight++
	}
	if e.report.Memory >= 0 {
		e.report.Memory += memoryMB * grantMargin / max(e.memoryMB, 1)
	}
}

// resources returns the memory grant and the priority of an attempt. The grant is the estimate corrected by
// the class's learned need: with too small a grant the query spills to disk, and memory granted beyond the
// need is not available to other queries. The grant is 0 while the class's need is unknown.
func (b *Balancer) resources(r *request, e *endpoint) SetAttemptResources {
	c := b.estimates.class(r)
	needKnown := c.sampleCount > 0 && (b.settings.ActualCostReported || c.spillNoticeCount > 0)
	grantMB := 0.0
	if b.settings.MemoryGrantsEnabled && r.current.memoryMB > 0 && needKnown {
		grantMB = min(r.current.memoryMB*grantMargin, b.settings.MaxGrantRatio*e.memoryMB)
	}
	return SetAttemptResources{r.ID, grantMB, b.admission.priority(r)}
}

// progressed handles a progress notice of a running attempt. An attempt far slower than the other work of
// its endpoint has a bad query plan and is retried elsewhere, within the replan budget: if many attempts are
// slow, the endpoint is the cause, and a retry would only lose the work done so far. An attempt that can't
// end before its deadline is given up.
func (b *Balancer) progressed(ev AttemptProgress) {
	r := b.requests[ev.ID]
	if !r.isCurrent(ev.Attempt) || r.answered {
		return
	}
	a := &r.current
	firstNotice := a.lastActivityAt == a.startedAt
	a.lastActivityAt, a.endpoint.health.lastActivityAt = b.clock.now, b.clock.now
	if ev.Kind == ProgressSpilled {
		a.spilled = true
		b.estimates.learnMemory(r, ev.Value)
	}
	if ev.Kind != ProgressRatio || a.cancelled || b.clock.justResumed() {
		return
	}
	unloadedLatency := b.estimates.unloadedLatency(r)
	projectedDuration := (b.clock.now - a.startedAt) / max(ev.Value, minProgress)
	usualDuration := unloadedLatency * max(1, math.Exp(b.estimates.pressure(a.endpoint)))
	if firstNotice { // running attempts show overload long before completed ones
		b.estimates.observePressure(a.endpoint,
			math.Log(min(projectedDuration, maxSampleRatio*usualDuration)/unloadedLatency))
	}
	if projectedDuration > slowPlanRatio*usualDuration && !r.replanned && b.retries.takeReplan() {
		b.tryElsewhere(r)
	}
	if !a.cancelled && projectedDuration > r.deadline-a.startedAt && ev.Value < maxGiveUpProgress {
		b.giveUp(r)
	}
}

// attemptEnded records an attempt's outcome, then finishes, answers or requeues its request.
func (b *Balancer) attemptEnded(ev AttemptEnded) {
	r := b.requests[ev.ID]
	if !r.isCurrent(ev.Attempt) {
		return
	}
	e := r.current.endpoint
	b.endpoints.detach(r, e, b.estimates.class(r))
	if ev.Load != nil {
		e.report = loadReport{*ev.Load, b.clock.now}
	}
	b.observeOutcome(r, e, ev)
	b.keyOrder.attemptEnded(r, ev.Outcome)
	if ev.RequestClosed || r.answered {
		b.finish(r)
		b.dispatchPending(false)
		return
	}
	r.lastAttemptedOn, r.probed = e.ID, nil
	if b.admission.nearDeadline(r) || !b.retries.mayRetry(r) {
		b.giveUp(r)
	} else {
		b.admission.enqueue(r)
	}
	b.dispatchPending(false)
}

// observeOutcome passes an outcome to the components that learn from it. The estimator comes before the
// outlier detector, which discards an endpoint's latency statistics when it returns it to rotation.
func (b *Balancer) observeOutcome(r *request, e *endpoint, ev AttemptEnded) {
	if ev.Outcome.NeverRan() {
		r.forgetRun()
	}
	if ev.Outcome == OutcomeSucceeded {
		b.estimates.observeSuccess(r, e, ev)
		b.slowStart.observe(e, r.current.startedAt, ev, float64(b.estimates.class(r).Threads))
	}
	b.outliers.observe(e, ev.Outcome)
}

// tryElsewhere cancels a request's attempt, at most once, if the request may have another attempt.
func (b *Balancer) tryElsewhere(r *request) {
	if !r.answered && !r.replanned && b.settings.CancellationEnabled && b.retries.mayRetry(r) {
		r.replanned = true
		b.cancelAttempt(r)
	}
}

func (b *Balancer) cancelAttempt(r *request) {
	if r.current.endpoint != nil && !r.current.cancelled && b.settings.CancellationEnabled {
		r.current.cancelled = true
		b.outbox.add(CancelAttempt{r.ID, r.attemptsStarted - 1})
	}
}

// giveUp answers a request at once: with a rejection if the client may safely retry, else with a failure. The
// dispatcher in internal/routing applies the same rule, from its own record of attempts, to the requests that
// it answers without a decision of this package.
func (b *Balancer) giveUp(r *request) {
	if !r.firstRun.mayHaveRun() || b.estimates.class(r).ClientMayRetry(r.firstRun.startedAt, b.clock.now) {
		b.outbox.add(Reject{r.ID, b.settings.MaxRetryAfter})
	} else {
		b.outbox.add(Fail{r.ID})
	}
	b.finish(r)
	b.cancelAttempt(r)
}

// finish marks a request as answered. It is removed once it has no attempt in flight.
func (b *Balancer) finish(r *request) {
	r.answered = true
	b.keyOrder.leave(r)
	if r.current.endpoint == nil {
		delete(b.requests, r.ID)
	}
}

// disconnected ends a request whose client has disconnected.
func (b *Balancer) disconnected(ev ClientDisconnected) {
	if r := b.requests[ev.ID]; r != nil && !r.answered {
		b.finish(r)
		b.cancelAttempt(r)
	}
}

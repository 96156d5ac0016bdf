package routing

import (
	"context"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/millis"
)

const (
	prioritizeTimeout = time.Second // maximum duration of a call that sets an attempt's priority
	// progressInterval is the minimum time between two progress reports of a streamed result.
	progressInterval = 100 * time.Millisecond
)

// attempt is one execution of a request at an endpoint. It is running or has ended.
type attempt struct {
	endpoint  *listedEndpoint // nil: the endpoint had left the endpoint list before the attempt started
	startedAt time.Time
	cancel    context.CancelFunc
	ended     bool
	outcome   decide.Outcome // valid once ended is true
}

// endpointName returns the name of the attempt's endpoint for the log, or "gone" if the attempt has no endpoint.
func (a *attempt) endpointName() string {
	if a.endpoint == nil {
		return "gone"
	}
	return a.endpoint.Name
}

// neverRan reports whether the attempt is known not to have run at its endpoint.
func (a *attempt) neverRan() bool { return a.ended && a.outcome.NeverRan() }

// startAttempt executes a StartAttempt action. Every started attempt ends with a call of attemptEnded.
func (d *Dispatcher) startAttempt(order decide.StartAttempt) {
	r, e := d.requests[order.ID], d.endpoints[order.Endpoint]
	if r == nil {
		return
	}
	timeout := min(millis.Duration(order.Timeout), time.Until(r.query.Deadline))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	a := &attempt{endpoint: e, startedAt: time.Now(), cancel: cancel}
	attemptIndex := len(r.attempts)
	r.attempts = append(r.attempts, a)
	r.runningAttempts++
	d.Counters.countAttemptStarted(r.query.Class)
	d.log.Debug("attempt started", "call", r.query.CallID, "class", r.query.Class, "attempt", attemptIndex,
		"endpoint", a.endpointName(), "timeout_ms", timeout.Milliseconds())
	d.recordRun(r, a)
	if e == nil || r.closed() {
		d.afterEvent(func() { d.attemptEnded(r, attemptIndex, order.Endpoint, Result{Outcome: decide.OutcomeNotSent}) })
		return
	}
	spec, upstream := d.attemptSpec(r, attemptIndex, order, timeout), e.upstream
	go func() {
		result := upstream.Run(ctx, spec)
		d.post(func() { d.attemptEnded(r, attemptIndex, order.Endpoint, result) })
	}()
}

// recordRun records in the run history, for a class with idempotency keys, that a run under the request's key starts.
func (d *Dispatcher) recordRun(r *request, a *attempt) {
	if a.endpoint == nil || d.settings.Classes[r.query.Class].Idempotency != decide.IdempotentByKey {
		return
	}
	startedAt := millis.FromTime(a.startedAt)
	run := decide.EarlierRun{StartedAt: startedAt, Zone: a.endpoint.Zone, Cell: a.endpoint.Cell}
	d.runHistory.record(r.key(), run, d.retriesEnd(r.query.Class, startedAt))
}

// retriesEnd returns the time until which a client may retry under the key of an attempt that started
// at startedAt: the end of the deduplication window plus the longest time that a client may wait for
// an answer.
func (d *Dispatcher) retriesEnd(class int, startedAt decide.Millis) decide.Millis {
	c := d.settings.Classes[class]
	return startedAt + c.DedupWindow + estimateTolerance*c.Deadline
}

// attemptSpec returns the description of an attempt that the endpoint's client executes.
func (d *Dispatcher) attemptSpec(r *request, attemptIndex int, order decide.StartAttempt, timeout time.Duration) AttemptSpec {
	a := r.attempts[attemptIndex]
	e := a.endpoint
	spec := AttemptSpec{
		CallID: r.query.CallID, Class: d.settings.Classes[r.query.Class].Name, Statement: r.query.Statement,
		Timeout: timeout, GrantMB: r.grantMB, Priority: r.priority, IdempotencyKey: r.query.IdempotencyKey,
		Sink: r.query.Sink, Exclusive: !d.settings.ConcurrentAttemptsEnabled,
		OnProgress: func(kind decide.ProgressKind, value float64) {
			d.post(func() {
				if !a.ended {
					d.handle(decide.AttemptProgress{ID: r.requestID, Attempt: attemptIndex, Kind: kind, Value: value})
				}
			})
		},
		StillReady: func() bool {
			if !e.ready.Load() || d.overrides.isSuspended(e.Name) || !r.mayStart() {
				return false
			}
			return order.StartBefore == 0 || millis.Now() < order.StartBefore
		},
		BeginSend: r.gate.begin,
	}
	if spec.Sink != nil {
		spec.Sink = &progressSink{ResultSink: spec.Sink, reportProgress: func() { spec.OnProgress(decide.ProgressPage, 0) }}
	}
	return spec
}

// progressSink reports the pages of a streamed result as progress. A large result takes long to
// stream, and its endpoint must not be mistaken for an unresponsive one.
type progressSink struct {
	ResultSink
	reportProgress func()    // reports progress to the balancer
	lastReportAt   time.Time // time of the latest progress report
}

// WritePage reports progress, at most once per progressInterval, and writes the page.
func (s *progressSink) WritePage(ctx context.Context, rows []byte) error {
	if now := time.Now(); now.Sub(s.lastReportAt) >= progressInterval {
		s.lastReportAt = now
		s.reportProgress()
	}
	return s.ResultSink.WritePage(ctx, rows)
}

// setResources sets the memory grant of the request's later attempts and the priority of its running and later attempts.
func (d *Dispatcher) setResources(order decide.SetAttemptResources) {
	r := d.requests[order.ID]
	if r == nil {
		return
	}
	r.grantMB, r.priority = order.GrantMB, order.Priority
	for _, a := range r.attempts {
		if !a.ended {
			go d.prioritize(a, r.query.CallID, order.Priority)
		}
	}
}

// prioritize sets the priority of an attempt at its endpoint. An attempt without an endpoint was not sent and is skipped.
func (d *Dispatcher) prioritize(a *attempt, callID string, priority int) {
	if a.endpoint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), prioritizeTimeout)
	defer cancel()
	if err := a.endpoint.upstream.Prioritize(ctx, callID, priority); err != nil {
		d.log.Debug("priority not set", "call", callID, "endpoint", a.endpointName(), "err", err)
	}
}

// cancelAttempt cancels a running attempt. It ignores the order if the request's own client no longer
// waits but followers do, as they need the result.
func (d *Dispatcher) cancelAttempt(order decide.CancelAttempt) {
	r := d.requests[order.ID]
	if r == nil || order.Attempt < 0 || order.Attempt >= len(r.attempts) {
		return
	}
	if r.closed() && len(r.followers) > 0 {
		return
	}
	d.Counters.cancellations.Add(1)
	r.attempts[order.Attempt].cancel()
}

func (d *Dispatcher) cancelAllAttempts() {
	for _, r := range d.requests {
		for _, a := range r.attempts {
			a.cancel()
		}
	}
}

// attemptEnded records the outcome of an attempt, answers the clients that its result decides and notifies the balancer.
func (d *Dispatcher) attemptEnded(r *request, attemptIndex int, endpointID decide.EndpointID, result Result) {
	d.recordOutcome(r, r.attempts[attemptIndex], result.Outcome)
	d.answerOutcome(r, result)
	latency := millis.Since(r.attempts[attemptIndex].startedAt)
	d.logAttemptEnded(r, attemptIndex, result, latency)
	d.handle(decide.AttemptEnded{
		ID: r.requestID, Attempt: attemptIndex, Endpoint: endpointID, Outcome: result.Outcome, Latency: latency, RequestClosed: r.closed(),
		ActualWork: result.ActualWork, ActualMemoryMB: result.ActualMemoryMB, Load: result.Load,
	})
	d.removeIfDone(r)
}

// recordOutcome marks an attempt as ended and releases its context. An attempt that never ran at its
// endpoint is removed from the run history of the request's key.
func (d *Dispatcher) recordOutcome(r *request, a *attempt, outcome decide.Outcome) {
	a.ended, a.outcome = true, outcome
	a.cancel()
	r.runningAttempts--
	if a.neverRan() {
		d.runHistory.forget(r.key(), millis.FromTime(a.startedAt))
	}
	d.Counters.countAttemptEnded(r.query.Class, outcome)
}

// answerOutcome sends the answers that follow directly from an attempt's result. The first success is
// the answer of the request. After any other outcome, a request whose client has left is answered
// and not retried; otherwise the balancer decides whether to retry.
func (d *Dispatcher) answerOutcome(r *request, result Result) {
	answer := Answer{Kind: Failed}
	if result.Outcome == decide.OutcomeSucceeded {
		answer = Answer{Kind: Succeeded, Body: result.Body, Streamed: result.Streamed}
		d.answer(r, answer)
	} else if r.clientLeft.Load() {
		d.answer(r, d.unservedAnswer(r, reasonClientLeft))
	}
	if r.closed() { // answered above or closed earlier; its followers may still wait
		d.releaseFollowers(r, answer)
	}
}

func (d *Dispatcher) logAttemptEnded(r *request, attemptIndex int, result Result, latency decide.Millis) {
	d.log.Debug("attempt ended", "call", r.query.CallID, "class", r.query.Class, "attempt", attemptIndex,
		"endpoint", r.attempts[attemptIndex].endpointName(), "outcome", outcomeNames[result.Outcome],
		"latency_ms", latency, "work_ms", result.ActualWork, "reason", result.Reason)
}

package simulation

import (
	"aniseloft/decide"
	"aniseloft/internal/emulator/engine"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// openRequest is a request that a coordinator holds.
type openRequest struct {
	observer.Request
	id               decide.RequestID
	query            scenario.Query
	try              *try
	answered         bool
	markedRetry      bool // the client marks the request as a retry
	grantMB          float64
	priority         int
	attempts         []*attempt
	attemptsInFlight int
}

// attempt is one attempt of a request at one engine.
type attempt struct {
	coordinator         *coordinator
	request             *openRequest
	index               int            // position in the request's attempts
	engine              *engineProcess // engine to which the attempt is sent; nil: it was not sent
	startedAt, deadline float64
	grantMB             float64
	priority            int
	incarnation         int  // incarnation of the coordinator that sent the attempt
	engineIncarnation   int  // incarnation of the engine that received the attempt
	connectionReleased  bool // the attempt's connection is idle or closed
	ended               bool // the coordinator knows the attempt's outcome
	cancelled           bool // the engine was notified of the cancellation
	job                 *engine.Job
}

// attemptEnded handles an attempt's outcome. Job is the engine's job if the attempt succeeded; load is the load report
// of the answer, or nil.
func (c *coordinator) attemptEnded(now float64, a *attempt, outcome decide.Outcome, job *engine.Job, load *decide.LoadReport) {
	if a.ended {
		return
	}
	r := a.request
	a.ended = true
	r.attemptsInFlight--
	event := decide.AttemptEnded{ID: r.id, Attempt: a.index, Outcome: outcome, Latency: now - a.startedAt, Load: load}
	if a.engine != nil {
		event.Endpoint = a.engine.endpoint
	}
	if outcome == decide.OutcomeSucceeded {
		if c.settings.ActualCostReported {
			event.ActualWork, event.ActualMemoryMB = r.query.Work, r.query.NeedMB
		}
		if !r.answered {
			c.answer(now, r, observer.Served, 0)
			c.effect(func(sim *Simulation) { sim.observer.Totals().Served += job.Total() })
		}
	}
	event.RequestClosed = r.answered
	c.effect(func(sim *Simulation) { sim.observer.AttemptEnded(now, c.index, &r.Request, outcome) })
	c.notifyPolicy(now, event)
	c.removeIfDone(r)
}

// answer gives a request its final answer, once.
func (c *coordinator) answer(now float64, r *openRequest, result observer.TryResult, retryAfterMS float64) {
	if r.answered {
		return
	}
	r.answered = true
	c.effect(func(sim *Simulation) {
		sim.observer.RequestAnswered(now, c.index, &r.Request, result)
		sim.loop.After(sim.clientDelay(), func() { r.try.answered(result, retryAfterMS) })
	})
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (c *coordinator) removeIfDone(r *openRequest) {
	if r.answered && r.attemptsInFlight == 0 {
		delete(c.requests, r.id)
	}
}

// setResources sets the grant of later attempts, and the priority of those in flight too.
func (c *coordinator) setResources(action decide.SetAttemptResources) {
	r := c.requests[action.ID]
	if r == nil {
		return
	}
	r.grantMB, r.priority = action.GrantMB, action.Priority
	for _, a := range r.attempts {
		if a.ended || a.engine == nil {
			continue
		}
		c.effect(func(sim *Simulation) {
			sim.loop.After(sim.networkDelay(c.zone, a.engine.zone), func() { a.engine.prioritize(a, action.Priority) })
		})
	}
}

// cancelAttempt notifies the engine that an attempt is cancelled, on which the engine drops the query.
func (c *coordinator) cancelAttempt(a *attempt) {
	if a.engine == nil {
		return
	}
	c.effect(func(sim *Simulation) {
		sim.loop.After(sim.networkDelay(c.zone, a.engine.zone), func() { a.engine.cancel(a) })
	})
}

// startAttempt sends a request to an engine. The attempt's timeout includes the time to establish a connection.
func (c *coordinator) startAttempt(now float64, action decide.StartAttempt) {
	r := c.requests[action.ID]
	if r == nil {
		return
	}
	a := &attempt{
		coordinator: c, request: r, incarnation: c.incarnation, index: len(r.attempts),
		startedAt: now, deadline: now + min(action.Timeout, r.Until-now), grantMB: r.grantMB, priority: r.priority,
	}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	answered := r.answered
	c.effect(func(sim *Simulation) {
		proc := sim.enginesByID[action.Endpoint]
		zone := c.zone
		if proc != nil {
			zone = proc.zone
		}
		sim.observer.AttemptSent(now, c.index, &r.Request, action.Endpoint, zone)
		if proc == nil || answered {
			c.deliver(sim, attemptEndedInput{attempt: a, outcome: decide.OutcomeNotSent})
			return
		}
		a.engine = proc
		deliver := func(input any) {
			if c.incarnation == a.incarnation {
				c.deliver(sim, input)
			}
		}
		sim.loop.At(a.deadline, func() {
			if !a.ended {
				deliver(timeoutInput{a})
			}
		})
		proc.connect(c, func(incarnation int) { proc.accept(a, incarnation) },
			func() { deliver(attemptEndedInput{attempt: a, outcome: decide.OutcomeConnectFailed}) })
	})
}

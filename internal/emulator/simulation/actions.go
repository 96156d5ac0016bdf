package simulation

import (
	"strconv"

	"aniseloft/decide"
	"aniseloft/internal/emulator/observer"
)

// perform executes one action that the policy has returned.
func (c *coordinator) perform(now float64, action decide.Action) {
	switch action := action.(type) {
	case decide.StartAttempt:
		c.startAttempt(now, action)
	case decide.CancelAttempt:
		c.performCancel(action)
	case decide.Reject:
		c.answerByID(now, action.ID, observer.Rejected, action.RetryAfter)
	case decide.Fail:
		c.answerByID(now, action.ID, observer.Failed, 0)
	case decide.SetAttemptResources:
		c.setResources(action)
	case decide.StartTimer:
		c.startTimer(now, action)
	case decide.Probe:
		c.probe(now, action.Endpoint)
	case decide.SendGossip:
		c.effect(func(sim *Simulation) { sim.sendGossip(c, action) })
	}
}

// performCancel cancels an attempt that has not ended. The coordinator handles the outcome of the attempt in its next
// step.
func (c *coordinator) performCancel(action decide.CancelAttempt) {
	r := c.requests[action.ID]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[action.Attempt]
	if a.ended {
		return
	}
	c.cancelAttempt(a)
	c.effect(func(sim *Simulation) { sim.observer.Totals().Cancels++ })
	c.inbox = append(c.inbox, attemptEndedInput{attempt: a, outcome: decide.OutcomeCancelled})
}

// answerByID gives the request with an ID its final answer, if the request is still open.
func (c *coordinator) answerByID(now float64, id decide.RequestID, result observer.TryResult, retryAfterMS float64) {
	if r := c.requests[id]; r != nil {
		c.answer(now, r, result, retryAfterMS)
		c.removeIfDone(r)
	}
}

// startTimer delivers the token of a timer to the policy after the delay of the action.
func (c *coordinator) startTimer(now float64, action decide.StartTimer) {
	incarnation := c.incarnation
	c.effect(func(sim *Simulation) {
		sim.loop.At(now+action.After, func() {
			if c.incarnation == incarnation {
				c.deliver(sim, timerInput{action.Token})
			}
		})
	})
}

// probe sends a health check. The probe ends with the engine's answer or with its timeout, whichever comes first.
func (c *coordinator) probe(now float64, id decide.EndpointID) {
	c.effect(func(sim *Simulation) {
		proc, incarnation, done := sim.enginesByID[id], c.incarnation, false
		end := func(outcome decide.Outcome, load *decide.LoadReport) {
			if !done && c.incarnation == incarnation {
				done = true
				c.deliver(sim, probeInput{decide.ProbeEnded{Endpoint: id, Outcome: outcome, Latency: sim.loop.Now() - now, Load: load}})
			}
		}
		if proc == nil {
			end(decide.OutcomeNotSent, nil)
			return
		}
		sim.observer.Totals().Probes++
		sim.loop.After(sim.scenario.Engines.ProbeTimeoutMS, func() { end(decide.OutcomeTimeout, nil) })
		proc.connect(c, func(incarnation int) { proc.answerProbe(c, incarnation, end) }, func() { end(decide.OutcomeConnectFailed, nil) })
	})
}

// requestID returns the ID of the request with the given sequence number.
func requestID(sequence uint64) decide.RequestID {
	return decide.RequestID(strconv.FormatUint(sequence, 36))
}

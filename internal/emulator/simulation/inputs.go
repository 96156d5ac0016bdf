package simulation

import (
	"aniseloft/decide"
	"aniseloft/internal/emulator/engine"
)

// The inputs of a coordinator.
type (
	requestInput      struct{ request *openRequest }
	attemptEndedInput struct {
		attempt *attempt
		outcome decide.Outcome
		job     *engine.Job        // job of a successful attempt
		load    *decide.LoadReport // load report in the answer; nil: none
	}
	timeoutInput    struct{ attempt *attempt }
	disconnectInput struct{ request *openRequest }
	timerInput      struct{ token string }
	progressInput   struct {
		attempt *attempt
		event   decide.AttemptProgress
	}
	gossipInput struct{ event decide.GossipReceived }
	probeInput  struct {
		event decide.ProbeEnded
	}
	endpointInput struct {
		event decide.EndpointUpdate
	}
)

// handle processes one input.
func (c *coordinator) handle(now float64, in any) {
	switch in := in.(type) {
	case requestInput:
		r := in.request
		c.requests[r.id] = r
		c.effect(func(sim *Simulation) { sim.observer.RequestReceived(now, c.index, &r.Request) })
		c.notifyPolicy(now, decide.RequestArrived{
			ID: r.id, Class: r.query.Class, Group: r.query.DataSet, TimeLeft: r.Until - now,
			Key: r.query.DataSet, HasKey: c.settings.Classes[r.query.Class].OrderedByKey,
			EstimatedWork: r.query.EstimatedWork, EstimatedMemoryMB: r.query.EstimatedMB, IsRetry: r.markedRetry,
		})
	case attemptEndedInput:
		c.attemptEnded(now, in.attempt, in.outcome, in.job, in.load)
	case progressInput:
		if !in.attempt.ended {
			c.notifyPolicy(now, in.event)
		}
	case gossipInput:
		c.notifyPolicy(now, in.event)
	case timeoutInput:
		if a := in.attempt; !a.ended {
			c.cancelAttempt(a)
			c.attemptEnded(now, a, decide.OutcomeTimeout, nil, nil)
		}
	case disconnectInput:
		if r := in.request; !r.answered {
			r.answered = true
			c.effect(func(sim *Simulation) { sim.observer.ClientDisconnected(now, c.index, &r.Request) })
			c.notifyPolicy(now, decide.ClientDisconnected{ID: r.id})
			c.removeIfDone(r)
		}
	case timerInput:
		c.notifyPolicy(now, decide.TimerFired{Token: in.token})
	case probeInput:
		c.notifyPolicy(now, in.event)
	case endpointInput:
		update := in.event
		c.effect(func(sim *Simulation) {
			for _, e := range update.Entries {
				sim.observer.EndpointNotified(now, c.index, e.ID, e.State)
			}
		})
		c.notifyPolicy(now, update)
	}
}

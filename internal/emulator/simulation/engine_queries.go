package simulation

import (
	"aniseloft/decide"
	"aniseloft/internal/emulator/engine"
	"aniseloft/internal/emulator/scenario"
)

// jobEnded replies to the attempt of a job that ended. A part of the completed jobs, ErrorRate, fails at random.
func (proc *engineProcess) jobEnded(e engine.End) {
	a := e.Job.Owner.(*attempt)
	switch {
	case e.Expired:
		proc.reply(a, decide.OutcomeOverloaded, nil)
	case proc.sim.errorRand.Float64() < proc.sim.scenario.Engines.ErrorRate:
		proc.reply(a, decide.OutcomeError, nil)
	default:
		proc.reply(a, decide.OutcomeSucceeded, e.Job)
	}
}

// reply sends an attempt's outcome to its coordinator. The reply of an unresponsive engine is lost.
func (proc *engineProcess) reply(a *attempt, outcome decide.Outcome, job *engine.Job) {
	if proc.unresponsive {
		return
	}
	sim, c := proc.sim, a.coordinator
	var load *decide.LoadReport
	if sim.scenario.Engines.Reports == scenario.ReportsInAnswers && proc.running && outcome != decide.OutcomeReset {
		load = proc.loadReport()
	}
	sim.loop.After(sim.networkDelay(proc.zone, c.zone), func() {
		proc.releaseConnection(a, outcome != decide.OutcomeReset && c.incarnation == a.incarnation)
		if c.incarnation == a.incarnation {
			c.deliver(sim, attemptEndedInput{a, outcome, job, load})
		}
	})
}

// accept receives a query over a connection to an incarnation of the engine.
func (proc *engineProcess) accept(a *attempt, incarnation int) {
	a.engineIncarnation = incarnation
	switch {
	case proc.unresponsive:
		return
	case !proc.running || proc.incarnation != incarnation:
		proc.reply(a, decide.OutcomeReset, nil)
		return
	case proc.stalled:
		proc.callsAfterStall = append(proc.callsAfterStall, func() { proc.accept(a, incarnation) })
		return
	case a.cancelled:
		proc.reply(a, decide.OutcomeCancelled, nil)
		return
	case proc.draining:
		proc.reply(a, decide.OutcomeOverloaded, nil)
		return
	}
	proc.startJob(a)
}

// startJob starts an attempt's query in the model.
func (proc *engineProcess) startJob(a *attempt) {
	sim := proc.sim
	now, r := sim.loop.Now(), a.request
	sim.jobs++
	a.job = engine.NewJob(sim.scenario, r.query, sim.arrivals.MeanWork(r.query.Class))
	a.job.ID, a.job.Coordinator, a.job.Owner = sim.jobs, a.coordinator.index, a
	a.job.Priority, a.job.Expires = 1, a.deadline
	if sim.scenario.Engines.Grants {
		a.job.GrantMB = int64(a.grantMB)
	}
	if sim.scenario.Engines.Priorities {
		a.job.Priority = a.priority
	}
	a.job.Work *= engine.DrawPlanMultiple(sim.scenario.Classes[r.query.Class], sim.badPlanRand)
	proc.advance(func() {
		switch proc.model.Start(now, a.job) {
		case engine.Rejected:
			proc.reply(a, decide.OutcomeOverloaded, nil)
		case engine.Overloaded:
			notifiedRatio := proc.model.NotifiedLoadRatio(func(coordinator int) bool { return sim.observer.KnowsEndpoint(coordinator, proc.endpoint) })
			sim.observer.EngineOverloaded(now, proc.endpoint, notifiedRatio)
			proc.terminate(true)
			proc.reply(a, decide.OutcomeReset, nil)
			sim.discovery.detect(sim, proc, decide.EndpointRemoved)
		default:
			sim.observer.AttemptStarted(now, &r.Request)
			proc.reportProgress(a)
		}
	})
}

// prioritize changes the priority of an attempt's query.
func (proc *engineProcess) prioritize(a *attempt, priority int) {
	if proc.running && !proc.unresponsive && a.job != nil {
		proc.advance(func() { proc.model.Prioritize(proc.sim.loop.Now(), a.job.ID, priority) })
	}
}

// cancel handles a coordinator's notification that an attempt is cancelled: it drops the attempt's query.
func (proc *engineProcess) cancel(a *attempt) {
	proc.releaseConnection(a, false)
	a.cancelled = true
	if !proc.running || proc.unresponsive || a.job == nil {
		return
	}
	if proc.stalled {
		proc.callsAfterStall = append(proc.callsAfterStall, func() { proc.cancel(a) })
		return
	}
	proc.advance(func() { proc.model.Cancel(proc.sim.loop.Now(), a.job.ID) })
}

package simulation

import (
	"aniseloft/decide"
	"aniseloft/internal/emulator/engine"
)

// loadReport returns the engine's load report, with noise. Fields that the scenario does not report are -1.
func (proc *engineProcess) loadReport() *decide.LoadReport {
	sim := proc.sim
	report := proc.model.Report(sim.loop.Now())
	load := &decide.LoadReport{InFlight: -1, Queue: -1, Utilization: -1, Latency: -1, Memory: -1, Disk: -1}
	for _, field := range sim.scenario.Engines.ReportFields {
		noisy := func(x float64) float64 {
			return max(x*(1+sim.scenario.Engines.ReportNoise*sim.reportNoiseRand.NormFloat64()), 0)
		}
		switch field {
		case "inflight":
			load.InFlight = noisy(report.InFlight)
		case "queue":
			load.Queue = noisy(report.Queue)
		case "util":
			load.Utilization = noisy(report.Util)
		case "x0":
			load.Memory = noisy(report.Memory)
		case "x1":
			load.Disk = noisy(report.Disk)
		}
	}
	return load
}

// answerProbe answers a health check, which uses no capacity. A stalled process answers after it resumes.
func (proc *engineProcess) answerProbe(c *coordinator, incarnation int, end func(decide.Outcome, *decide.LoadReport)) {
	sim := proc.sim
	switch {
	case proc.unresponsive:
		proc.connections--
		return
	case !proc.running || proc.incarnation != incarnation:
		sim.loop.After(sim.networkDelay(proc.zone, c.zone), func() { end(decide.OutcomeReset, nil) })
		return
	case proc.stalled:
		proc.callsAfterStall = append(proc.callsAfterStall, func() { proc.answerProbe(c, incarnation, end) })
		return
	}
	load := proc.loadReport()
	sim.loop.After(sim.networkDelay(proc.zone, c.zone), func() {
		if c.running && proc.incarnation == incarnation {
			c.pool(proc).put(sim.loop.Now())
		}
		end(decide.OutcomeSucceeded, load)
	})
}

// reportProgress reports an attempt's progress at an interval while the engine holds it: the ratio of its work that is done
// or the reason why it waits, and the memory that it spills for.
func (proc *engineProcess) reportProgress(a *attempt) {
	interval := proc.sim.scenario.Engines.ProgressMS
	if interval <= 0 {
		return
	}
	sim, incarnation := proc.sim, proc.incarnation
	sim.loop.After(interval, func() {
		if proc.incarnation != incarnation || !proc.running || a.cancelled || proc.unresponsive {
			return
		}
		if proc.stalled {
			proc.callsAfterStall = append(proc.callsAfterStall, func() { proc.reportProgress(a) })
			return
		}
		var progress engine.Progress
		held := false
		proc.advance(func() { progress, held = proc.model.Progress(sim.loop.Now(), a.job.ID) })
		if held {
			proc.sendProgress(a, progress)
			proc.reportProgress(a)
		}
	})
}

// sendProgress sends the progress of a query to its coordinator: how far it is, or why it waits, and the
// memory that it lacks if it spills.
func (proc *engineProcess) sendProgress(a *attempt, progress engine.Progress) {
	send := func(kind decide.ProgressKind, value float64) {
		event := decide.AttemptProgress{ID: a.request.id, Attempt: a.index, Kind: kind, Value: value}
		proc.sim.loop.After(proc.sim.networkDelay(proc.zone, a.coordinator.zone), func() {
			if a.coordinator.incarnation == a.incarnation {
				a.coordinator.deliver(proc.sim, progressInput{a, event})
			}
		})
	}
	if progress.WaitReason > 0 {
		send(decide.ProgressWaiting, float64(progress.WaitReason))
	} else {
		send(decide.ProgressRatio, progress.Ratio)
	}
	if progress.MissingMB > 0 {
		send(decide.ProgressSpilled, float64(progress.MissingMB))
	}
}

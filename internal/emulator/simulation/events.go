package simulation

import (
	"aniseloft/decide"
	"aniseloft/internal/emulator/scenario"
)

// handleEvent applies an event of the scenario's timeline: the start, a change or the end of a fault.
func (sim *Simulation) handleEvent(event scenario.Event) {
	switch event.Kind {
	case scenario.EventSlowFleet:
		sim.setFleetSlowdown(event.Value)
	case scenario.EventReportDelay:
		sim.setReportDelay(event.Value)
	case scenario.EventDiscoveryDown:
		sim.discovery.setAvailable(sim, event.Value == 0)
	case scenario.EventDiscoveryDelay:
		sim.discovery.delayMS = event.Value
		sim.observer.Note(sim.loop.Now(), "additional detection delay of the journal service: %.0f ms", event.Value)
	case scenario.EventCoordinatorCrash:
		sim.observer.Note(sim.loop.Now(), "coordinator %d is killed", event.Coordinator)
		sim.crashCoordinator(sim.coordinators[event.Coordinator])
	case scenario.EventCoordinatorStart:
		sim.restartCoordinator(event.Coordinator)
	default:
		sim.handleEngineEvent(sim.engines[event.Engine], event)
	}
}

func (sim *Simulation) handleEngineEvent(proc *engineProcess, event scenario.Event) {
	switch event.Kind {
	case scenario.EventStall:
		proc.stall(event.Value > 0)
	case scenario.EventSlowEngine:
		proc.setSlowdown(event.Value)
	case scenario.EventNoisyNeighbour:
		proc.setNeighbourRatio(event.Value)
	case scenario.EventJoin, scenario.EventReturn:
		sim.startEngine(proc)
	case scenario.EventDrain:
		sim.drainEngine(proc)
	case scenario.EventLeave, scenario.EventCrash:
		sim.endEngine(proc, event.Kind == scenario.EventLeave)
	case scenario.EventUnresponsive:
		sim.setUnresponsive(proc, event.Value > 0)
	}
}

func (sim *Simulation) setFleetSlowdown(slowdown float64) {
	now := sim.loop.Now()
	sim.fleetSlowdown = slowdown
	for _, proc := range sim.engines {
		proc.applySlowdown(now)
	}
	sim.observer.Note(now, "all engines slowed down by a factor of %.2f", slowdown)
}

func (proc *engineProcess) setSlowdown(slowdown float64) {
	now := proc.sim.loop.Now()
	proc.slowdown = slowdown
	proc.applySlowdown(now)
	proc.sim.observer.Note(now, "engine %d slowed down by a factor of %.2f compared with the others", proc.place, slowdown)
}

// applySlowdown sets the model's slowdown to the product of the fleet's slowdown and the engine's slowdown.
func (proc *engineProcess) applySlowdown(now float64) {
	if proc.running {
		proc.advance(func() { proc.model.SetSlowdown(now, proc.sim.fleetSlowdown*proc.slowdown) })
	}
}

func (proc *engineProcess) setNeighbourRatio(ratio float64) {
	now := proc.sim.loop.Now()
	proc.neighbourRatio = ratio
	if proc.running {
		proc.advance(func() { proc.model.SetNeighbourRatio(now, ratio) })
	}
	proc.sim.observer.Note(now, "another program uses %.2f of the cores and disks of engine %d", ratio, proc.place)
}

func (sim *Simulation) setReportDelay(delayMS float64) {
	now := sim.loop.Now()
	sim.reportDelayMS = delayMS
	for _, proc := range sim.engines {
		if proc.running {
			proc.advance(func() { proc.model.SetReportDelay(now, delayMS) })
		}
	}
	sim.observer.Note(now, "additional delay of load reports: %.0f ms", delayMS)
}

func (sim *Simulation) startEngine(proc *engineProcess) {
	if proc.running || proc.removed {
		return
	}
	now := sim.loop.Now()
	proc.start(now, now)
	sim.observer.Note(now, "engine %d starts cold", proc.place)
	sim.discovery.detect(sim, proc, decide.EndpointReady)
}

func (sim *Simulation) drainEngine(proc *engineProcess) {
	if !proc.running || proc.draining {
		return
	}
	proc.draining = true
	sim.observer.Note(sim.loop.Now(), "engine %d drains", proc.place)
	sim.discovery.detect(sim, proc, decide.EndpointDraining)
}

// endEngine ends an engine's process. If forGood is set, the engine does not start again.
func (sim *Simulation) endEngine(proc *engineProcess, forGood bool) {
	if !proc.running {
		return
	}
	sim.observer.Note(sim.loop.Now(), "engine %d: process ended", proc.place)
	proc.removed = proc.removed || forGood
	proc.terminate(false)
	sim.discovery.detect(sim, proc, decide.EndpointRemoved)
}

// setUnresponsive cuts an engine off from the network, or connects it again. The engine's process keeps running.
func (sim *Simulation) setUnresponsive(proc *engineProcess, unresponsive bool) {
	if !proc.running || proc.unresponsive == unresponsive {
		return
	}
	proc.unresponsive = unresponsive
	if unresponsive {
		sim.observer.Note(sim.loop.Now(), "engine %d unresponsive: true", proc.place)
		sim.loop.After(sim.discovery.detectionDelay(sim, true), func() {
			if proc.unresponsive && proc.running {
				sim.discovery.changeDetected(sim, proc, decide.EndpointRemoved, 0)
			}
		})
		return
	}
	sim.observer.Note(sim.loop.Now(), "engine %d unresponsive: false", proc.place)
	if sim.discovery.states[proc] == decide.EndpointRemoved {
		sim.discovery.detect(sim, proc, decide.EndpointReady)
	}
}

// restartCoordinator starts a coordinator that a fault has ended, unless the end of another fault has already started
// it.
func (sim *Simulation) restartCoordinator(index int) {
	c := sim.coordinators[index]
	if c.running {
		return
	}
	sim.observer.Note(sim.loop.Now(), "coordinator %d starts", index)
	if err := sim.startCoordinator(c); err != nil {
		return
	}
	sim.loop.After(sim.frontProxy.DetectionDelay(), func() { sim.frontProxy.SetAlive(index, c.running) })
}

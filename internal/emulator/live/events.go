package live

import (
	"context"

	"aniseloft/decide"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// note adds a line to the report's timeline.
func (d *Rehearsal) note(format string, args ...any) {
	d.sharedObserver.with(func(o *observer.Observer) { o.Note(d.clock.Now(), format, args...) })
}

// handleEvent applies an event of the scenario's timeline: the start, a change or the end of a fault.
func (d *Rehearsal) handleEvent(ctx context.Context, event scenario.Event) {
	switch event.Kind {
	case scenario.EventSlowFleet:
		d.setFleetSlowdown(event.Value)
	case scenario.EventReportDelay:
		d.setReportDelay(event.Value)
	case scenario.EventDiscoveryDown:
		d.discovery.setDown(event.Value > 0)
		d.note("journal service unavailable: %t", event.Value > 0)
		d.publishPending(event.Value == 0)
	case scenario.EventDiscoveryDelay:
		d.mu.Lock()
		d.discoveryDelayMS = event.Value
		d.mu.Unlock()
		d.note("additional detection delay of the journal service: %.0f ms", event.Value)
	case scenario.EventCoordinatorCrash:
		d.killCoordinator(event.Coordinator)
	case scenario.EventCoordinatorStart:
		d.restartCoordinator(ctx, event.Coordinator)
	default:
		d.handleEngineEvent(d.engines[event.Engine], event)
	}
}

func (d *Rehearsal) handleEngineEvent(e *Engine, event scenario.Event) {
	switch event.Kind {
	case scenario.EventStall:
		e.changeModel(func(now float64) {
			e.stalled = event.Value > 0
			e.model.Stall(now, e.stalled)
		})
	case scenario.EventSlowEngine:
		d.setEngineSlowdown(e, event.Value)
	case scenario.EventNoisyNeighbour:
		e.changeModel(func(now float64) {
			e.neighbourRatio = event.Value
			e.model.SetNeighbourRatio(now, event.Value)
		})
		d.note("another program uses %.2f of the cores and disks of engine %d", event.Value, e.index)
	case scenario.EventJoin, scenario.EventReturn:
		d.startEngine(e)
	case scenario.EventDrain:
		d.drainEngine(e)
	case scenario.EventLeave, scenario.EventCrash:
		d.endEngine(e, event.Kind == scenario.EventLeave)
	case scenario.EventUnresponsive:
		d.setUnresponsive(e, event.Value > 0)
	}
}

func (d *Rehearsal) setFleetSlowdown(slowdown float64) {
	d.mu.Lock()
	d.fleetSlowdown = slowdown
	d.mu.Unlock()
	for _, e := range d.engines {
		e.changeModel(func(now float64) { e.model.SetSlowdown(now, slowdown*max(e.slowdown, 1)) })
	}
	d.note("all engines slowed down by a factor of %.2f", slowdown)
}

func (d *Rehearsal) setEngineSlowdown(e *Engine, slowdown float64) {
	fleetSlowdown := d.currentFleetSlowdown()
	e.changeModel(func(now float64) {
		e.slowdown = slowdown
		e.model.SetSlowdown(now, fleetSlowdown*max(e.slowdown, 1))
	})
	d.note("engine %d slowed down by a factor of %.2f compared with the others", e.index, slowdown)
}

func (d *Rehearsal) currentFleetSlowdown() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleetSlowdown
}

func (d *Rehearsal) setReportDelay(delayMS float64) {
	for _, e := range d.engines {
		e.mu.Lock()
		e.reportDelayMS = delayMS
		e.mu.Unlock()
		e.changeModel(func(now float64) { e.model.SetReportDelay(now, delayMS) })
	}
	d.note("additional delay of load reports: %.0f ms", delayMS)
}

func (d *Rehearsal) startEngine(e *Engine) {
	fleetSlowdown := d.currentFleetSlowdown()
	if e.isRunning() || e.removed {
		return
	}
	if err := e.startProcess(d.clock.Now(), fleetSlowdown); err != nil {
		d.note("%v", err)
		return
	}
	d.note("engine %d starts cold", e.index)
	d.endpointChanged(e, decide.EndpointReady, false)
}

func (d *Rehearsal) drainEngine(e *Engine) {
	if !e.isRunning() {
		return
	}
	e.changeModel(func(float64) { e.draining = true })
	d.note("engine %d drains", e.index)
	d.endpointChanged(e, decide.EndpointDraining, false)
}

// endEngine ends an engine's process. If forGood is set, the engine does not start again.
func (d *Rehearsal) endEngine(e *Engine, forGood bool) {
	if !e.isRunning() {
		return
	}
	e.removed = e.removed || forGood
	e.terminate()
	d.note("engine %d: process ended", e.index)
	d.endpointChanged(e, decide.EndpointRemoved, false)
}

// setUnresponsive stops an engine from answering, or lets it answer again. The engine's process keeps running.
func (d *Rehearsal) setUnresponsive(e *Engine, unresponsive bool) {
	e.changeModel(func(float64) { e.unresponsive = unresponsive })
	d.note("engine %d unresponsive: %t", e.index, unresponsive)
	if unresponsive {
		d.endpointChanged(e, decide.EndpointRemoved, true)
	} else {
		d.endpointChanged(e, decide.EndpointReady, false)
	}
}

// restartCoordinator starts a coordinator that a fault has ended, unless the end of another fault has already started
// it.
func (d *Rehearsal) restartCoordinator(ctx context.Context, index int) {
	if len(d.coordinators) == 0 {
		return
	}
	c := d.coordinators[index]
	if !d.isDown(c) {
		return
	}
	if err := d.startCoordinator(c); err != nil {
		d.note("coordinator %d: %v", index, err)
		return
	}
	d.note("coordinator %d starts", index)
	if d.waitUntilServing(ctx, c) == nil {
		d.afterDetection(func() { d.frontProxy.SetAlive(index, true) })
	}
}

func (e *Engine) isRunning() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

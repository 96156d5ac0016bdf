package simulation

import (
	"math/rand/v2"

	"aniseloft/decide"
)

// discovery simulates the journal service, which lists the engines. Each coordinator receives watch events in order.
// Changes that are due while the service is unavailable are published once it is available again.
type discovery struct {
	rng                 *rand.Rand
	unavailable         bool
	delayMS             float64                                 // additional delay of each detection, ms
	states              map[*engineProcess]decide.EndpointState // published state of each engine
	entries             []decide.EndpointInfo                   // the published endpoint list, with the same indexes as engines
	engines             []*engineProcess
	pendingPublications []func()  // publications that wait until the service is available
	lastDeliveryAt      []float64 // time of delivery of the latest watch event, by coordinator
}

// detectionDelay draws the time that the service takes to detect a change, in ms.
func (d *discovery) detectionDelay(sim *Simulation, unresponsive bool) float64 {
	if unresponsive {
		return sim.scenario.Discovery.UnresponsiveDetectionMS.Draw(d.rng)
	}
	return sim.scenario.Discovery.DetectionMS.Draw(d.rng)
}

// setState sets an engine's state in the published list, and returns its entry.
func (d *discovery) setState(proc *engineProcess, state decide.EndpointState) decide.EndpointInfo {
	const enginesPerCell = 4
	if d.states == nil {
		d.states = map[*engineProcess]decide.EndpointState{}
	}
	entry := decide.EndpointInfo{
		ID: proc.endpoint, Zone: proc.zone, Cell: proc.place / enginesPerCell, State: state, StartedAt: proc.startedAt,
	}
	d.states[proc] = state
	for i, listed := range d.engines {
		if listed == proc {
			d.entries[i] = entry
			return entry
		}
	}
	d.engines = append(d.engines, proc)
	d.entries = append(d.entries, entry)
	return entry
}

// snapshot returns the endpoint list that a starting coordinator receives.
func (d *discovery) snapshot() decide.EndpointUpdate {
	update := decide.EndpointUpdate{Kind: decide.UpdateCached}
	for _, entry := range d.entries {
		if entry.State != decide.EndpointRemoved {
			update.Entries = append(update.Entries, entry)
		}
	}
	return update
}

// detect publishes the new state of a responsive engine after the detection delay.
func (d *discovery) detect(sim *Simulation, proc *engineProcess, state decide.EndpointState) {
	d.changeDetected(sim, proc, state, d.detectionDelay(sim, false))
}

// changeDetected publishes the new state of an engine afterMS later or, if the service is unavailable then, once it is
// available again.
func (d *discovery) changeDetected(sim *Simulation, proc *engineProcess, state decide.EndpointState, afterMS float64) {
	publish := func() { d.publish(sim, proc, state) }
	sim.loop.After(afterMS+d.delayMS, func() {
		if d.unavailable {
			d.pendingPublications = append(d.pendingPublications, publish)
			return
		}
		publish()
	})
}

// publish sends a watch event to each coordinator.
func (d *discovery) publish(sim *Simulation, proc *engineProcess, state decide.EndpointState) {
	entry := d.setState(proc, state)
	if d.lastDeliveryAt == nil {
		d.lastDeliveryAt = make([]float64, len(sim.coordinators))
	}
	for i, c := range sim.coordinators {
		at := max(sim.loop.Now()+sim.scenario.Discovery.PropagationMS.Draw(d.rng), d.lastDeliveryAt[i])
		d.lastDeliveryAt[i] = at
		incarnation := c.incarnation
		sim.loop.At(at, func() {
			if c.incarnation == incarnation {
				c.deliver(sim, endpointInput{decide.EndpointUpdate{Kind: decide.UpdateIncremental, Entries: []decide.EndpointInfo{entry}}})
			}
		})
	}
}

// setAvailable makes the service unavailable, or makes it available again and publishes the pending changes.
func (d *discovery) setAvailable(sim *Simulation, available bool) {
	d.unavailable = !available
	if !available {
		sim.observer.Note(sim.loop.Now(), "journal service unavailable: true")
		return
	}
	sim.observer.Note(sim.loop.Now(), "journal service unavailable: false")
	publications := d.pendingPublications
	d.pendingPublications = nil
	for _, publish := range publications {
		publish()
	}
}

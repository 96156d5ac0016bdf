package live

import (
	"aniseloft/decide"
)

// endpointChanged publishes the new state of an engine after the detection and propagation delays of the scenario, or
// later if the journal service is unavailable then.
func (d *Rehearsal) endpointChanged(e *Engine, state decide.EndpointState, unresponsive bool) {
	d.mu.Lock()
	detectionMS := d.scenario.Discovery.DetectionMS
	if unresponsive {
		detectionMS = d.scenario.Discovery.UnresponsiveDetectionMS
	}
	delay := detectionMS.Draw(d.discoveryRand) + d.discoveryDelayMS + d.scenario.Discovery.PropagationMS.Draw(d.discoveryRand)
	d.mu.Unlock()
	publish := func() {
		e.mu.Lock()
		isStale := unresponsive && !e.unresponsive // the engine answered again before its removal was detected
		entry := d.listEntry(e, state)
		e.mu.Unlock()
		if !isStale {
			d.discovery.publish(false, entry)
		}
	}
	d.clock.after(d.clock.Now()+delay, func() {
		if _, _, down := d.discovery.entriesAfter(0); down {
			d.mu.Lock()
			d.pendingUpdates = append(d.pendingUpdates, publish)
			d.mu.Unlock()
			return
		}
		publish()
	})
}

// publishPending publishes the changes that were delayed while the journal service was unavailable, if it is available
// again.
func (d *Rehearsal) publishPending(available bool) {
	if !available {
		return
	}
	d.mu.Lock()
	pending := d.pendingUpdates
	d.pendingUpdates = nil
	d.mu.Unlock()
	for _, publish := range pending {
		publish()
	}
}

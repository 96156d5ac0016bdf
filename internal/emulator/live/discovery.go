package live

import (
	"aniseloft/decide"
)

// endpointChanged publishes a state of an engine after its detection and propagation delays, or later if discovery is down.
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
		stale := unresponsive && !e.unresponsive // the engine answered again before its removal was detected
		entry := d.listEntry(e, state)
		e.mu.Unlock()
		if !stale {
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

// publishPending publishes the changes that were delayed while discovery was down, if it is up again.
func (d *Rehearsal) publishPending(up bool) {
	if !up {
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

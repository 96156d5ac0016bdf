package routing

import (
	"context"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/millis"
)

const probeTimeout = 250 * time.Millisecond

// probe requests a load report from an endpoint. Every probe results in a ProbeEnded event.
func (d *Dispatcher) probe(id decide.EndpointID) {
	e := d.endpoints[id]
	if e == nil {
		d.afterEvent(func() { d.handle(decide.ProbeEnded{Endpoint: id, Outcome: decide.OutcomeNotSent}) })
		return
	}
	d.Counters.probes.Add(1)
	startedAt, upstream := time.Now(), e.upstream
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		outcome, load := upstream.Probe(ctx)
		d.post(func() { d.probeEnded(e, startedAt, outcome, load) })
	}()
}

func (d *Dispatcher) probeEnded(e *listedEndpoint, startedAt time.Time, outcome decide.Outcome, load *decide.LoadReport) {
	latency := millis.Since(startedAt)
	inFlight := -1.0 // -1 in the log: the probe returned no load report
	if load != nil {
		inFlight = load.InFlight
	}
	d.log.Debug("endpoint probed", "endpoint", e.Name, "outcome", outcomeNames[outcome], "latency_ms", latency, "in_flight", inFlight)
	d.handle(decide.ProbeEnded{Endpoint: e.ID, Outcome: outcome, Load: load, Latency: latency})
}

package decide

// EndpointStatus is a balancer's view of one endpoint, for comparison with the endpoint's actual state.
type EndpointStatus struct {
	ID              EndpointID
	Ready           bool    // the endpoint list allows new requests
	Ejected         bool    // out of rotation except for trials
	ProcessDown     bool    // ejected on proof that its process is down
	WarmingUp       bool    // in slow start
	InFlight        int     // attempts of this balancer
	LatencyPressure float64 // log ratio of latency to unloaded latency
	Report          LoadReport
	ReportAge       Millis // negative: no report is known
}

// EndpointStatuses returns the status of all endpoints at now, in ms, by ID.
func (b *Balancer) EndpointStatuses(now Millis) []EndpointStatus {
	b.clock.now = now
	var statuses []EndpointStatus
	for _, e := range b.endpoints.sorted {
		status := EndpointStatus{
			ID:              e.ID,
			Ready:           e.ready(),
			Ejected:         e.health.ejected,
			ProcessDown:     e.health.processDown,
			WarmingUp:       b.slowStart.warming(e),
			InFlight:        len(e.inFlight.attempts),
			LatencyPressure: b.estimates.pressure(e),
			Report:          e.report.LoadReport,
			ReportAge:       -1,
		}
		if e.report.receivedAt > never {
			status.ReportAge = now - e.report.receivedAt
		}
		statuses = append(statuses, status)
	}
	return statuses
}

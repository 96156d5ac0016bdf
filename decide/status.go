package decide

// EndpointStatus is a balancer's view of one endpoint, for comparison with the endpoint's actual state.
type EndpointStatus struct {
	ID              EndpointID
	Ready           bool    // the endpoint list allows new requests
	Ejected         bool    // out of rotation except for trial requests
	ProcessDown     bool    // the endpoint is ejected on proof that its process is down
	WarmingUp       bool    // the endpoint is in slow start
	InFlight        int     // this balancer's attempts in flight
	LatencyPressure float64 // log ratio of latency to unloaded latency
	Report          LoadReport
	ReportAge       Millis // time since the receipt of Report; negative: no report is known
}

// EndpointStatuses returns the status of all endpoints at now, in ms, by ID.
func (b *Balancer) EndpointStatuses(now Millis) []EndpointStatus {
	b.clock.now = now
	var statuses []EndpointStatus
	for _, e := range b.endpoints.sorted {
		status := EndpointStatus{
			ID:              e.ID,
			Ready:           e.ready(),
			Ejected:         e.health.isEjected,
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

package decide

import "sort"

// endpoint is one query engine: its entry in the endpoint list and this balancer's observations of it.
type endpoint struct {
	EndpointInfo
	cores    float64
	memoryMB float64
	isListed bool // the endpoint is in the current endpoint list

	inFlight    inFlight
	recentSends recentSends
	// latencyPressure is the mean log ratio of latency to unloaded latency of attempts at this endpoint.
	latencyPressure decayingMean
	overloadedAt    Millis // time of the endpoint's last rejection for overload; never: none
	health          health
	report          loadReport
	probe           probeState
	// slowStartSends are the attempts that count against the endpoint's slow-start budget.
	slowStartSends []sentWork
	peerLoad       peerLoad
	score          float64 // scratch space for sorting and selection
}

// inFlight holds this balancer's attempts at an endpoint that have not ended, and their load.
type inFlight struct {
	attempts     map[*request]struct{}   // the requests whose attempt is in flight there
	locksByGroup map[uint64]int          // number of attempts that lock their group, by group
	work         float64                 // expected work of the attempts, ms on one core
	threads      [classSizeCount]float64 // threads in use, by class size
	memoryMB     float64                 // expected memory of the attempts
}

// recentSends counts the recent attempts at an endpoint. The count decays with each attempt that this
// balancer starts at any endpoint.
type recentSends struct {
	initialized bool // count is set; false for a new endpoint
	count       float64
	countedAt   int // number of attempts that this balancer had started when count was set
}

// health is the outlier detector's state of an endpoint.
type health struct {
	lastActivityAt        Millis // the last success, progress notice or load report passed on by a peer
	consecutiveFailures   int    // failed attempts since the last success
	connectFailureAt      Millis // the last refused or lost connection, at this balancer or a peer
	localConnectFailureAt Millis // the last refused or lost connection at this balancer
	isEjected             bool   // out of rotation except for single trial requests
	trialAfter            Millis // the earliest time of the next trial request, while the endpoint is ejected
	failedTrials          int    // consecutive failed trial requests
	processDown           bool   // the endpoint is ejected on proof that its process is down
	// ejectedWith marks the failure domains that were ejected as a whole with this endpoint.
	ejectedWith [failureDomainTypes]bool
}

// loadReport is an endpoint's last known load report, with the attempts that this balancer has started there
// since then added.
type loadReport struct {
	LoadReport
	receivedAt Millis // time of receipt, here or at the peer that passed it on; never: no report is known
}

// probeState is the state of an endpoint's last probe.
type probeState struct {
	inFlight   bool
	sentAt     Millis // time of the last probe; never: none
	answeredAt Millis // time of the last successful answer to a probe; never: none
}

// sentWork is an attempt that counts against a slow-start budget.
type sentWork struct {
	sentAt Millis
	work   float64 // ms on one core
}

// peerLoad is the load that other balancers have in flight at an endpoint, from their last messages.
type peerLoad struct {
	threads  float64 // threads in use by queries of long classes
	memoryMB float64 // expected memory of all queries
}

// newEndpoint returns an endpoint without observations. attemptsStarted is the number of attempts that
// this balancer has started.
func newEndpoint(attemptsStarted int) *endpoint {
	return &endpoint{
		inFlight:     inFlight{attempts: map[*request]struct{}{}, locksByGroup: map[uint64]int{}},
		recentSends:  recentSends{countedAt: attemptsStarted},
		overloadedAt: never,
		health: health{lastActivityAt: never, connectFailureAt: never, localConnectFailureAt: never,
			trialAfter: never},
		report: loadReport{receivedAt: never},
		probe:  probeState{sentAt: never, answeredAt: never},
	}
}

// ready reports whether the endpoint list allows new requests to the endpoint. After the announcement of a
// drain it doesn't.
func (e *endpoint) ready() bool { return e.isListed && e.State == EndpointReady }

// reportMaxAge is the age up to which a load report is used, in multiples of the shortest latency objective.
// It leaves time for peers to pass reports on.
const reportMaxAge = 4.0

// reportIsFresh reports whether the last load report is recent enough to be used and contains the number of
// requests in flight.
func (e *endpoint) reportIsFresh(c *clock) bool {
	return e.report.InFlight >= 0 && c.now-e.report.receivedAt < c.objectives(reportMaxAge)
}

// attemptsInOrder returns the requests with an attempt in flight at the endpoint, in order of arrival.
func (e *endpoint) attemptsInOrder() []*request {
	l := make([]*request, 0, len(e.inFlight.attempts))
	for r := range e.inFlight.attempts {
		l = append(l, r)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].sequence < l[j].sequence })
	return l
}

package decide

import "sort"

// endpoint is one query engine: its entry in the endpoint list and this balancer's observations of it.
type endpoint struct {
	EndpointInfo
	cores    float64
	memoryMB float64
	listed   bool // it is in the endpoint list

	inFlight inFlight
	recent   recentSends
	// latency is the mean log ratio of latency to unloaded latency of attempts at this endpoint.
	latency      decayingMean
	overloadedAt Millis // the last rejection for overload
	health       health
	report       loadReport
	probe        probeState
	// slowStartSends are the attempts that count against the endpoint's slow-start budget.
	slowStartSends []sentWork
	peers          peerLoad
	score          float64 // scratch space for sorting and selection
}

// inFlight is this balancer's load at an endpoint.
type inFlight struct {
	attempts     map[*request]struct{}
	locksByGroup map[uint64]int      // number of attempts that lock their group, by group
	work         float64             // expected work, ms on one core
	threads      [classSizes]float64 // threads in use, by class size
	memoryMB     float64             // expected memory
}

// recentSends counts the recent attempts at an endpoint. The count decays with each attempt that this
// balancer starts at any endpoint.
type recentSends struct {
	initialized bool // false: the endpoint is new
	count       float64
	countedAt   int // number of attempts that this balancer had started when count was set
}

// health is the outlier detector's state of an endpoint.
type health struct {
	lastActivityAt        Millis
	consecutiveFailures   int
	connectFailureAt      Millis // the last refused or lost connection, here or at a peer
	localConnectFailureAt Millis // the last one at this balancer
	ejected               bool   // out of rotation except for single trial requests
	trialAfter            Millis // while it is ejected: the earliest time of the next trial
	failedTrials          int    // consecutive failed trials
	processDown           bool   // ejected on proof that its process is down
	// ejectedWith marks the failure domains that were ejected as a whole with this endpoint.
	ejectedWith [failureDomains]bool
}

// loadReport is the last known load report, with the attempts started since then added.
type loadReport struct {
	LoadReport
	receivedAt Millis // never: no report is known
}

// probeState is the last probe of an endpoint.
type probeState struct {
	inFlight   bool
	sentAt     Millis
	answeredAt Millis
}

// sentWork is an attempt that counts against a slow-start budget.
type sentWork struct {
	at   Millis
	work float64 // ms on one core
}

// peerLoad is the load that other balancers have in flight at an endpoint, from their last messages.
type peerLoad struct {
	threads  float64 // threads of long classes
	memoryMB float64
}

// newEndpoint returns an endpoint without observations. started is the number of attempts that this balancer
// has started.
func newEndpoint(started int) *endpoint {
	return &endpoint{
		inFlight:     inFlight{attempts: map[*request]struct{}{}, locksByGroup: map[uint64]int{}},
		recent:       recentSends{countedAt: started},
		overloadedAt: never,
		health: health{lastActivityAt: never, connectFailureAt: never, localConnectFailureAt: never,
			trialAfter: never},
		report: loadReport{receivedAt: never},
		probe:  probeState{sentAt: never, answeredAt: never},
	}
}

// ready reports whether the endpoint list allows new requests. It doesn't once a drain is announced.
func (e *endpoint) ready() bool { return e.listed && e.State == EndpointReady }

// reportMaxAge is the age up to which a load report counts, in shortest latency objectives. It allows for
// reports that peers pass on.
const reportMaxAge = 4.0

// reportIsFresh reports whether the last load report is recent enough to count.
func (e *endpoint) reportIsFresh(c *clock) bool {
	return e.report.InFlight >= 0 && c.now-e.report.receivedAt < c.objectives(reportMaxAge)
}

// attemptsInOrder returns the attempts in flight, ordered by the arrival of their requests.
func (e *endpoint) attemptsInOrder() []*request {
	l := make([]*request, 0, len(e.inFlight.attempts))
	for r := range e.inFlight.attempts {
		l = append(l, r)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].sequence < l[j].sequence })
	return l
}

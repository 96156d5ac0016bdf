package decide

import "math"

const (
	longThreadsPerCore  = 1.25 // queue bound of long classes in threads per core, near the highest throughput
	shortThreadsPerCore = 2.0  // queue bound of short classes in threads per core; their queries end soon
	saturatedThreads    = 1.75 // threads per core above which throughput falls
	saturatedLatency    = 3.5  // ratio of latency to best latency that indicates saturation
	idleThreadsPerCore  = 0.75 // threads per core assumed at an endpoint whose latency is at its best

	// Time without new requests to an endpoint after a rejection for overload, in housekeeping periods.
	overloadedPause = 4.0
	// Time for which a rejection for overload indicates saturation, in multiples of the shortest latency
	// objective.
	overloadMaxAge = 3.0

	// Time constant of the fleet's mean load, in multiples of the shortest latency objective. It is long
	// because balancers that resume at the same time send bursts.
	fleetMeanTimeConstant = 8.0
	// Weight of the fleet's mean load in the estimate for each endpoint. The whole mean would hide idle
	// endpoints.
	fleetMeanWeight = 0.5
	// Multiple of the queue bound up to which a share of sparse traffic is still admitted. Load information
	// is late at all balancers: with a sharp bound, all would fill an endpoint and avoid it at the same time.
	admissionRamp = 3.0
	// Width of the random factor on expected memory, 0.8 to 1.2. Its reason is that of admissionRamp:
	// balancers with the same information must not all decide alike.
	memoryJitter = 0.4

	// Ratio of an endpoint's default grant to the request's memory estimate, as the engine protocol defines
	// it. Endpoints grant it where requests can't specify a grant.
	defaultGrantRatio = 1.25
	// Ratio of a requested grant to the learned need. Memory granted beyond the need is not
	// available to other queries.
	grantMargin = 1.2
)

// fleetLoad is a moving average of the fleet's load, from load reports.
type fleetLoad struct {
	requestsPerCore float64
	memoryRatio     float64
	observedAt      Millis // time of the last load report that was averaged; never: none
}

// capacity decides whether an endpoint's class queue and memory admit one more request.
//
// Where this balancer has enough attempts in flight to infer load, it applies its share of the bound, and
// only under saturation. Where its traffic is sparse, such a share would not admit a single request, and one
// request from each of hundreds of balancers would overload the fleet. The complete bound then applies to an
// estimate of the endpoint's load from its report and the fleet's mean. An overloaded endpoint answers
// seldom, so little is known of its load; therefore the mean counts, with a weight below 1, at every
// endpoint.
type capacity struct {
	clock     *clock
	settings  *Settings
	estimates *estimator
	slowStart *slowStart
	gossip    *gossip
	fleet     fleetLoad
}

// saturated reports whether the queue bounds apply at the endpoint: because of the threads of all balancers,
// a latency far above the best, or a recent rejection for overload. Latency alone shows a burst too late.
func (c *capacity) saturated(e *endpoint) bool {
	threads := e.inFlight.threads[shortClass] + e.inFlight.threads[longClass]
	if c.gossip.hasPeers() {
		threads += e.peerLoad.threads
	} else {
		threads *= float64(c.settings.Balancers)
	}
	return threads >= e.cores*saturatedThreads ||
		c.estimates.pressure(e) > math.Log(saturatedLatency) ||
		c.clock.now-e.overloadedAt < c.clock.objectives(overloadMaxAge)
}

// memoryNeed is the memory in MB that a request takes at an endpoint: its estimated need or, where requests
// can't specify a grant, the default grant of endpoints. It is at most the largest permitted grant, since no
// endpoint ever has more free for one request.
func (c *capacity) memoryNeed(r *request, e *endpoint) float64 {
	class := c.estimates.class(r)
	needMB := r.EstimatedMemoryMB * class.memoryBias
	if !c.settings.MemoryGrantsEnabled {
		needMB = r.EstimatedMemoryMB * defaultGrantRatio * (1 + class.spillRatio) / 2
	}
	if limit := c.settings.MaxGrantRatio * e.memoryMB; limit > 0 {
		needMB = min(needMB, limit)
	}
	return needMB
}

// admits reports whether the endpoint has capacity for the request. The share of a queue bound always leaves
// room for one request.
func (c *capacity) admits(e *endpoint, r *request, sparse bool) bool {
	class, needMB := c.estimates.class(r), c.memoryNeed(r, e)
	if class.LocksGroup && e.inFlight.locksByGroup[r.Group] > 0 {
		return false // the request would hold its grant while it waits for the lock
	}
	if c.clock.now-e.overloadedAt < c.clock.ticks(overloadedPause*housekeepingTicks) {
		return false
	}
	if e.memoryMB > 0 && needMB > 0 && e.inFlight.memoryMB > 0 &&
		e.peerLoad.memoryMB+e.inFlight.memoryMB+needMB > e.memoryMB {
		return false
	}
	if sparse {
		return c.admitsSparse(e, r, class, needMB)
	}
	return !c.saturated(e) || c.withinQueueBound(e, class)
}

// queueBound is the bound of the class's queue at an endpoint over all balancers, in threads.
func queueBound(e *endpoint, c *classStats) float64 {
	return e.cores * [classSizeCount]float64{shortThreadsPerCore, longThreadsPerCore}[c.size()]
}

// withinQueueBound reports whether a request of the class keeps to this balancer's share of the queue bound
// or, for long classes whose load the balancers report to each other, to the complete bound.
func (c *capacity) withinQueueBound(e *endpoint, class *classStats) bool {
	bound, balancerShare, threads :=
		queueBound(e, class), 1/float64(c.settings.Balancers), float64(class.Threads)
	if (c.settings.Balancers == 1 || c.gossip.hasPeers()) && class.isLong {
		ownThreads := e.inFlight.threads[longClass]
		// The request counts twice because another balancer may see the same free capacity now.
		return ownThreads == 0 || e.peerLoad.threads+ownThreads+2*threads <= bound ||
			ownThreads+threads <= bound*balancerShare
	}
	return e.inFlight.threads[class.size()]+threads <= max(bound*balancerShare, threads)
}

// admitsSparse reports whether the endpoint has capacity where too little is in flight to infer load. Above
// the bound, each request's random draw selects the share of traffic that is still admitted, so that
// balancers with the same information neither fill nor avoid an endpoint at the same time.
func (c *capacity) admitsSparse(e *endpoint, r *request, class *classStats, needMB float64) bool {
	if e.memoryMB > 0 && needMB > 0 && c.expectedMemory(e, r)+needMB > e.memoryMB {
		return false // overcommitted memory slows or stops all queries at the endpoint
	}
	bound, balancerShare, threads :=
		queueBound(e, class), 1/float64(c.settings.Balancers), float64(class.Threads)
	rampFactor := (1 + r.draw*(admissionRamp-1)) / admissionRamp
	return rampFactor*c.expectedThreads(e, threads) <= bound || threads <= bound*balancerShare
}

// expectedThreads estimates the threads in use at an endpoint from its latency, the fleet's mean load and its
// load report. To a fresh report it adds threads, those of the request that is to be admitted.
func (c *capacity) expectedThreads(e *endpoint, threads float64) float64 {
	expected := math.Exp(c.estimates.pressure(e)) * e.cores * idleThreadsPerCore
	// An endpoint that has just started doesn't yet carry the mean load.
	if c.fleet.requestsPerCore > 0 && !c.slowStart.warming(e) {
		expected = e.cores * c.fleet.requestsPerCore * c.estimates.meanThreads * fleetMeanWeight
	}
	if e.reportIsFresh(c.clock) {
		expected = max(expected, e.report.InFlight*c.estimates.meanThreads+threads)
	}
	return expected
}

// expectedMemory estimates the memory in MB that is granted at an endpoint.
func (c *capacity) expectedMemory(e *endpoint, r *request) float64 {
	grantedRatio := c.fleet.memoryRatio * fleetMeanWeight
	if e.report.Memory > grantedRatio {
		// An endpoint that pages does so for long and answers seldom, so its report fades out gradually.
		decay := math.Exp((e.report.receivedAt - c.clock.now) / c.clock.objectives(fleetMeanTimeConstant))
		grantedRatio = max(grantedRatio, e.report.Memory*decay)
	}
	return grantedRatio * (e.memoryMB / grantMargin * (1 + memoryJitter*(r.draw-0.5)))
}

// observeFleet updates the fleet's mean load with the fresh load reports of a request's candidates. It
// returns the mean of these reports, in requests per core.
func (c *capacity) observeFleet(candidates []*endpoint) (requestsPerCore float64) {
	var requests, memory, cores float64
	for _, e := range candidates {
		if e.reportIsFresh(c.clock) {
			requests += e.report.InFlight
			memory += e.report.Memory * e.cores
			cores += e.cores
		}
	}
	requestsPerCore = requests / max(cores, 1)
	if cores > 0 {
		rate := 1 - math.Exp((c.fleet.observedAt-c.clock.now)/c.clock.objectives(fleetMeanTimeConstant))
		moveMean(&c.fleet.requestsPerCore, requestsPerCore, rate)
		moveMean(&c.fleet.memoryRatio, memory/cores, rate)
		c.fleet.observedAt = c.clock.now
	}
	return requestsPerCore
}

package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	defaultPriority       = 1.0 // priority of an attempt that specifies none
	maxPriority           = 3.0 // highest priority; 0 is the lowest
	prioritiesPerDoubling = 2.0 // priority levels added when the relative value doubles
	// A request whose deadline is less than this many housekeeping periods away is answered at once.
	nearDeadlinePeriods = 2.0
	arrivalMeanRate     = 0.01 // weight of one arrival in the means of weight and work
)

// admission ranks requests by weight per ms of expected work and holds the queue of pending requests.
type admission struct {
	clock     *clock
	settings  *Settings
	estimates *estimator
	endpoints *endpointSet
	pending   []*request
	// atLimit is set when pending requests find MaxInFlight attempts in flight. All requests then wait until
	// the next housekeeping: sorting a long queue after each attempt would keep the core fully busy.
	atLimit bool
	// Means of the weight and of the expected work of arrivals. Their ratio is the mean value.
	meanWeight, meanWork float64
}

// value is the weight that the request earns if it starts now, per ms of its expected work.
func (a *admission) value(r *request) float64 {
	c := a.estimates.class(r)
	weight := c.PriorityWeight
	if !r.withinQuota {
		weight *= a.settings.OverQuotaWeightRatio
	}
	if a.clock.now+a.estimates.unloadedLatency(r) > a.estimates.objectiveAt(r) {
		weight *= c.LateWeightRatio
	}
	return weight / a.estimates.expectedWork(r)
}

// relativeValue is the ratio of the request's value to the mean value of arrivals.
func (a *admission) relativeValue(r *request) float64 {
	return a.value(r) * a.meanWork / max(a.meanWeight, math.SmallestNonzeroFloat64)
}

// observeArrival updates the means with a new request.
func (a *admission) observeArrival(r *request) {
	rate := max(arrivalMeanRate, 1/float64(r.sequence))
	moveMean(&a.meanWeight, a.value(r)*a.estimates.expectedWork(r), rate)
	moveMean(&a.meanWork, a.estimates.expectedWork(r), rate)
}

// priority is the priority of the request's attempts, 0 to 3. It lets requests of more than mean value run
// before the others at an overloaded endpoint.
func (a *admission) priority(r *request) int {
	if !a.settings.PrioritiesEnabled {
		return defaultPriority
	}
	priority := defaultPriority + prioritiesPerDoubling*math.Log2(a.relativeValue(r))
	return int(min(max(math.Round(priority), 0), maxPriority))
}

// inFlightLimitReached reports whether MaxInFlight attempts are in flight. A further attempt would get no
// file descriptor, fail unsent and still count against the request's MaxAttempts.
func (a *admission) inFlightLimitReached() bool {
	return a.settings.MaxInFlight > 0 && a.endpoints.attemptsInFlight >= a.settings.MaxInFlight
}

// nearDeadline reports whether the client stops waiting before two more housekeeping periods have passed.
// Such a request is answered now.
func (a *admission) nearDeadline(r *request) bool {
	return r.deadline-a.clock.now < a.clock.ticks(nearDeadlinePeriods*housekeepingTicks)
}

// missesObjective reports whether a waiting request can no longer meet its latency objective.
func (a *admission) missesObjective(r *request) bool {
	objectiveUnreachable := a.clock.now+a.estimates.unloadedLatency(r) > a.estimates.objectiveAt(r)
	return objectiveUnreachable && a.clock.now > r.arrivedAt
}

// enqueue adds a request to the pending queue.
func (a *admission) enqueue(r *request) { a.pending = append(a.pending, r) }

// takeSorted removes the pending requests from the queue and returns them by value, highest first. Requests
// whose group is locked at all endpoints stay queued. byOccupancy ranks by weight per ms that a request
// occupies a file descriptor, for times at which descriptors are the scarce resource.
func (a *admission) takeSorted(byOccupancy bool) []*request {
	sorted, stillQueued := make([]*request, 0, len(a.pending)), a.pending[:0:0]
	for _, r := range a.pending {
		if a.endpoints.lockedEverywhere(r, a.estimates.class(r)) {
			stillQueued = append(stillQueued, r)
			continue
		}
		if r.sortWeight = a.value(r); byOccupancy {
			r.sortWeight *= float64(a.estimates.class(r).Threads)
		}
		sorted = append(sorted, r)
	}
	slices.SortStableFunc(sorted, func(x, y *request) int { return cmp.Compare(y.sortWeight, x.sortWeight) })
	a.pending = stillQueued
	return sorted
}

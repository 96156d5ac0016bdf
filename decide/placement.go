package decide

import (
	"cmp"
	"slices"
)

const (
	bandRatio = 1.1 // largest ratio of a home's load to the average: bounded-load rendezvous hashing
	// Number of rendezvous orders for locking requests: more than endpoints, few enough to cache.
	lockOrderCount = 256
)

// placement chooses the endpoint of a request: the home of its group, unless the home's load is above the
// band. This is affinity-based routing with a band of 10% over the average load (docs/architecture.md,
// "Affinity").
//
// It has no state of its own. It depends on the endpoint set, slow start, capacity, retry policy and outlier
// detector; none of them depends on it.
type placement struct {
	clock         *clock
	balancerIndex int // Settings.BalancerIndex
	endpoints     *endpointSet
	subscription  *subscription
	estimates     *estimator
	slowStart     *slowStart
	capacity      *capacity
	retries       *retryPolicy
	outliers      *outlierDetector
}

// permitted reports whether the endpoint's state, the class and the deduplication scope allow an attempt
// there.
func (p *placement) permitted(e *endpoint, r *request) bool {
	c := p.estimates.class(r)
	if !e.ready() || !allowsIndex(c.Zones, e.Zone) || !allowsIndex(c.Kinds, e.Kind) {
		return false
	}
	if !r.firstRun.mayHaveRun() || c.Idempotency == IdempotentAlways {
		return true
	}
	if p.retries.forbidden(r) {
		return false
	}
	firstEndpoint := r.firstRun.endpoint
	return c.DedupScope == DedupFleet || c.DedupScope == DedupZone && e.Zone == firstEndpoint.Zone ||
		c.DedupScope == DedupCell && e.Cell == firstEndpoint.Cell
}

// candidates returns, in affinity order, the permitted endpoints that are in rotation or due for a trial
// request, which must be a short one. If there are none, it returns all permitted endpoints that slow start
// admits, since an attempt at an unhealthy endpoint is better than certain failure.
func (p *placement) candidates(r *request) []*endpoint {
	n := len(p.endpoints.sorted)
	permittedEndpoints, healthyEndpoints := make([]*endpoint, 0, n), make([]*endpoint, 0, n)
	class, cheapestLong := p.estimates.class(r), p.estimates.cheapestLongWork()
	trialAllowed := !class.isLong && p.outliers.trialDue() && p.retries.mayRetry(r)
	for _, e := range p.affinityOrder(r) {
		if !p.permitted(e, r) {
			continue
		}
		if !p.slowStart.admits(e, class.meanWork, cheapestLong, p.subscription.startedAt) {
			p.endpoints.creditFairShare(e) // so that a warm endpoint gets no burst to catch up
			continue
		}
		permittedEndpoints = append(permittedEndpoints, e)
		isTrial := trialAllowed && p.clock.now >= e.health.trialAfter && len(e.inFlight.attempts) == 0
		if (!e.health.isEjected || isTrial) && e.ID != r.lastAttemptedOn {
			healthyEndpoints = append(healthyEndpoints, e)
		}
	}
	if len(healthyEndpoints) > 0 {
		return healthyEndpoints
	}
	return permittedEndpoints
}

// affinityOrder is the order in which endpoints are preferred for the request. A request that locks its
// group makes other requests of the group wait at that endpoint. Locking requests therefore get an order of
// their own, with the group's home last, which gives up their cache affinity.
func (p *placement) affinityOrder(r *request) []*endpoint {
	order := p.endpoints.rendezvousOrder(r.Group)
	if !p.estimates.class(r).LocksGroup || len(order) < 2 {
		return order
	}
	home := order[0]
	orderGroup := rendezvousHash(uint64(r.sequence), EndpointID(p.balancerIndex)) % lockOrderCount
	order = slices.Clone(p.endpoints.rendezvousOrder(orderGroup))
	homeIndex := slices.Index(order, home)
	return append(slices.Delete(order, homeIndex, homeIndex+1), home)
}

// inBand returns the endpoints with capacity for the request in order of preference: those within the band in
// affinity order, then the least loaded one above the band.
func (p *placement) inBand(r *request) []*endpoint {
	candidates := p.candidates(r)
	sparse := p.endpoints.sparse()
	totalLoad, totalCores := p.score(candidates, sparse)
	bandMargin := p.estimates.expectedWork(r) // one request may exceed the load band
	var leastLoaded *endpoint
	accepted := make([]*endpoint, 0, len(candidates))
	for _, e := range candidates {
		if !p.capacity.admits(e, r, sparse) {
			continue
		}
		if sparse { // scores are in requests: the margin is up to one, in proportion to cores
			bandMargin = r.draw * e.cores * float64(len(candidates)) / totalCores
		}
		withinBand := e.score <= bandRatio*totalLoad*e.cores/totalCores+bandMargin
		if e.health.isEjected || sparse && p.slowStart.warming(e) || withinBand {
			accepted = append(accepted, e)
		} else if leastLoaded == nil || e.score/e.cores < leastLoaded.score/leastLoaded.cores {
			leastLoaded = e
		}
	}
	if leastLoaded != nil {
		accepted = append(accepted, leastLoaded)
	}
	if sparse { // warming endpoints first: this balancer gets few requests in its turn to use them
		slices.SortStableFunc(accepted, p.compareWarmingFirst)
	}
	return accepted
}

// score sets each candidate's score to its load, in ms of work or, in sparse traffic, in recent requests. It
// returns the sums of loads and cores.
func (p *placement) score(candidates []*endpoint, sparse bool) (totalLoad, totalCores float64) {
	reportedMean := p.capacity.observeFleet(candidates)
	for _, e := range candidates {
		e.score = e.inFlight.work
		if sparse {
			e.score = p.endpoints.recentLoad(e)
			if e.reportIsFresh(p.clock) { // prefer endpoints that report less than the mean
				e.score *= (e.report.InFlight/e.cores + 1) / (reportedMean + 1)
			}
		}
		totalLoad += e.score
		totalCores += e.cores
	}
	return totalLoad, totalCores
}

func (p *placement) compareWarmingFirst(a, b *endpoint) int {
	rank := func(e *endpoint) int {
		if p.slowStart.warming(e) {
			return 0
		}
		return 1
	}
	return cmp.Compare(rank(a), rank(b))
}

// choose returns the first of the accepted endpoints or, if some of them were recently probed for the
// request, the probed one with the fewest reported requests in flight per core. nil: the request waits.
func (p *placement) choose(r *request, accepted []*endpoint) *endpoint {
	probed := slices.DeleteFunc(slices.Clone(r.probed), func(e *endpoint) bool {
		return p.clock.now-e.report.receivedAt > p.clock.objectives(2*probeMaxAge) ||
			!slices.Contains(accepted, e)
	})
	if len(probed) > 0 {
		return slices.MinFunc(probed, func(a, b *endpoint) int {
			return cmp.Compare(a.report.InFlight/a.cores, b.report.InFlight/b.cores)
		})
	}
	if len(accepted) == 0 {
		return nil
	}
	return accepted[0]
}

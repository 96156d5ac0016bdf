package decide

import "slices"

const (
	slowStartSafety      = 0.5  // ratio of the overload budget to use, because a window can overlap two turns
	usableCores          = 0.85 // ratio of busy cores at full capacity
	warmupAgeCount       = 8    // intervals of the slow start whose throughput is learned separately
	minThroughputSamples = 3.0  // answers needed for a mean: a single one may be from a busy or idle endpoint
)

// slowStart limits the work sent to endpoints that have just started, so that all balancers together stay
// below the overload limit of such an endpoint within any overload window.
//
// An equal share of that budget for each of hundreds of balancers would not admit a single request. The
// balancers therefore take turns of one window. The number of balancers in a turn is the number of requests
// of the cheapest long class that fit in the budget. The budget grows with the throughput observed at
// warming endpoints of the same age. The budget is in ms of work on one core.
type slowStart struct {
	clock    *clock
	settings *Settings
	// throughput sums the observed ratios of speed to full speed of warming endpoints, by
	// interval of their age.
	throughput [warmupAgeCount]struct{ sum, sampleCount float64 }
}

// warming reports whether an endpoint is warming up and may not yet have its full capacity.
func (s *slowStart) warming(e *endpoint) bool {
	return e.StartedAt > 0 && s.clock.now < e.StartedAt+s.settings.Rules.SlowStartDuration
}

// admits reports whether an endpoint may get one more request of a class. work is the mean work of the
// class, in ms on one core, cheapestLongWork that of the cheapest long class. startedAt is the start of this
// balancer. For one window after it, nothing is sent to warming endpoints that are older, because the work
// sent there before a restart of the balancer is not known and still counts.
func (s *slowStart) admits(e *endpoint, work, cheapestLongWork float64, startedAt Millis) bool {
	if !s.warming(e) {
		return true
	}
	rules := s.settings.Rules
	if e.StartedAt <= startedAt && s.clock.now < startedAt+rules.OverloadWindow {
		return false
	}
	budget := s.budget(e)
	balancersPerTurn := max(min(int(budget/cheapestLongWork), s.settings.Balancers), 1)
	if s.rotationPosition(e) >= balancersPerTurn {
		return false
	}
	cutoff := s.clock.now - rules.OverloadWindow - s.clock.ticks(2)
	e.slowStartSends = slices.DeleteFunc(e.slowStartSends, func(w sentWork) bool { return w.sentAt < cutoff })
	windowWork := work
	for _, w := range e.slowStartSends {
		windowWork += w.work
	}
	return windowWork <= budget/float64(balancersPerTurn)
}

// budget is the work, in ms on one core, that all balancers together may send to a
// warming endpoint within an overload window.
func (s *slowStart) budget(e *endpoint) float64 {
	rules := s.settings.Rules
	limit := rules.OverloadRatio * slowStartSafety // capped at 1 below: endpoints can't exceed full speed
	budgetRatio := max(limit*rules.SlowStartCapacityRatio,
		min(limit, 1)*s.meanThroughput(s.clock.now-e.StartedAt))
	return budgetRatio * usableCores * e.cores * rules.OverloadWindow
}

// rotationPosition is this balancer's position in the rotation for an endpoint. The balancers at the lowest
// positions may send. The positions change with each overload window, at a different time for each endpoint.
func (s *slowStart) rotationPosition(e *endpoint) int {
	window := max(s.settings.Rules.OverloadWindow, 1)
	offset := window * float64(rendezvousHash(rotationPhaseSalt, e.ID)>>11) / (1 << 53)
	turn := uint64(max(s.clock.now+offset, 0) / window)
	firstBalancer := rendezvousHash(turn, e.ID) % uint64(s.settings.Balancers)
	return (s.settings.BalancerIndex + s.settings.Balancers - int(firstBalancer)) % s.settings.Balancers
}

// recordSend counts an attempt against the endpoint's budget. work is the mean work of its class.
func (s *slowStart) recordSend(e *endpoint, work float64) {
	if s.warming(e) {
		e.slowStartSends = append(e.slowStartSends, sentWork{s.clock.now, work})
	}
}

// observe learns the throughput of a warming endpoint from an attempt that started at sentAt.
func (s *slowStart) observe(e *endpoint, sentAt Millis, ev AttemptEnded, threads float64) {
	age := (sentAt - e.StartedAt) / max(s.settings.Rules.SlowStartDuration, 1)
	if ev.ActualWork <= 0 || e.StartedAt <= 0 || age < 0 || age >= 1 {
		return
	}
	t := &s.throughput[int(age*warmupAgeCount)]
	t.sum += min(ev.ActualWork/threads/max(ev.Latency, 1), 1)
	t.sampleCount++
}

// meanThroughput is the mean observed ratio of speed to full speed of endpoints up to the given age, from
// the latest ages that together have enough samples; 0 without enough samples. A loaded endpoint shows less
// than its capacity, never more.
func (s *slowStart) meanThroughput(age Millis) float64 {
	var sum, sampleCount float64
	lastAge := min(int(age/max(s.settings.Rules.SlowStartDuration, 1)*warmupAgeCount), warmupAgeCount-1)
	for i := lastAge; i >= 0 && sampleCount < minThroughputSamples; i-- {
		sum += s.throughput[i].sum
		sampleCount += s.throughput[i].sampleCount
	}
	if sampleCount < minThroughputSamples {
		return 0
	}
	return sum / sampleCount
}

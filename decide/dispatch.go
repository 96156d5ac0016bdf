package decide

import (
	"math"
	"slices"
)

// arrived handles a new request: it is sent, queued, or answered at once.
func (b *Balancer) arrived(ev RequestArrived) {
	if ev.Class < 0 || ev.Class >= len(b.estimates.classes) {
		b.outbox.add(Fail{ev.ID})
		return
	}
	r := b.newRequest(ev)
	b.requests[ev.ID] = r
	b.prober.recordArrival()
	b.retries.recordArrival()
	b.arrivalRate.recordArrival(b.clock.now)
	r.withinQuota = b.quota.take(r.Tenant)
	b.admission.observeArrival(r)
	b.estimates.observeArrival(r)
	r.draw = math.Pow(r.draw, b.admission.relativeValue(r))
	b.keyOrder.join(r)
	if !b.admission.atLimit && b.dispatch(r) {
		return
	}
	b.admission.enqueue(r)
	if b.admission.nearDeadline(r) || b.retries.forbidden(r) {
		b.giveUp(r)
	}
}

func (b *Balancer) newRequest(ev RequestArrived) *request {
	b.sequence++
	r := &request{
		RequestArrived: ev,
		sequence:       b.sequence,
		arrivedAt:      b.clock.now,
		deadline:       b.clock.now + ev.TimeLeft,
		firstRun:       firstRun{startedAt: never},
		draw:           b.rng.Float64(),
	}
	if earlier := ev.EarlierRun; earlier != nil {
		r.firstRun = firstRun{earlier.StartedAt, EndpointInfo{Zone: earlier.Zone, Cell: earlier.Cell}}
	}
	return r
}

// dispatch starts an attempt if the request may run now and an endpoint has capacity. It reports whether it
// started one.
func (b *Balancer) dispatch(r *request) bool {
	if !b.keyOrder.mayRun(r) || r.attemptsStarted > 0 && !b.retries.mayRetry(r) {
		return false
	}
	if b.prober.awaitsAnswer(r) || b.admission.inFlightLimitReached() {
		return false
	}
	accepted := b.placement.inBand(r)
	if !b.admission.nearDeadline(r) && b.prober.probeFor(r, accepted) {
		return false
	}
	e := b.placement.choose(r, accepted)
	if e == nil {
		return false
	}
	b.startAttempt(r, e)
	return true
}

// dispatchPending starts pending requests, highest value first; admission.takeSorted explains byOccupancy.
// Once no endpoint has capacity for a request, only requests of its class with a lower random draw are tried,
// because those are admitted first.
func (b *Balancer) dispatchPending(byOccupancy bool) {
	if len(b.admission.pending) == 0 || b.admission.atLimit {
		return
	}
	sorted := b.admission.takeSorted(byOccupancy)
	// 1 minus the lowest draw at which a request of the class found no capacity, by class; 0: none yet.
	blockedDrawComplement := make([]float64, len(b.estimates.classes))
	blockedGroups := map[uint64]bool{}
	for i, r := range sorted {
		if b.admission.atLimit = b.admission.inFlightLimitReached(); b.admission.atLimit {
			b.admission.pending = append(b.admission.pending, sorted[i:]...)
			return
		}
		if r.answered {
			continue
		}
		locksGroup := b.estimates.class(r).LocksGroup
		blocked := 1-r.draw <= blockedDrawComplement[r.Class] || locksGroup && blockedGroups[r.Group]
		if b.keyOrder.mayRun(r) && !blocked {
			if b.dispatch(r) {
				continue
			}
			if locksGroup {
				blockedGroups[r.Group] = true // requests of other groups may still find capacity
			} else if r.attemptsStarted == 0 && !b.prober.awaitsAnswer(r) {
				blockedDrawComplement[r.Class] = 1 - r.draw
			}
		}
		b.admission.enqueue(r)
	}
}

// expirePending answers the pending requests that can no longer meet their objective, are near their deadline
// or may have no further attempt.
func (b *Balancer) expirePending() {
	for _, r := range b.admission.pending {
		if r.answered {
			continue
		}
		if b.admission.missesObjective(r) || b.admission.nearDeadline(r) || b.retries.forbidden(r) ||
			r.attemptsStarted > 0 && !b.retries.mayRetry(r) {
			b.giveUp(r)
		}
	}
	b.admission.pending = slices.DeleteFunc(b.admission.pending, func(r *request) bool { return r.answered })
}

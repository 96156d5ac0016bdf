package failover

import "math"

// Thresholds of a link's failover and recovery, in periods (see Settings.Period).
const (
	failoverPeriods      = 2   // consecutive unreachable periods before a link fails over
	initialReturnPeriods = 6   // consecutive reachable periods before work returns to a link; doubles with each further failure
	maxReturnDoublings   = 6   // maximum doublings of initialReturnPeriods; limits the wait for the return to a flapping zone
	failureMemoryPeriods = 120 // periods without a failure after which earlier failures no longer count
	rampPeriods          = 10  // periods over which the usable ratio of a recovered link grows to 1
)

// link is the state of the traffic from one zone to another, or from a zone to itself. It fails over after
// failoverPeriods, returns with hysteresis, and then carries more work with each period (recovery ramp).
type link struct {
	unreachablePeriods int     // consecutive periods in which most votes were unreachable
	reachablePeriods   int     // consecutive periods in which most votes were reachable
	failedOver         bool    // the link carries no work except trial traffic (see trialRatio)
	failoverCount      int     // number of recent failovers; each after the first doubles the wait for the return
	lastFailureAt      Millis  // time of the latest period in which most votes were unreachable
	recoveredRatio     float64 // part of the destination's capacity that the recovery ramp allows; 1: all
}

// update counts the votes of one period and updates the link's state.
func (l *link) update(now Millis, votes tally, period Millis) {
	l.countPeriod(now, votes)
	if l.failoverCount > 0 && now-l.lastFailureAt > failureMemoryPeriods*period {
		l.failoverCount = 0
	}
	if !l.failedOver && l.unreachablePeriods >= failoverPeriods {
		l.failedOver = true
		l.recoveredRatio = 0
		l.failoverCount++
	}
	if l.failedOver && float64(l.reachablePeriods) >= l.returnPeriods() {
		l.failedOver = false
	}
	if !l.failedOver && l.recoveredRatio < 1 {
		l.recoveredRatio = math.Min(l.recoveredRatio+1.0/rampPeriods, 1)
	}
}

// countPeriod counts the period as reachable or unreachable by the majority of the votes, and as neither on a tie.
func (l *link) countPeriod(now Millis, votes tally) {
	switch {
	case votes.unreachableVotes > votes.reachableVotes:
		l.unreachablePeriods++
		l.reachablePeriods = 0
		l.lastFailureAt = now // earlier failures keep counting while failures continue
	case votes.reachableVotes > votes.unreachableVotes:
		l.unreachablePeriods = 0
		l.reachablePeriods++
	}
}

// returnPeriods returns how many consecutive reachable periods end the failover. The number doubles with each failure,
// so that work rarely returns to a flapping zone.
func (l *link) returnPeriods() float64 {
	doublings := min(max(l.failoverCount-1, 0), maxReturnDoublings)
	return initialReturnPeriods * math.Exp2(float64(doublings))
}

// usableRatio returns the part of the destination's capacity that the link may use.
func (l *link) usableRatio() float64 {
	if l.failedOver {
		return 0
	}
	return l.recoveredRatio
}

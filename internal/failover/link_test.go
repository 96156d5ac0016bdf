package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A zone that flaps every few seconds fails over rarely, because each return takes twice as long as the one before.
func TestFlappingZoneFailsOverRarely(t *testing.T) {
	f := newFleet(t, 3, 0.6)
	failoverChanges, wasFailedOver := 0, false
	const periodCount = 400
	for i := range periodCount {
		f.reachable = nil
		if i/8%2 == 1 { // four seconds reachable, four seconds unreachable
			f.reachable = unreachableZone(1)
		}
		f.step()
		if isFailedOver := f.decider.links[0][1].failedOver; isFailedOver != wasFailedOver {
			failoverChanges, wasFailedOver = failoverChanges+1, isFailedOver
		}
	}
	require.LessOrEqual(t, failoverChanges, 6, "the zone flapped 25 times in %d periods", periodCount)
}

// The return after a failure takes twice as long as after the one before, until earlier failures no longer count.
func TestReturnDelayDoublesUntilFailuresExpire(t *testing.T) {
	f := newFleet(t, 3, 0.6)
	periodsToReturn := []int{}
	for range 6 {
		f.reachable = unreachableZone(1)
		for range failoverPeriods {
			f.step()
		}
		require.True(t, f.decider.links[0][1].failedOver)
		f.reachable = nil
		reachablePeriods := 0
		for f.decider.links[0][1].failedOver {
			f.step()
			reachablePeriods++
		}
		periodsToReturn = append(periodsToReturn, reachablePeriods)
	}
	require.Equal(t, []int{6, 12, 24, 48, 96, failureMemoryPeriods + 1}, periodsToReturn)
}

package program

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFleetClockFollowsDrillSettings(t *testing.T) {
	clock, err := fleetClock("")
	require.NoError(t, err)
	firstReading, startedAt := clock(), time.Now()
	time.Sleep(20 * time.Millisecond)
	secondReading := clock()
	require.LessOrEqual(t, secondReading-firstReading, float64(time.Since(startedAt))/float64(time.Millisecond)+1, "a correct clock")
	require.GreaterOrEqual(t, secondReading-firstReading, 20.0)
	clock, err = fleetClock("0.5 3600000@0 -1000@60000")
	require.NoError(t, err)
	require.InDelta(t, 3600000, clock(), 10000, "the first jump has happened, the second has not")
	for _, invalid := range []string{"fast", "1 2", "1 x@5", "1 5@"} {
		_, err = fleetClock(invalid)
		require.ErrorContains(t, err, drillClockVariable, invalid)
	}
}

func TestDiskFaultsFollowDrillSettings(t *testing.T) {
	injectFault, err := drillDiskFaults("")
	require.NoError(t, err)
	require.Nil(t, injectFault)
	injectFault, err = drillDiskFaults("slow:30@0 full:60000@0")
	require.NoError(t, err)
	startedAt := time.Now()
	require.ErrorIs(t, injectFault(), syscall.ENOSPC)
	require.GreaterOrEqual(t, time.Since(startedAt), 30*time.Millisecond)
	for _, invalid := range []string{"slow", "slow:5", "late:5@5", "slow:x@5"} {
		_, err = drillDiskFaults(invalid)
		require.ErrorContains(t, err, drillDiskVariable, invalid)
	}
}

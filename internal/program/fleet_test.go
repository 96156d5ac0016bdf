package program

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrillsClockAndDisk(t *testing.T) {
	clock, err := fleetClock("")
	require.NoError(t, err)
	a, began := clock(), time.Now()
	time.Sleep(20 * time.Millisecond)
	b := clock()
	require.LessOrEqual(t, b-a, float64(time.Since(began))/float64(time.Millisecond)+1, "a true clock")
	require.GreaterOrEqual(t, b-a, 20.0)
	clock, err = fleetClock("0.5 3600000@0 -1000@60000")
	require.NoError(t, err)
	require.InDelta(t, 3600000, clock(), 10000, "the first jump is over, the second to come")
	for _, bad := range []string{"fast", "1 2", "1 x@5", "1 5@"} {
		_, err = fleetClock(bad)
		require.ErrorContains(t, err, drillClock, bad)
	}
	fault, err := diskFaults("")
	require.NoError(t, err)
	require.Nil(t, fault)
	fault, err = diskFaults("slow:30@0 full:60000@0")
	require.NoError(t, err)
	began = time.Now()
	require.ErrorIs(t, fault(), syscall.ENOSPC)
	require.GreaterOrEqual(t, time.Since(began), 30*time.Millisecond)
	for _, bad := range []string{"slow", "slow:5", "late:5@5", "slow:x@5"} {
		_, err = diskFaults(bad)
		require.ErrorContains(t, err, drillDisk, bad)
	}
}

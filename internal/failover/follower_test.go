package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A follower never applies an older placement, not even after a restart. After the TTL it keeps work local, or sends
// its part of the reserve to other zones if the local zone has no capacity.
func TestFollowerNeverAppliesAnOlderPlacement(t *testing.T) {
	settings := testSettings(3)
	remoteSplit := make([][][]float64, 3)
	for entry := range remoteSplit {
		for range settings.Classes {
			row := make([]float64, 3)
			row[(entry+1)%3] = 1
			remoteSplit[entry] = append(remoteSplit[entry], row)
		}
	}
	follower, err := NewFollower(settings, 0, Placement{})
	require.NoError(t, err)
	require.NoError(t, follower.Apply(0, Placement{Fence: 3, Epoch: 5, TTL: 3000, Split: remoteSplit}))
	for _, olderPlacement := range []Placement{{Fence: 3, Epoch: 5}, {Fence: 3, Epoch: 4}, {Fence: 2, Epoch: 99}} {
		olderPlacement.TTL, olderPlacement.Split = 3000, remoteSplit
		require.ErrorIs(t, follower.Apply(1, olderPlacement), ErrStalePlacement)
	}
	require.ErrorIs(t, follower.Apply(1, Placement{Fence: 4, Epoch: 1, TTL: 3000, Split: remoteSplit[:2]}), ErrInvalidPlacement)
	overfullSplit := [][][]float64{remoteSplit[0], remoteSplit[1], {{1, 0.5, 0}, {1, 0, 0}, {1, 0, 0}}}
	require.ErrorIs(t, follower.Apply(1, Placement{Fence: 4, Epoch: 1, TTL: 3000, Split: overfullSplit}), ErrInvalidPlacement)
	listed := []ListedCapacity{{WarmCores: 10}, {WarmCores: 10}, {WarmCores: 20}}
	split, isDecided := follower.Split(2999, listed, []float64{1, 1, 1}, 12)
	require.True(t, isDecided)
	require.Equal(t, 1.0, split[0][1])
	split, isDecided = follower.Split(3000, listed, []float64{1, 1, 1}, 12)
	require.False(t, isDecided, "the placement's TTL has ended")
	require.Equal(t, []float64{1, 0, 0}, split[0])
	listed[0].WarmCores = 0
	offered := settings.capacity(listed[2]) // offered work of one coordinator
	split, _ = follower.Split(3000, listed, []float64{offered, 0, 0}, 12)
	admittedRatio := split[0][1] + split[0][2]
	require.LessOrEqual(t, admittedRatio*offered*12, localReserveRatio*(settings.capacity(listed[1])+settings.capacity(listed[2]))+1e-6, "all coordinators together stay within the reserve")
	fence, epoch := follower.Applied()
	restartedFollower, err := NewFollower(settings, 0, Placement{Fence: fence, Epoch: epoch})
	require.NoError(t, err)
	require.ErrorIs(t, restartedFollower.Apply(9000, Placement{Fence: 3, Epoch: 4, TTL: 3000, Split: remoteSplit}), ErrStalePlacement)
}

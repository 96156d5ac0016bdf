package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A follower never applies an older placement, not even after a restart. After the TTL it keeps work local, or sends
// its part of the reserve to other zones if the local zone has no capacity.
func TestFollowerNeverAppliesAnOlderPlacement(t *testing.T) {
	s := testSettings(3)
	remote := make([][][]float64, 3)
	for entry := range remote {
		for range s.Classes {
			row := make([]float64, 3)
			row[(entry+1)%3] = 1
			remote[entry] = append(remote[entry], row)
		}
	}
	f, err := NewFollower(s, 0, Placement{})
	require.NoError(t, err)
	require.NoError(t, f.Apply(0, Placement{Fence: 3, Epoch: 5, TTL: 3000, Split: remote}))
	for _, old := range []Placement{{Fence: 3, Epoch: 5}, {Fence: 3, Epoch: 4}, {Fence: 2, Epoch: 99}} {
		old.TTL, old.Split = 3000, remote
		require.ErrorIs(t, f.Apply(1, old), ErrStalePlacement)
	}
	require.ErrorIs(t, f.Apply(1, Placement{Fence: 4, Epoch: 1, TTL: 3000, Split: remote[:2]}), ErrInvalidPlacement)
	overfullSplit := [][][]float64{remote[0], remote[1], {{1, 0.5, 0}, {1, 0, 0}, {1, 0, 0}}}
	require.ErrorIs(t, f.Apply(1, Placement{Fence: 4, Epoch: 1, TTL: 3000, Split: overfullSplit}), ErrInvalidPlacement)
	listed := []ListedCapacity{{WarmCores: 10}, {WarmCores: 10}, {WarmCores: 20}}
	split, isDecided := f.Split(2999, listed, []float64{1, 1, 1}, 12)
	require.True(t, isDecided)
	require.Equal(t, 1.0, split[0][1])
	split, isDecided = f.Split(3000, listed, []float64{1, 1, 1}, 12)
	require.False(t, isDecided, "the placement's TTL has ended")
	require.Equal(t, []float64{1, 0, 0}, split[0])
	listed[0].WarmCores = 0
	offered := s.capacity(listed[2]) // offered work of one coordinator
	split, _ = f.Split(3000, listed, []float64{offered, 0, 0}, 12)
	admittedRatio := split[0][1] + split[0][2]
	require.LessOrEqual(t, admittedRatio*offered*12, localReserveRatio*(s.capacity(listed[1])+s.capacity(listed[2]))+1e-6, "all coordinators together stay within the reserve")
	fence, epoch := f.Applied()
	restarted, err := NewFollower(s, 0, Placement{Fence: fence, Epoch: epoch})
	require.NoError(t, err)
	require.ErrorIs(t, restarted.Apply(9000, Placement{Fence: 3, Epoch: 4, TTL: 3000, Split: remote}), ErrStalePlacement)
}

package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An override takes precedence over evidence and ends with its TTL.
func TestOverridesPrecedeEvidenceAndExpire(t *testing.T) {
	f := newFleet(t, 3, 0.6)
	zoneWorkBefore, _, _ := f.assignedWork(f.step())
	require.NoError(t, f.decider.SetOverride(f.now, Override{Kind: Evacuate, Zone: 1, RampDown: 10 * period, TTL: 30 * period}))
	previousWork := zoneWorkBefore[1]
	for i := range 12 {
		zoneWork, _, rejectedRatio := f.assignedWork(f.step())
		require.LessOrEqual(t, zoneWork[1], previousWork+1e-6, "period %d", i)
		require.InDelta(t, 0, rejectedRatio, 1e-9)
		previousWork = zoneWork[1]
	}
	require.Zero(t, previousWork)
	for range 25 {
		f.step()
	}
	zoneWork, remoteRatio, _ := f.assignedWork(f.step())
	require.Zero(t, remoteRatio, "the evacuation has expired")
	require.InDelta(t, zoneWorkBefore[1], zoneWork[1], 1)
	require.NoError(t, f.decider.SetOverride(f.now, Override{Kind: Freeze}))
	f.reachable = unreachableZone(2)
	for range 10 {
		placement := f.step()
		require.Equal(t, zoneWork, workByZone(f.assignedWork(placement)), "the split is frozen")
	}
	require.NoError(t, f.decider.SetOverride(f.now, Override{Kind: Thaw}))
	require.Less(t, workByZone(f.assignedWork(f.step()))[2], 0.05*zoneWork[2])
	require.ErrorIs(t, f.decider.SetOverride(f.now, Override{Kind: "dance"}), ErrInvalidOverride)
	require.ErrorIs(t, f.decider.SetOverride(f.now, Override{Kind: Evacuate, Zone: 9}), ErrInvalidOverride)
	split, rejectedRatio := f.decider.PlanWithoutZone(f.now, 0)
	require.Greater(t, rejectedRatio, 0.2, "two zones cannot serve the work of three")
	require.Zero(t, split[0][0][0])
}

// workByZone returns the first result of fleet.assignedWork.
func workByZone(work []float64, _, _ float64) []float64 { return work }

package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// If the evidence leaves less than half of the capacity reachable, all zones are used. If all reports stop at once,
// work is not rejected.
func TestPanicUsesAllZones(t *testing.T) {
	f := newFleet(t, 3, 0.5)
	f.step()
	f.reachable = func(int, int) bool { return false }
	for range 10 {
		placement := f.step()
		zoneWork, _, rejectedRatio := f.assignedWork(placement)
		require.InDelta(t, 0, rejectedRatio, 1e-9, "no work is rejected in panic")
		for zone, assigned := range zoneWork {
			require.Greater(t, assigned, 0.2*f.settings.capacity(f.listed[zone]), "zone %d is not used", zone)
		}
	}
	require.True(t, f.decider.lastPlacement.Panic)
	f.reachable = nil
	f.distort = func(int, Report) *Report { return nil }
	for range 20 {
		placement := f.step()
		for entry := range placement.Split {
			for class := range placement.Split[entry] {
				require.Greater(t, sum(placement.Split[entry][class]), 0.9)
			}
		}
	}
}

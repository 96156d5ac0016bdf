package failover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// All zones fail over from a lost zone within failoverPeriods, no other zone gets more than its capacity, work with
// more weight per work is served first, and the zone returns along the recovery ramp.
func TestLostZoneFailsOverWithoutOverloadingOthersAndReturnsByRamp(t *testing.T) {
	f := newFleet(t, 3, 0.75)
	for range 5 {
		f.step()
	}
	f.reachable = unreachableZone(1)
	var placement Placement
	for i := range 30 {
		placement = f.step()
		zoneWork, _, _ := f.assignedWork(placement)
		for zone, assigned := range zoneWork {
			if zone != 1 || i >= failoverPeriods {
				require.LessOrEqual(t, assigned, f.settings.capacity(f.listed[zone])*(1+1e-9), "zone %d after %d periods", zone, i)
			}
		}
		if i >= failoverPeriods {
			require.LessOrEqual(t, zoneWork[1], 0.02*f.settings.capacity(f.listed[1]), "only trial traffic remains")
		}
	}
	require.Equal(t, Unreachable, f.decider.Health(f.now)[1])
	_, _, rejectedRatio := f.assignedWork(placement)
	require.Greater(t, rejectedRatio, 0.05, "two zones cannot serve the work of three")
	require.Less(t, rejectedRatio, 0.25, "usable capacity was left unused")
	for entry := range placement.Split {
		lookupRatio, bulkRatio := 0.0, 0.0
		for zone := range placement.Split[entry][0] {
			lookupRatio, bulkRatio = lookupRatio+placement.Split[entry][0][zone], bulkRatio+placement.Split[entry][2][zone]
		}
		require.GreaterOrEqual(t, lookupRatio, bulkRatio, "work with more weight is served first")
	}
	f.reachable = nil // the zone returns
	previousWork := 0.0
	for i := range initialReturnPeriods + rampPeriods + 4 {
		zoneWork, _, _ := f.assignedWork(f.step())
		if i > 0 {
			require.LessOrEqual(t, zoneWork[1]-previousWork, 0.2*f.settings.capacity(f.listed[1]), "the recovery ramp limits the increase per period")
		}
		previousWork = zoneWork[1]
	}
	_, remoteRatio, rejectedRatio := f.assignedWork(f.step())
	require.Zero(t, remoteRatio)
	require.InDelta(t, 0, rejectedRatio, 1e-9)
}

// If a link fails in one direction, only the zone that cannot reach the other fails over.
func TestOneWayLinkFailureFailsOverOnlyThatLink(t *testing.T) {
	f := newFleet(t, 3, 1.2) // each zone of entry needs capacity of the others
	f.listed[2].WarmCores = 200
	f.reachable = func(entry, zone int) bool { return entry != 0 || zone != 2 }
	var placement Placement
	for range 8 {
		placement = f.step()
	}
	require.Equal(t, Healthy, f.decider.Health(f.now)[2])
	for class := range placement.Split[0] {
		require.LessOrEqual(t, placement.Split[0][class][2], trialRatio)
	}
	remoteRatioSum := 0.0
	for class := range placement.Split[1] {
		remoteRatioSum += placement.Split[1][class][2]
	}
	require.Greater(t, remoteRatioSum, 0.05, "other zones use the capacity of zone 2")
}

func BenchmarkDecide40Zones300Coordinators(b *testing.B) {
	s := testSettings(40)
	d, err := NewDecider(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	listed := make([]ListedCapacity, 40)
	for zone := range listed {
		listed[zone].WarmCores = 50
	}
	d.UpdateEndpoints(listed)
	now := 0.0
	for b.Loop() {
		now += period
		for n := range 300 {
			report := Report{Coordinator: fmt.Sprint(n), Zone: n % 40, Sequence: uint64(now), OfferedWork: []float64{3000, 3000, 3000}, Observations: make([]Observation, 40)}
			for zone := range report.Observations {
				report.Observations[zone].Answers = 5
			}
			_ = d.ReceiveReport(now, report)
		}
		d.Decide(now)
	}
}

package failover

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// A single coordinator that reports all zones unreachable, is isolated, claims excessive work, repeats old reports or
// sends invalid ones does not change the decisions.
func TestOneFaultyCoordinatorDoesNotChangeDecisions(t *testing.T) {
	for name, distort := range map[string]func(report Report) *Report{
		"all others unreachable": func(report Report) *Report {
			for zone := range report.Observations {
				if zone != report.Zone {
					report.Observations[zone] = Observation{Failures: 1000}
				}
			}
			return &report
		},
		"isolated": func(report Report) *Report {
			for zone := range report.Observations {
				report.Observations[zone] = Observation{Failures: 1000}
			}
			return &report
		},
		"repeated sequence number": func(report Report) *Report { report.Sequence = 1; return &report },
		"no reports":               func(Report) *Report { return nil },
		"excessive work":           func(report Report) *Report { report.OfferedWork = []float64{1e9, 1e9, 1e9}; return &report },
		"infinite work":            func(report Report) *Report { report.OfferedWork = []float64{math.Inf(1), 0, 0}; return &report },
		"unknown zone":             func(report Report) *Report { report.Zone = 99; return &report },
		"missing observations":     func(report Report) *Report { report.Observations = report.Observations[:1]; return &report },
	} {
		f := newFleet(t, 3, 0.8)
		f.distort = func(coordinator int, report Report) *Report {
			if coordinator == 0 {
				return distort(report)
			}
			return &report
		}
		var placement Placement
		for range 31 {
			placement = f.step()
		}
		for zone, state := range f.decider.Health(f.now) {
			require.Equal(t, Healthy, state, "%s: zone %d", name, zone)
		}
		_, remoteRatio, rejectedRatio := f.assignedWork(placement)
		require.Zero(t, remoteRatio, name)
		require.InDelta(t, 0, rejectedRatio, 1e-9, name)
	}
}

// Isolated coordinators have no vote on other zones, even where they are the majority of their zone.
func TestIsolatedCoordinatorsHaveNoVote(t *testing.T) {
	f := newFleet(t, 3, 0.8)
	f.distort = func(coordinator int, report Report) *Report {
		if coordinator < 2 {
			for zone := range report.Observations {
				report.Observations[zone] = Observation{Failures: 1000}
			}
		}
		return &report
	}
	for range 10 {
		_, remoteRatio, rejectedRatio := f.assignedWork(f.step())
		require.Zero(t, remoteRatio)
		require.InDelta(t, 0, rejectedRatio, 1e-9)
	}
}

package failover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const period = 500.0 // ms

// testSettings returns settings with 3 zones per region. Zones of a region are 2 ms apart, zones of different
// regions 60 ms.
func testSettings(zones int) Settings {
	s := Settings{
		Period: period, PlacementTTL: 3000, WarmupInitialRatio: 0.3, WarmupDuration: 10000,
		Classes: []Class{
			{Name: "lookup", Weight: 1, MeanWork: 100, LatencyObjective: 500},
			{Name: "report", Weight: 20, MeanWork: 3000, LatencyObjective: 2000},
			{Name: "bulk", Weight: 2, MeanWork: 4000, LatencyObjective: 8000},
		},
	}
	for entry := range zones {
		zone := Zone{Name: fmt.Sprint("z", entry), Region: entry / 3, LatencyTo: make([]Millis, zones)}
		for other := range zones {
			if other != entry {
				zone.LatencyTo[other] = 2
			}
			if other/3 != entry/3 {
				zone.LatencyTo[other] = 60
			}
		}
		s.Zones = append(s.Zones, zone)
	}
	return s
}

// fleet simulates coordinators, several in each zone, that report which zones they can reach.
type fleet struct {
	t                   *testing.T
	settings            Settings
	decider             *Decider
	now                 Millis
	sequence            uint64
	coordinatorsPerZone int
	offered             []float64                                    // work offered to one coordinator, by class, in core-ms per second
	listed              []ListedCapacity                             // capacity of each zone according to the endpoint list
	reachable           func(entry, zone int) bool                   // nil: all zones are reachable
	distort             func(coordinator int, report Report) *Report // changes reports, if set; a nil result is not sent
}

// newFleet returns a fleet whose zones each are offered the ratio loadRatio of their capacity.
func newFleet(t *testing.T, zones int, loadRatio float64) *fleet {
	t.Helper()
	f := &fleet{t: t, settings: testSettings(zones), coordinatorsPerZone: 3, listed: make([]ListedCapacity, zones)}
	for zone := range f.listed {
		f.listed[zone].WarmCores = 100
	}
	capacity := f.settings.capacity(f.listed[0])
	f.offered = []float64{0.3 * loadRatio * capacity / 3, 0.5 * loadRatio * capacity / 3, 0.2 * loadRatio * capacity / 3}
	var err error
	f.decider, err = NewDecider(f.settings, 7)
	require.NoError(t, err)
	return f
}

// step simulates one period and returns its placement.
func (f *fleet) step() Placement {
	f.now += period
	f.sequence++
	for entry := range f.settings.Zones {
		for i := range f.coordinatorsPerZone {
			f.report(entry, entry*f.coordinatorsPerZone+i)
		}
	}
	f.decider.UpdateEndpoints(f.listed)
	placement := f.decider.Decide(f.now)
	require.NoError(f.t, f.settings.ValidatePlacement(placement))
	return placement
}

// report sends one coordinator's report.
func (f *fleet) report(entry, coordinator int) {
	report := Report{
		Coordinator: fmt.Sprint("n", coordinator), Zone: entry, Sequence: f.sequence,
		OfferedWork: f.offered, Observations: make([]Observation, len(f.settings.Zones)),
	}
	for zone := range report.Observations {
		report.Observations[zone] = Observation{Answers: 20}
		if f.offeredPerZone() > f.settings.capacity(f.listed[zone]) {
			report.Observations[zone].CapacityRejections = 2
		}
		if f.reachable != nil && !f.reachable(entry, zone) {
			report.Observations[zone] = Observation{Failures: 10}
		}
	}
	if f.distort != nil {
		distorted := f.distort(coordinator, report)
		if distorted == nil {
			return
		}
		report = *distorted
	}
	_ = f.decider.ReceiveReport(f.now, report) // some tests send invalid reports, which the decider drops
}

// offeredPerZone returns the work that enters one zone, in core-ms per second.
func (f *fleet) offeredPerZone() (total float64) {
	for _, work := range f.offered {
		total += work * float64(f.coordinatorsPerZone)
	}
	return total
}

// assignedWork returns the work that a placement sends to each zone, in core-ms per second, and the ratios of the
// offered work that leave their zone of entry and that are rejected.
func (f *fleet) assignedWork(placement Placement) (zoneWork []float64, remoteRatio, rejectedRatio float64) {
	zoneWork = make([]float64, len(f.settings.Zones))
	offered := 0.0
	for entry, byClass := range placement.Split {
		for class, ratios := range byClass {
			classWork := f.offered[class] * float64(f.coordinatorsPerZone)
			offered += classWork
			rejectedRatio += classWork * (1 - sum(ratios))
			for zone, ratio := range ratios {
				zoneWork[zone] += classWork * ratio
				if zone != entry {
					remoteRatio += classWork * ratio
				}
			}
		}
	}
	return zoneWork, remoteRatio / offered, rejectedRatio / offered
}

// unreachableZone returns a function for fleet.reachable with which no zone, not even the zone itself, reaches the
// zone.
func unreachableZone(zone int) func(int, int) bool {
	return func(_, destination int) bool { return destination != zone }
}

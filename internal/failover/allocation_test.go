package failover

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Work is not sent to another zone while its zone of entry has capacity.
func TestWorkStaysLocalWhileThereIsCapacity(t *testing.T) {
	f := newFleet(t, 6, 0.9)
	for range 20 {
		_, remoteRatio, rejectedRatio := f.assignedWork(f.step())
		require.Zero(t, remoteRatio)
		require.InDelta(t, 0, rejectedRatio, 1e-9)
	}
}

// For any offered work, capacities and link states: ratios are valid, no zone gets more than its capacity, classes stay
// in their allowed zones, and remote work leaves the local reserve free.
func TestAllocationsStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawAllocationProblem(t)
		split := p.settings.allocate(p.offered, p.capacities, func(entry, zone int) float64 { return p.usableRatios[entry][zone] })
		if err := p.settings.ValidatePlacement(Placement{TTL: 1, Split: split}); err != nil {
			t.Fatal(err)
		}
		for zone := range p.settings.Zones {
			p.checkZone(t, split, zone)
		}
	})
}

type allocationProblem struct {
	settings     Settings
	capacities   []float64   // by zone
	offered      [][]float64 // by entry and class
	usableRatios [][]float64 // usable ratio of each link, by entry and zone
}

func drawAllocationProblem(t *rapid.T) allocationProblem {
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	p := allocationProblem{
		settings: testSettings(zones), capacities: make([]float64, zones),
		offered: make([][]float64, zones), usableRatios: make([][]float64, zones),
	}
	classes := p.settings.Classes
	if rapid.Bool().Draw(t, "class 1 is restricted") {
		classes[1].AllowedZones = []int{rapid.IntRange(0, zones-1).Draw(t, "allowed zone")}
	}
	for entry := range zones {
		p.capacities[entry] = rapid.Float64Range(0, 100).Draw(t, "capacity")
		p.offered[entry], p.usableRatios[entry] = make([]float64, len(classes)), make([]float64, zones)
		for class := range classes {
			p.offered[entry][class] = rapid.SampledFrom([]float64{0, 0, 1, 10, 50, 200}).Draw(t, "offered")
		}
		for zone := range zones {
			p.usableRatios[entry][zone] = rapid.SampledFrom([]float64{0, 0.3, 1, 1, 1}).Draw(t, "usable")
		}
	}
	return p
}

// checkZone checks the work that a zone gets over each link, from other zones and in total.
func (p allocationProblem) checkZone(t *rapid.T, split Split, zone int) {
	capacity := p.capacities[zone]
	totalWork, remote := 0.0, 0.0
	for entry := range p.settings.Zones {
		linkWork := p.checkLink(t, split, entry, zone)
		totalWork += linkWork
		if entry != zone {
			remote += linkWork
		}
	}
	if totalWork > capacity+1e-6 {
		t.Fatalf("zone %d gets work of %f, capacity %f", zone, totalWork, capacity)
	}
	if remote > (1-localReserveRatio)*capacity+1e-6 {
		t.Fatalf("zone %d gets work of %f from other zones, capacity %f", zone, remote, capacity)
	}
}

// checkLink checks the work that one zone sends to another, and returns it.
func (p allocationProblem) checkLink(t *rapid.T, split Split, entry, zone int) (linkWork float64) {
	for class := range p.settings.Classes {
		work := p.offered[entry][class] * split[entry][class][zone]
		linkWork += work
		if work > 0 && !p.settings.permitted(p.settings.Classes[class], entry, zone) {
			t.Fatalf("work of class %d from zone %d is sent to zone %d, which is not permitted", class, entry, zone)
		}
	}
	if limit := p.usableRatios[entry][zone] * p.capacities[zone]; linkWork > limit+1e-6 {
		t.Fatalf("work of %f is sent from zone %d to zone %d, limit %f", linkWork, entry, zone, limit)
	}
	return linkWork
}

package failover

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordDecisions overwrites testdata/decisions.txt: go test ./internal/failover -run TestSeededRuns -record-decisions.
var recordDecisions = flag.Bool("record-decisions", false, "overwrite testdata/decisions.txt with the decisions of this build")

// Seeded runs with faults, overrides, changes of the endpoint list and wrong reports make exactly the recorded
// decisions.
func TestSeededRunsDecideAsRecorded(t *testing.T) {
	const recording = "testdata/decisions.txt"
	var lines []string
	for seed := range uint64(8) {
		lines = append(lines, seededDecisions(t, seed)...)
	}
	decisionText := strings.Join(lines, "\n") + "\n"
	if *recordDecisions {
		require.NoError(t, os.WriteFile(recording, []byte(decisionText), 0o600))
	}
	recordedText, err := os.ReadFile(recording)
	require.NoError(t, err)
	require.Equal(t, string(recordedText), decisionText)
}

// seededDecisions simulates 250 periods and returns a line for each: the zones' health states and a checksum of
// all numbers that were decided.
func seededDecisions(t *testing.T, seed uint64) (lines []string) {
	rng := rand.New(rand.NewPCG(seed, 17))
	zones := 1 + int(seed)%6
	f := newFleet(t, zones, 0.3+1.2*rng.Float64())
	if seed%2 == 1 {
		f.settings.Classes[1].AllowedZones = []int{rng.IntN(zones)}
		var err error
		f.decider, err = NewDecider(f.settings, 7)
		require.NoError(t, err)
	}
	follower, err := NewFollower(f.settings, rng.IntN(zones), Placement{})
	require.NoError(t, err)
	faults := newZoneFaults(zones)
	f.reachable = func(entry, zone int) bool {
		isFlappedDown := faults.flappingZone == zone && f.sequence/9%2 == 1
		return !faults.isCut[entry][zone] && !isFlappedDown
	}
	f.distort = func(_ int, report Report) *Report {
		if zone := faults.lossyZone; zone >= 0 {
			report.Observations[zone] = faults.lossyObservation
		}
		if zone := faults.slowZone; zone >= 0 && report.Observations[zone].Answers > 0 {
			report.Observations[zone].LatencyLogRatio = faults.latencyLogRatio
			report.Observations[zone].CapacityRejections = 0
		}
		switch roll := rng.Float64(); {
		case roll < 0.05:
			return nil
		case roll < 0.1:
			report.Observations[rng.IntN(zones)] = Observation{Failures: rng.IntN(12), Answers: rng.IntN(4)}
		case roll < 0.32:
			report.OfferedWork = []float64{1e9 * rng.Float64(), 100, 0}
		}
		return &report
	}
	for step := range 250 {
		faults.changeAtRandom(f, rng)
		placement := f.step()
		if rng.IntN(4) > 0 {
			_ = follower.Apply(f.now, placement)
		}
		offered := []float64{1000 * rng.Float64(), 5000 * rng.Float64(), 0}
		followedSplit, isDecided := follower.Split(f.now+3000*rng.Float64(), f.listed, offered, 1+rng.IntN(20))
		plannedSplit, rejectedRatio := f.decider.PlanWithoutZone(f.now, rng.IntN(zones+1)-1)
		decisions, err := json.Marshal([]any{placement, followedSplit, isDecided, plannedSplit, rejectedRatio})
		require.NoError(t, err)
		checksum := sha256.Sum256(decisions)
		lines = append(lines, fmt.Sprintf("seed %d step %d %v panic=%v %x", seed, step, f.decider.Health(f.now), placement.Panic, checksum[:8]))
	}
	return lines
}

// zoneFaults holds the faults that are active in a seeded run; a zone index of -1 means no such fault.
type zoneFaults struct {
	isCut            [][]bool // true for each pair of a zone of entry and a zone that it cannot reach
	flappingZone     int
	lossyZone        int
	lossyObservation Observation // observation that all reports contain for the lossy zone
	slowZone         int
	latencyLogRatio  float64
}

func newZoneFaults(zones int) *zoneFaults {
	faults := &zoneFaults{flappingZone: -1, lossyZone: -1, slowZone: -1}
	for range zones {
		faults.isCut = append(faults.isCut, make([]bool, zones))
	}
	return faults
}

// changeAtRandom randomly changes the faults, the endpoint list, the offered work, the overrides or the decider, or
// nothing.
func (faults *zoneFaults) changeAtRandom(f *fleet, rng *rand.Rand) {
	zones := len(faults.isCut)
	switch rng.IntN(45) {
	case 0:
		zone, isDown := rng.IntN(zones), rng.IntN(2) == 0
		for entry := range faults.isCut {
			faults.isCut[entry][zone] = isDown
		}
	case 1:
		entry, zone := rng.IntN(zones), rng.IntN(zones)
		faults.isCut[entry][zone] = !faults.isCut[entry][zone]
	case 2:
		f.listed[rng.IntN(zones)] = ListedCapacity{WarmCores: float64(10 * rng.IntN(16)), WarmingUp: []WarmingEndpoint{{Cores: 20, Age: 12000 * rng.Float64()}}}
	case 3, 4, 5:
		f.listed[rng.IntN(zones)] = ListedCapacity{WarmCores: 100}
	case 6:
		f.listed[rng.IntN(zones)] = ListedCapacity{}
	case 7:
		f.offered[rng.IntN(len(f.offered))] *= 0.5 + rng.Float64()
	case 8:
		kind := []OverrideKind{Evacuate, Evacuate, Return, Freeze, Thaw}[rng.IntN(5)]
		_ = f.decider.SetOverride(f.now, Override{Kind: kind, Zone: rng.IntN(zones), RampDown: 5000 * float64(rng.IntN(3)), TTL: 3000 + 10000*rng.Float64()})
	case 9:
		nextDecider, err := NewDecider(f.settings, f.decider.fence+1)
		if err == nil && rng.IntN(4) == 0 {
			nextDecider.AdoptPlacement(f.decider.lastPlacement)
			f.decider = nextDecider
		}
	case 10:
		faults.flappingZone = rng.IntN(zones+1) - 1
	case 11:
		faults.lossyZone, faults.lossyObservation = rng.IntN(2*zones)-zones, []Observation{{Answers: 2, Failures: 7}, {Failures: 2}}[rng.IntN(2)]
	case 12:
		faults.slowZone, faults.latencyLogRatio = rng.IntN(2*zones)-zones, []float64{0.38, 0.44, 0.72, 0.9}[rng.IntN(4)]
	}
}

package drill

import (
	"flag"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

var seedsFlag = flag.Int("seeds", 200, "number of seeds to run")

func testDrill() *Drill {
	return &Drill{
		Name: "drawn", DurationMS: 20000, Members: 5, Replicas: 3, Jobs: []string{"a", "b"},
		LeaseMS: 2000, DriftBound: 0.01, RandomFaults: 4,
	}
}

// runSeeds runs a drill with the seeds from 0 to seeds-1, at most GOMAXPROCS at a time.
func runSeeds(t *testing.T, d *Drill, seeds int, disabled DisabledGuards) []*VirtualResult {
	t.Helper()
	results := make([]*VirtualResult, seeds)
	var runs sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range seeds {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			result, err := RunVirtual(d, uint64(seed), disabled, false)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			results[seed] = result
		})
	}
	runs.Wait()
	return results
}

func TestRandomFaultsViolateNoRule(t *testing.T) {
	var ownedRatio, writes, rejected float64
	unownedByCause := unownedTimes{}
	for _, result := range runSeeds(t, testDrill(), *seedsFlag, DisabledGuards{}) {
		for _, violation := range result.Violations {
			t.Errorf("seed %d: %v %v", result.Seed, violation, violation.Evidence)
		}
		ownedRatio += result.OwnedRatio
		writes += float64(result.Writes)
		rejected += float64(result.Rejected)
		unownedByCause.merge(result.unownedByCause)
	}
	runs := float64(*seedsFlag)
	t.Logf("owned %.3f of the time, %.0f writes, %.2f rejected a run", ownedRatio/runs, writes/runs, rejected/runs)
	for _, row := range unownedByCause.rows() {
		t.Logf("%-12s n %d p50 %.0f p95 %.0f max %.0f", row.Cause, row.Count, row.P50, row.P95, row.Max)
	}
	require.Greater(t, ownedRatio/runs, 0.7)
}

// forgottenVotes returns a drill that kills n1 repeatedly, each time immediately after it has voted. n0 and n2 are
// partitioned, so that only n1 connects them.
func forgottenVotes() *Drill {
	d := testDrill()
	d.Members, d.RandomFaults = 3, 0
	d.Faults = []Fault{{Kind: FaultPartition, AtMS: 1000, DurationMS: 19000, Target: "n0", Peer: "n2", Direction: DirectionBoth}}
	for i := range 7 {
		at := 3000 + float64(i)*2300
		d.Faults = append(d.Faults,
			Fault{Kind: FaultKillAfterVote, AtMS: at, DurationMS: 3, Target: "n1"},
			Fault{Kind: FaultKill, AtMS: at + 1, DurationMS: 30, Target: TargetLeader},
			Fault{Kind: FaultPartition, AtMS: at + 300 + 100*float64(i%3), DurationMS: 600, Target: "n1", Peer: []string{"n0", "n2"}[i%2], Direction: DirectionInbound})
	}
	return d
}

// Each guard is necessary: without it, a run with the given seed violates a rule; with it, the same run violates none. This
// also shows that the checkers detect violations. The seeds were found among thousands.
func TestDisablingAnyGuardViolatesRule(t *testing.T) {
	drifting := testDrill()
	drifting.DriftBound = 0.05
	for name, c := range map[string]struct {
		drill    *Drill
		disabled DisabledGuards
		rule     string
		seed     uint64
	}{
		"target checks the fencing token":  {testDrill(), DisabledGuards{FenceCheck: true}, RuleFence, 1},
		"lease counts from the request":    {testDrill(), DisabledGuards{LeaseFromRequest: true}, RuleSingleOwner, 4},
		"vote is synced before it is sent": {forgottenVotes(), DisabledGuards{VoteSync: true}, RuleSingleOwner, 59},
		"drift is allowed for":             {drifting, DisabledGuards{DriftAllowance: true}, RuleSingleOwner, 6},
	} {
		t.Run(name, func(t *testing.T) {
			result, err := RunVirtual(c.drill, c.seed, c.disabled, false)
			require.NoError(t, err)
			require.NotEmpty(t, result.Violations, "this seed no longer causes a violation: search for one that does")
			require.Equal(t, c.rule, result.Violations[0].Rule)
			result, err = RunVirtual(c.drill, c.seed, DisabledGuards{}, false)
			require.NoError(t, err)
			require.Empty(t, result.Violations)
		})
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	for seed := range uint64(10) {
		first, err := RunVirtual(testDrill(), seed, DisabledGuards{}, true)
		require.NoError(t, err)
		second, err := RunVirtual(testDrill(), seed, DisabledGuards{}, true)
		require.NoError(t, err)
		require.Equal(t, first.Log, second.Log)
		require.Equal(t, first.writes, second.writes)
	}
}

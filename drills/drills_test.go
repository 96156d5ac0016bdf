package drills_test

import (
	"flag"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/drills"
	"aniseloft/internal/drill"
)

var equalRunSeeds = flag.Uint64("equal-run-seeds", 25, "number of seeds that TestEqualSeedsGiveEqualRunsOfAllDrills runs of each drill")

// Runs each drill in virtual time with 20 seeds, or with one if it has more than 100 members. Longer checks, which are
// started by hand, run thousands of seeds.
func TestVirtualDrillsViolateNoRule(t *testing.T) {
	for _, name := range drills.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, err := drills.Load(name)
			require.NoError(t, err)
			require.Equal(t, name, d.Name)
			seeds := uint64(20)
			if d.Members > 100 {
				seeds = 1
			}
			var ownedRatio float64
			for seed := range seeds {
				result, err := drill.RunVirtual(d, seed, drill.DisabledGuards{}, false)
				require.NoError(t, err)
				for _, violation := range result.Violations {
					t.Errorf("seed %d: %v %v", seed, violation, violation.Evidence)
				}
				ownedRatio += result.OwnedRatio / float64(seeds)
			}
			t.Logf("owned %.3f of the time", ownedRatio)
			require.Greater(t, ownedRatio, d.MinOwnedRatio, "the jobs had no owner for too long")
		})
	}
}

// Two runs of one seed must be equal, or a failure can't be replayed. They differ if a decision depends on the order of a
// map or on another source of chance than the seed.
func TestEqualSeedsGiveEqualRunsOfAllDrills(t *testing.T) {
	for _, name := range drills.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, err := drills.Load(name)
			require.NoError(t, err)
			seeds := *equalRunSeeds
			if d.Members > 100 {
				seeds = 2
			}
			for seed := range seeds {
				first, err := drill.RunVirtual(d, seed, drill.DisabledGuards{}, true)
				require.NoError(t, err)
				second, err := drill.RunVirtual(d, seed, drill.DisabledGuards{}, true)
				require.NoError(t, err)
				if !reflect.DeepEqual(first, second) {
					t.Errorf("seed %d: two runs have different results", seed)
				}
			}
		})
	}
}

package drills_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/drills"
	"aniseloft/internal/drill"
	"aniseloft/internal/testdir"
	"aniseloft/scenarios"
)

// Runs the soak with four seeds. A coordinator that shuts down must answer the requests that it has received, and must exit
// before SIGKILL. Longer runs are started by hand: aniseloftctl drill run soak --seeds 50.
func TestSoakViolatesNoRule(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes for half a minute")
	}
	program := filepath.Join(t.TempDir(), "aniseloft")
	out, err := exec.Command("go", "build", "-o", program, "aniseloft/cmd/aniseloft").CombinedOutput()
	require.NoError(t, err, string(out))
	d, err := drills.Load("soak")
	require.NoError(t, err)
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s, err := scenarios.Load("calm-weekday")
			require.NoError(t, err)
			s.Load.PerSecond = 20
			result, err := drill.RunReal(context.Background(), d, drill.RealOptions{Seed: seed, Directory: testdir.Dir(t), Coordinator: program, Scenario: s})
			require.NoError(t, err)
			for _, violation := range result.Violations {
				t.Errorf("%v %v", violation, violation.Evidence)
			}
			t.Logf("service %.3f, faults %q", result.Service, result.Faults)
		})
	}
}

// Runs five drills in parallel, each with five real processes. It checks rules and that jobs are carried out, but no times, so
// that the result does not depend on the machine's speed.
func TestRealDrillsViolateNoRule(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes for half a minute")
	}
	program := filepath.Join(t.TempDir(), "aniseloft")
	out, err := exec.Command("go", "build", "-o", program, "aniseloft/cmd/aniseloft").CombinedOutput()
	require.NoError(t, err, string(out))
	for i, name := range []string{"owner-asleep-in-the-act", "all-killed", "disk-rolled-back", "grow-and-shrink", "drawn"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, err := drills.Load(name)
			require.NoError(t, err)
			s, err := scenarios.Load("calm-weekday")
			require.NoError(t, err)
			s.Load.PerSecond = 20
			result, err := drill.RunReal(context.Background(), d, drill.RealOptions{Seed: uint64(11 + i), Directory: testdir.Dir(t), Coordinator: program, Scenario: s})
			require.NoError(t, err)
			for _, violation := range result.Violations {
				t.Errorf("%v %v", violation, violation.Evidence)
			}
			require.Greater(t, result.Writes, 10)
			require.NotEmpty(t, result.Grants)
			t.Logf("%d writes, %d rejected, %d grants, service %.3f, faults %v", result.Writes, result.Rejected, len(result.Grants), result.Service, result.Faults)
		})
	}
}

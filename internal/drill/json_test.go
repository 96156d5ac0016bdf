package drill

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/store"
)

// requireSameJSON compares the JSON of a value with the recorded JSON, byte for byte. To record it:
// RECORD_DRILL_JSON=1 go test ./internal/drill -run TestDrillAndResultJSONIsStable
func requireSameJSON(t *testing.T, name string, value any) {
	t.Helper()
	written, err := json.MarshalIndent(value, "", " ")
	require.NoError(t, err)
	file := filepath.Join("testdata", name)
	if os.Getenv("RECORD_DRILL_JSON") != "" {
		require.NoError(t, os.WriteFile(file, append(written, '\n'), 0o600))
	}
	recorded, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(recorded), string(written)+"\n")
}

func TestDrillAndResultJSONIsStable(t *testing.T) {
	violations := []Violation{{Rule: RuleFence, Process: "n1/2", AtMS: 1234.5, Detail: "prune-record: an act under fence 1 after one under 2", Evidence: []string{"a", "b"}}, {Rule: RuleLinearizable}}
	faults := []Fault{
		{Kind: FaultPartition, AtMS: 1, DurationMS: 2, Target: "leader", Peer: "n2", Direction: DirectionInbound},
		{Kind: FaultKill, AtMS: 3, DurationMS: 4, Target: "any", Disk: DiskRolledBack},
		{Kind: FaultClockDrift, AtMS: 5, Target: "n0", Magnitude: 0.5}, {Kind: FaultClockStep, AtMS: 6, ClockStepMS: -7}, {Kind: FaultResize, AtMS: 8, Replicas: 5},
	}
	rows := []UnownedTime{{Cause: "kill", Count: 3, P50: 1, P95: 2, Max: 4}}
	t.Run("drill", func(t *testing.T) {
		requireSameJSON(t, "drill.json", Drill{Schema: "s", Name: "n", Purpose: "t", DurationMS: 20000, Members: 5, Replicas: 3, Jobs: []string{"prune-record"},
			LeaseMS: 2000, DriftBound: 0.01, MinOwnedRatio: 0.35, Faults: faults, RandomFaults: 4, Scenario: "calm-weekday"})
	})
	t.Run("virtual result", func(t *testing.T) {
		requireSameJSON(t, "virtual-result.json", VirtualResult{Seed: 1, Violations: violations, Writes: 2, Rejected: 3, Grants: 4, OwnedRatio: 0.5, Faults: faults, Log: []string{"x"}, Messages: 6, Syncs: 7})
	})
	t.Run("summary", func(t *testing.T) {
		requireSameJSON(t, "summary.json", Summary{Name: "n", Runs: 2, Failed: []uint64{9}, Violations: violations, OwnedRatio: 0.25, Writes: 3, Rejected: 4, Grants: 5, Messages: 6, Syncs: 7, Unowned: rows})
	})
	t.Run("real result", func(t *testing.T) {
		requireSameJSON(t, "real-result.json", RealResult{Seed: 1, Violations: violations, Writes: 2, Rejected: 3, Unknown: 4, Grants: []store.FenceRow{{Job: "prune-record", Fence: 5, Holder: "n0/1", Acts: 6}},
			Unowned: rows, Service: 0.75, JournalCalls: 7, BytesPerSecond: 8.5, SyncsPerSecond: 9.5, Faults: []string{"f"}, Report: &observer.Report{Scenario: "calm-weekday", Service: 0.75}})
	})
	t.Run("write", func(t *testing.T) {
		requireSameJSON(t, "write.json", FencedWrite{Job: "prune-record", Fence: 1, Holder: "n0/1", CalledAtMS: 2, AppliedAtMS: 3, ReturnedAtMS: 4, Admitted: true})
	})
}

// Decoding a drill file that sets each field and encoding it again must give the same JSON.
func TestParsedDrillKeepsEachField(t *testing.T) {
	raw, err := os.ReadFile("testdata/complete-drill.json")
	require.NoError(t, err)
	d, err := Parse("complete-drill.json", raw)
	require.NoError(t, err)
	written, err := json.Marshal(d)
	require.NoError(t, err)
	require.JSONEq(t, string(raw), string(written))
}

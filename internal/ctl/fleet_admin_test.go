package ctl

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

// updateFleetOutput makes the test rewrite the files under testdata. The JSON files were first written by the release before
// the first rename of the fields that they show. To rewrite the files:
//
//	go test ./internal/ctl -run TestFleetOutput -update-fleet-output
var updateFleetOutput = flag.Bool("update-fleet-output", false, "rewrite the fixtures")

// The names in the JSON output must not change, as operators' scripts read them. The text is for people and may be reworded.
func TestFleetOutputMatchesFixtures(t *testing.T) {
	status := &lease.Status{Replica: "n1", Leader: "n2", Term: 5, GroupID: "000000000000000c", Generation: 2, Replicas: []string{"n1", "n2", "n3"},
		Jobs: []lease.JobStatus{{Job: lease.JobPruneRecord, Fence: 8, Holder: "n1/7f3a", Preferred: "n2", AgeMS: 12.5}, {Job: lease.JobReadJournal}},
		Clients: []lease.ClientStatus{{Name: "n1", AgeMS: 12.5, Capacity: 2.5, Draining: true}, {Name: "n2", AgeMS: 3, Capacity: 1, HeldDown: true},
			{Name: "n3", AgeMS: 4, Capacity: 1}}}
	captureOutput := func(f func(c *cobra.Command) error) []byte {
		var b bytes.Buffer
		c := &cobra.Command{}
		c.SetOut(&b)
		require.NoError(t, f(c))
		return b.Bytes()
	}
	commandOutput := func(args ...string) []byte {
		code, out, log := runCommand(args...)
		require.Equal(t, ExitOK, code, log)
		return []byte(out)
	}
	for name, got := range map[string][]byte{
		"fleet-status.txt":  captureOutput(func(c *cobra.Command) error { return printStatus(c, status) }),
		"fleet-status.json": captureOutput(func(c *cobra.Command) error { return printJSON(c, status) }),
		"fleet-jobs.txt":    commandOutput("fleet", "jobs"),
		"fleet-jobs.json":   commandOutput("fleet", "jobs", "--json"),
	} {
		fixturePath := filepath.Join("testdata", name)
		if *updateFleetOutput {
			require.NoError(t, os.WriteFile(fixturePath, got, 0o644))
		}
		fixture, err := os.ReadFile(fixturePath)
		require.NoError(t, err)
		require.Equal(t, string(fixture), string(got), name)
	}
	fixture, err := os.ReadFile(filepath.Join("testdata", "fleet-status.json"))
	require.NoError(t, err)
	decoded := &lease.Status{}
	require.NoError(t, json.Unmarshal(fixture, decoded))
	require.Equal(t, status, decoded)
}

package consensus

import (
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

// The files under testdata hold the encoding of the release before these types were first renamed. They were
// written with
//
//	go test ./internal/consensus -run TestLogAndSnapshot -update
var updateFixtures = flag.Bool("update", false, "overwrite the fixtures with the current encoding")

// requireRecordedJSON requires that value is encoded as the file at path records, and returns the file's content.
func requireRecordedJSON(t *testing.T, path string, value any) []byte {
	t.Helper()
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	encoded = append(encoded, '\n')
	if *updateFixtures {
		require.NoError(t, os.WriteFile(path, encoded, 0o644))
	}
	fixture, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(fixture), string(encoded))
	return fixture
}

// Log entries and snapshots of an earlier release are decoded without loss and encoded to the same bytes.
func TestLogAndSnapshotKeepTheirJSON(t *testing.T) {
	holder := &lease.Holder{Name: "n1", Incarnation: 0x7f3a}
	var commands []command
	for _, kind := range []commandKind{commandGrant, commandRelease, commandRaiseFence, commandPrefer, commandSetGeneration} {
		commands = append(commands, command{Kind: kind, Job: "prune-record", Fence: 7, Holder: holder, Preferred: "n2", Reason: "by hand", Generation: 3})
	}
	var decodedCommands []command
	require.NoError(t, json.Unmarshal(requireRecordedJSON(t, "testdata/commands.json", commands), &decodedCommands))
	require.Equal(t, commands, decodedCommands)

	machine := newStateMachine()
	machine.GroupID, machine.Replicas = 12, map[uint64]string{12: "n0"}
	for n, c := range []command{
		{Kind: commandSetGeneration, Generation: 3},
		{Kind: commandGrant, Job: "prune-record", Holder: holder},
		{Kind: commandRelease, Job: "prune-record", Fence: 1, Reason: "given back"},
		{Kind: commandRaiseFence, Job: "prune-record", Fence: 9, Reason: "a target has seen it"},
		{Kind: commandGrant, Job: "prune-record", Fence: 9, Holder: holder},
		{Kind: commandPrefer, Job: "prune-record", Preferred: "n2", Reason: "by hand"},
	} {
		require.NoError(t, machine.apply(uint64(n+2), c))
	}
	restored, err := decodeStateMachine(requireRecordedJSON(t, "testdata/snapshot.json", machine))
	require.NoError(t, err)
	require.Equal(t, machine, restored)
	require.Equal(t, string(machine.encode()), string(restored.encode()))
}

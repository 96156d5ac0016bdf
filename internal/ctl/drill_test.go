package ctl

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/drill"
)

func TestExitCodesAndMessagesOfDrillAndFleet(t *testing.T) {
	seats := `"seats":[{"name":"n0","addr":"127.0.0.1:1"}]`
	enabledFile := writeTestFile(t, "fleet.json", `{"installation":"x","generation":1,"directory":"d","jobs":["prune-record"],`+seats+`}`)
	requireCommands(t, []commandCase{
		{[]string{"drill", "--help"}, ExitOK, "replay"},
		{[]string{"drill", "run", "--help"}, ExitOK, "aniseloftctl drill run drawn --virtual --seeds 10000"},
		{[]string{"drill", "list"}, ExitOK, "owner-asleep-in-the-act"},
		{[]string{"drill", "run", "no-such-drill"}, ExitUsage, "the drills are all-killed"},
		{[]string{"drill", "run", "drawn", "--virtual", "--seeds", "20"}, ExitOK, "20 runs, 0 with a rule violation"},
		{[]string{"drill", "run", "drawn", "--virtual", "--seeds", "20", "--without", "fence"}, ExitRules, "first with --seed"},
		{[]string{"drill", "run", "drawn", "--virtual", "--without", "luck"}, ExitUsage, "--without luck: unknown guard; the guards are fence, asked, vote and drift"},
		{[]string{"drill", "run", "drawn", "--without", "fence"}, ExitUsage, "--without requires --virtual"},
		{[]string{"drill", "run", "drawn", "--coordinator", "/no/such"}, ExitUsage, "build it or give its path"},
		{[]string{"drill", "replay", "owner-killed", "--seed", "3"}, ExitOK, "fault: 5000 ms: kill owner"},
		{[]string{"drill", "shrink", "owner-killed"}, ExitFailed, "there is nothing to shrink"},
		{[]string{"drill", "check", writeTestFile(t, "d.json", `{"name":"x","tells":"y"}`)}, ExitOK, ": valid"},
		{[]string{"drill", "check", writeTestFile(t, "d.json", `{"name":"x","tells":"y","faults":[{"kind":"kil","at_ms":1}]}`)}, ExitUsage, "/faults/0/kind"},
		{[]string{"drill", "check", writeTestFile(t, "d.json", `{"name":"x","tells":"y","members":3,"faults":[{"kind":"kill","at_ms":1e9,"who":"n9"}]}`)}, ExitUsage,
			`/faults/0/who: "n9" is neither a process nor a role`},
		{[]string{"check", "fleet", "../../deploy/fleet.json"}, ExitOK, ": valid"},
		{[]string{"check", "fleet", enabledFile}, ExitOK, ": valid"},
		{[]string{"check", "fleet", writeTestFile(t, "f.json", `{"installation":"x","generation":1,"directory":"d","jobs":["dance"],`+seats+`}`)}, ExitUsage, "/jobs/0"},
		{[]string{"fleet", "jobs"}, ExitOK, "prune-record"},
		{[]string{"fleet", "status", "--file", "/no/such.json"}, ExitUsage, "name the file with --file"},
		{[]string{"fleet", "status", "--file", "../../deploy/fleet.json"}, ExitUsage, "names no installation"},
		{[]string{"fleet", "status", "--file", enabledFile, "--timeout", "100ms"}, ExitFailed, "no replica of the consensus group responds"},
		{[]string{"fleet", "move", "--file", enabledFile}, ExitUsage, "arg(s)"},
		{[]string{"fleet", "history", "--file", enabledFile, "--at", "n7"}, ExitFailed, `"n7" is not a replica`},
	})
	// shrink prints the smallest drill that still violates a rule: it has a single fault.
	code, out, _ := runCommand("drill", "shrink", "drawn", "--seed", "1", "--without", "fence")
	require.Equal(t, ExitOK, code)
	smallest, err := drill.Parse("least.json", []byte(out))
	require.NoError(t, err)
	require.Len(t, smallest.Faults, 1)
	code, _, _ = runCommand("drill", "run", writeTestFile(t, "least.json", out), "--virtual", "--without", "fence")
	require.Equal(t, ExitRules, code)
	code, out, _ = runCommand("drill", "run", "drawn", "--virtual", "--seeds", "3", "--json")
	require.Equal(t, ExitOK, code)
	var summary drill.Summary
	require.NoError(t, json.Unmarshal([]byte(out), &summary))
	require.Equal(t, 3, summary.Runs)
	require.NotEmpty(t, summary.Unowned)
}

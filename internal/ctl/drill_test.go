package ctl

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/drill"
)

func TestExitCodesAndMessagesOfDrillAndFleet(t *testing.T) {
	seats := `"seats":[{"name":"n0","addr":"127.0.0.1:1"}]`
	on := writeTestFile(t, "fleet.json", `{"installation":"x","generation":1,"directory":"d","jobs":["prune-record"],`+seats+`}`)
	requireCommands(t, []commandCase{
		{[]string{"drill", "--help"}, ExitOK, "replay"},
		{[]string{"drill", "run", "--help"}, ExitOK, "aniseloftctl drill run drawn --virtual --seeds 10000"},
		{[]string{"drill", "list"}, ExitOK, "owner-asleep-in-the-act"},
		{[]string{"drill", "run", "no-such-drill"}, ExitUsage, "the drills are all-killed"},
		{[]string{"drill", "run", "drawn", "--virtual", "--seeds", "20"}, ExitOK, "20 plays, 0 with a rule broken"},
		{[]string{"drill", "run", "drawn", "--virtual", "--seeds", "20", "--without", "fence"}, ExitRules, "first with --seed"},
		{[]string{"drill", "run", "drawn", "--virtual", "--without", "luck"}, ExitUsage, "fence, asked, vote and drift are known"},
		{[]string{"drill", "run", "drawn", "--without", "fence"}, ExitUsage, "--without goes with --virtual"},
		{[]string{"drill", "run", "drawn", "--coordinator", "/no/such"}, ExitUsage, "build it, or name it"},
		{[]string{"drill", "replay", "owner-killed", "--seed", "3"}, ExitOK, "fault: 5000 ms: kill owner"},
		{[]string{"drill", "shrink", "owner-killed"}, ExitFailed, "there is nothing to shrink"},
		{[]string{"drill", "check", writeTestFile(t, "d.json", `{"name":"x","tells":"y"}`)}, ExitOK, "fine"},
		{[]string{"drill", "check", writeTestFile(t, "d.json", `{"name":"x","tells":"y","faults":[{"kind":"kil","at_ms":1}]}`)}, ExitUsage, "/faults/0/kind"},
		{[]string{"drill", "check", writeTestFile(t, "d.json", `{"name":"x","tells":"y","members":3,"faults":[{"kind":"kill","at_ms":1e9,"who":"n9"}]}`)}, ExitUsage,
			`/faults/0/who: "n9" is neither a process nor a role`},
		{[]string{"check", "fleet", "../../deploy/fleet.json"}, ExitOK, "fine"},
		{[]string{"check", "fleet", on}, ExitOK, "fine"},
		{[]string{"check", "fleet", writeTestFile(t, "f.json", `{"installation":"x","generation":1,"directory":"d","jobs":["dance"],`+seats+`}`)}, ExitUsage, "/jobs/0"},
		{[]string{"fleet", "jobs"}, ExitOK, "prune-record"},
		{[]string{"fleet", "status", "--file", "/no/such.json"}, ExitUsage, "name the file with --file"},
		{[]string{"fleet", "status", "--file", "../../deploy/fleet.json"}, ExitUsage, "names no installation"},
		{[]string{"fleet", "status", "--file", on, "--timeout", "100ms"}, ExitFailed, "no seat of the council answers"},
		{[]string{"fleet", "move", "--file", on}, ExitUsage, "arg(s)"},
		{[]string{"fleet", "history", "--file", on, "--at", "n7"}, ExitFailed, `"n7" is no seat`},
	})
	// What shrink prints is a drill that fails alike, and no fault of it can be left out.
	code, out, _ := runCommand("drill", "shrink", "drawn", "--seed", "1", "--without", "fence")
	require.Equal(t, ExitOK, code)
	least, err := drill.Parse("least.json", []byte(out))
	require.NoError(t, err)
	require.Len(t, least.Faults, 1)
	code, _, _ = runCommand("drill", "run", writeTestFile(t, "least.json", out), "--virtual", "--without", "fence")
	require.Equal(t, ExitRules, code)
	code, out, _ = runCommand("drill", "run", "drawn", "--virtual", "--seeds", "3", "--json")
	require.Equal(t, ExitOK, code)
	var sum drill.Summary
	require.NoError(t, json.Unmarshal([]byte(out), &sum))
	require.Equal(t, 3, sum.Runs)
	require.NotEmpty(t, sum.Unowned)
}

package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodesAndMessagesOfEmulateAndExperiment(t *testing.T) {
	badFile := writeTestFile(t, "bad.json", `{"name":"x","tells":"y","duration_ms":60,"lode":1}`)
	brokenFile := writeTestFile(t, "cold.json", `{"name":"cold","tells":"y","duration_ms":8000,"engines":{"count":1,"cold_from":0.01},"load":{"per_s":300},
		"rules":{"fall_multiple":0.2},"troubles":[{"kind":"join","at_ms":500,"count":1}],"roster":{"notice_ms":0}}`)
	requireCommands(t, []commandCase{
		{[]string{"emulate", "list", "--names"}, ExitOK, "flood-day"},
		{[]string{"emulate", "run", "--help"}, ExitOK, "aniseloftctl emulate run flood-day --seed 7"},
		{[]string{"emulate", "check", badFile}, ExitUsage, "bad.json: /: additional properties 'lode' not allowed; remove it"},
		{[]string{"emulate", "run", "no-such-day"}, ExitUsage, "neither an embedded scenario nor a file"},
		{[]string{"emulate", "run", "calm-weekday", "--policy", "best"}, ExitUsage, "--policy best"},
		{[]string{"emulate", "run", "calm-weekday", "--sede", "1"}, ExitUsage, "--help"},
		{[]string{"emulate", "run", "calm-weekday", "--set", "load=1"}, ExitUsage, "/load/per_s=300"},
		{[]string{"emulate", "run"}, ExitUsage, "1 arg(s)"},
		{[]string{"emulate", "rehearse", "calm-weekday", "--coordinator", "/no/such"}, ExitUsage, "--coordinator"},
		{[]string{"emulate", "run", brokenFile, "--policy", "random"}, ExitRules, "fail_back"},
		{[]string{"emulat"}, ExitUsage, "unknown command"},
		{[]string{"emulate", "lis"}, ExitUsage, "unknown command"},
		{[]string{"completion", "bash", "more"}, ExitUsage, "unknown command"},
		{[]string{"help", "emulat"}, ExitOK, "Unknown help topic"},
		{[]string{"emulate"}, ExitOK, "rehearse"},
		{nil, ExitOK, "Exit codes: 0 success"},
		{[]string{"experiment", "table", t.TempDir()}, ExitUsage, "results.jsonl"},
		{[]string{"experiment", "run", badFile}, ExitUsage, "missing propert"},
	})
}

func TestSameSeedWritesTheSameReport(t *testing.T) {
	var reports []string
	for range 2 {
		dir := t.TempDir()
		code, _, log := runCommand("emulate", "run", "flood-day", "--seed", "9", "--set", "/duration_ms=50000", "--out", dir)
		require.Equal(t, ExitOK, code, log)
		b, err := os.ReadFile(filepath.Join(dir, "report.json"))
		require.NoError(t, err)
		reports = append(reports, string(b))
	}
	require.Equal(t, reports[0], reports[1])
	var r map[string]any
	require.NoError(t, json.Unmarshal([]byte(reports[0]), &r))
	for _, field := range []string{"service", "rules_broken", "classes", "windows", "seed", "scenario", "timeline"} {
		require.Contains(t, r, field)
	}
}

const plan = `{"name":"small","scenarios":["calm-weekday","rush-hour-burst"],"seeds":[1,2,3],"policies":["module","random"],
 "variants":[{"name":"short","set":{"/duration_ms":30000,"/load/per_s":230}}]}`

func TestInterruptedExperimentContinuesWhereItStopped(t *testing.T) {
	planPath, dir := writeTestFile(t, "plan.json", plan), t.TempDir()
	resultsPath := filepath.Join(dir, "results.jsonl")
	code, _, log := runCommand("experiment", "run", planPath, "--out", dir)
	require.Equal(t, ExitOK, code, log)
	_, uninterruptedTable, _ := runCommand("experiment", "table", dir)
	uninterruptedResults, err := os.ReadFile(resultsPath)
	require.NoError(t, err)
	lines := strings.SplitAfter(string(uninterruptedResults), "\n")
	require.Len(t, lines, 13)
	// The file of a process that was killed while it wrote the sixth result.
	require.NoError(t, os.WriteFile(resultsPath, []byte(strings.Join(lines[:5], "")+lines[5][:100]), 0o600))
	code, _, log = runCommand("experiment", "run", planPath, "--out", dir)
	require.Equal(t, ExitOK, code, log)
	resumed, err := os.ReadFile(resultsPath)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(resumed), strings.Join(lines[:5], "")), "completed results are unchanged")
	require.Equal(t, 12, strings.Count(string(resumed), "\n"))
	_, table, _ := runCommand("experiment", "table", dir)
	require.Equal(t, uninterruptedTable, table)
	_, csv, _ := runCommand("experiment", "table", dir, "--csv")
	require.Equal(t, 5, strings.Count(csv, "\n"))

	code, out, log := runCommand("experiment", "compare", dir, dir, "--policy-a", "module", "--policy-b", "module")
	require.Equal(t, ExitOK, code, log)
	require.Equal(t, 3, strings.Count(out, "no difference seen"), out)
	_, out, _ = runCommand("experiment", "compare", dir, dir, "--policy-a", "random", "--policy-b", "module", "--json")
	require.Contains(t, out, "B serves more")
	code, _, log = runCommand("experiment", "compare", dir, dir)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, log, "--policy-a")

	code, out, log = runCommand("experiment", "chart", dir, "--out", t.TempDir())
	require.Equal(t, ExitOK, code, log)
	require.Equal(t, 2*(1+2+4), strings.Count(out, "\n"), "service, two latency curves, four timelines, as SVG and PNG")
	require.NoError(t, os.WriteFile(resultsPath, []byte("{}\n"+string(resumed)), 0o600))
	code, _, log = runCommand("experiment", "table", dir)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, log, "line 1")
}

package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// call runs the command line as the operator would.
func call(args ...string) (code int, out, log string) {
	var o, l bytes.Buffer
	code = Run(args, &o, &l)
	return code, o.String(), l.String()
}

func file(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExitCodesAndMessages(t *testing.T) {
	bad := file(t, "bad.json", `{"name":"x","tells":"y","duration_ms":60,"lode":1}`)
	broken := file(t, "cold.json", `{"name":"cold","tells":"y","duration_ms":8000,"engines":{"count":1,"cold_from":0.01},"load":{"per_s":300},
		"rules":{"fall_multiple":0.2},"troubles":[{"kind":"join","at_ms":500,"count":1}],"roster":{"notice_ms":0}}`)
	for _, one := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"emulate", "list", "--names"}, ExitOK, "flood-day"},
		{[]string{"emulate", "run", "--help"}, ExitOK, "aniseloftctl emulate run flood-day --seed 7"},
		{[]string{"emulate", "check", bad}, ExitUsage, "bad.json: /: additional properties 'lode' not allowed; remove it"},
		{[]string{"emulate", "run", "no-such-day"}, ExitUsage, "neither an embedded scenario nor a file"},
		{[]string{"emulate", "run", "calm-weekday", "--policy", "best"}, ExitUsage, "--policy best"},
		{[]string{"emulate", "run", "calm-weekday", "--sede", "1"}, ExitUsage, "--help"},
		{[]string{"emulate", "run", "calm-weekday", "--set", "load=1"}, ExitUsage, "/load/per_s=300"},
		{[]string{"emulate", "run"}, ExitUsage, "1 arg(s)"},
		{[]string{"emulate", "rehearse", "calm-weekday", "--coordinator", "/no/such"}, ExitUsage, "--coordinator"},
		{[]string{"emulate", "run", broken, "--policy", "random"}, ExitRules, "fail_back"},
		{[]string{"emulat"}, ExitUsage, "unknown command"},
		{[]string{"experiment", "table", t.TempDir()}, ExitUsage, "results.jsonl"},
		{[]string{"experiment", "run", bad}, ExitUsage, "missing propert"},
	} {
		code, out, log := call(one.args...)
		require.Equal(t, one.code, code, "%v: %s", one.args, log)
		require.Contains(t, out+log, one.says, one.args)
	}
}

func TestReportIsTheSameFileTwice(t *testing.T) {
	var texts []string
	for range 2 {
		dir := t.TempDir()
		code, _, log := call("emulate", "run", "flood-day", "--seed", "9", "--set", "/duration_ms=50000", "--out", dir)
		require.Equal(t, ExitOK, code, log)
		b, err := os.ReadFile(filepath.Join(dir, "report.json"))
		require.NoError(t, err)
		texts = append(texts, string(b))
	}
	require.Equal(t, texts[0], texts[1])
	var r map[string]any
	require.NoError(t, json.Unmarshal([]byte(texts[0]), &r))
	for _, field := range []string{"service", "rules_broken", "classes", "windows", "seed", "scenario", "timeline"} {
		require.Contains(t, r, field)
	}
}

const plan = `{"name":"small","scenarios":["calm-weekday","rush-hour-burst"],"seeds":[1,2,3],"policies":["module","random"],
 "variants":[{"name":"short","set":{"/duration_ms":30000,"/load/per_s":230}}]}`

func TestAnInterruptedExperimentGoesOnWhereItStopped(t *testing.T) {
	path, dir := file(t, "plan.json", plan), t.TempDir()
	results := filepath.Join(dir, "results.jsonl")
	code, _, log := call("experiment", "run", path, "--out", dir)
	require.Equal(t, ExitOK, code, log)
	_, whole, _ := call("experiment", "table", dir)
	b, err := os.ReadFile(results)
	require.NoError(t, err)
	lines := strings.SplitAfter(string(b), "\n")
	require.Len(t, lines, 13)
	// It died while it wrote the sixth.
	require.NoError(t, os.WriteFile(results, []byte(strings.Join(lines[:5], "")+lines[5][:100]), 0o600))
	code, _, log = call("experiment", "run", path, "--out", dir)
	require.Equal(t, ExitOK, code, log)
	again, err := os.ReadFile(results)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(again), strings.Join(lines[:5], "")), "what had ended is kept as it was")
	require.Equal(t, 12, strings.Count(string(again), "\n"))
	_, table, _ := call("experiment", "table", dir)
	require.Equal(t, whole, table)
	_, csv, _ := call("experiment", "table", dir, "--csv")
	require.Equal(t, 5, strings.Count(csv, "\n"))

	code, out, log := call("experiment", "compare", dir, dir, "--policy-a", "module", "--policy-b", "module")
	require.Equal(t, ExitOK, code, log)
	require.Equal(t, 3, strings.Count(out, "no difference seen"), out)
	_, out, _ = call("experiment", "compare", dir, dir, "--policy-a", "random", "--policy-b", "module", "--json")
	require.Contains(t, out, "B serves more")
	code, _, log = call("experiment", "compare", dir, dir)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, log, "--policy-a")

	code, out, log = call("experiment", "chart", dir, "--out", t.TempDir())
	require.Equal(t, ExitOK, code, log)
	require.Equal(t, 2*(1+2+4), strings.Count(out, "\n"), "service, two latency curves, four timelines, as SVG and PNG")
	require.NoError(t, os.WriteFile(results, []byte("{}\n"+string(again)), 0o600))
	code, _, log = call("experiment", "table", dir)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, log, "line 1")
}

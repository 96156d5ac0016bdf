package ctl

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheckReportsProblemsAndLeavesFileUnchanged(t *testing.T) {
	config := writeTestFile(t, "config.json", `{"settings":{"balancers":1,"me":0,"tickMs":5,"zones":["a"],"machineTypes":["std-16"],
		"lanes":[{"name":"trip-lookup","deadlineMs":2500,"promiseMs":500,"repeat":"repeatable","gain":1}]}}`)
	typo := `{"listen":"","spool":{"total_mb":4,"clas_mb":{}}}` //nolint:misspell // the typing mistake is the case
	badFile := writeTestFile(t, "bad.json", typo)
	requireCommands(t, []commandCase{
		{[]string{"check", "rest", "../../deploy/rest.json"}, ExitOK, ": valid"},
		{[]string{"check", "rest", "--help"}, ExitOK, "aniseloftctl check rest deploy/rest.json --config"},
		{[]string{"check", "rest", badFile}, ExitUsage, "bad.json: /spool: additional properties 'clas_mb' not allowed"},
		{[]string{"check", "rest", writeTestFile(t, "kinds.json", `{"engine_kinds":["gpu-8"]}`), "--config", config}, ExitUsage,
			`/engine_kinds/0: "gpu-8" is not an engine kind of the coordinator (settings.machineTypes); name one of [std-16]`},
		{[]string{"check", "rest", writeTestFile(t, "class.json", `{"spool":{"total_mb":4,"class_mb":{"trip-lookup":8}}}`)}, ExitUsage,
			"/spool/class_mb/trip-lookup: not above 0, or above total_mb"},
		{[]string{"check", "rest", writeTestFile(t, "store.json", `{"listen":"127.0.0.1:9","keep_seconds":9}`)}, ExitUsage, "/store: missing"},
		{[]string{"check", "log", writeTestFile(t, "log.json", `{"level":"debug","counters_every_ms":5000}`)}, ExitOK, ": valid"},
		{[]string{"check", "log", writeTestFile(t, "log.json", `{"level":"loud"}`)}, ExitUsage, "/level: value must be one of 'info', 'debug'"},
		{[]string{"check", "log", writeTestFile(t, "log.json", `{"counters_every_ms":5}`)}, ExitUsage, "/counters_every_ms"},
		{[]string{"check", "config", "../../example/config.json"}, ExitOK, ": valid"},
		{[]string{"check", "config", writeTestFile(t, "conf.json", `{"listen":"host:8443","admin":"host:8443","seed":"x","limits":{"memory_mb":8,"sockets":99},"settings":{"colour":1}}`)},
			ExitUsage, "conf.json: 12 problems"},
		{[]string{"check", "config", writeTestFile(t, "conf.json", `{"listen":"host:8443"}`)}, ExitUsage,
			"conf.json: listen: host:8443: must be an IP address and port, such as 127.0.0.1:8443"},
		{[]string{"check", "config", writeTestFile(t, "conf.json", `{`)}, ExitUsage, "configuration: unreadable"},
		{[]string{"check", "config", writeTestFile(t, "conf.json", `{"name":"n0",`+"\n"+`"limits":{"cores":"x"}}`)}, ExitUsage, "limits.cores: a string: a number is expected, at line 2, column 21"},
		{[]string{"check", "config", writeTestFile(t, "conf.json", `{"settings":{"lanes":5}}`)}, ExitUsage, "settings.lanes: number: an array is expected"},
		{[]string{"check", "config"}, ExitUsage, "arg(s)"},
		{[]string{"check", "rest", "/no/such.json"}, ExitUsage, "no such file"},
		{[]string{"check", "rest", badFile, "--config", "/no/such.json"}, ExitUsage, "clas_mb"}, //nolint:misspell // the typing mistake is the case
	})
	code, out, _ := runCommand("check", "rest", badFile, "--json")
	require.Equal(t, ExitUsage, code)
	var got struct {
		Faults []struct{ Pointer, Problem, Mend string }
	}
	require.NoError(t, json.Unmarshal([]byte(out), &got))
	require.Len(t, got.Faults, 1)
	require.Equal(t, "/spool", got.Faults[0].Pointer)
	require.Equal(t, typo, readTestFile(t, badFile), "the file is unchanged")
}

func TestFleetLogsPrintsSums(t *testing.T) {
	log := writeTestFile(t, "n0.log", "time=2026-12-01T10:00:01.100Z level=DEBUG msg=sent call=a class=0 attempt=0 engine=s-1 timeout_ms=900\n")
	code, out, _ := runCommand("fleet", "logs", log)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "1 coordinators, 1 lines, 0 skipped")
	require.Regexp(t, `sends +1 +1\.0 +1`, out)
	code, out, _ = runCommand("fleet", "logs", log, "--json")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, `"engine": "s-1"`)
	code, _, stderr := runCommand("fleet", "logs", t.TempDir())
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "holds no *.log")
}

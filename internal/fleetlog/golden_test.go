package fleetlog

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// testdata/*.log are excerpts of two coordinators' logs at commit d9ce9f6, written by a drill of 3 s:
// aniseloftctl drill run FILE --debug --out DIR. Most lines of each request are left out.
// testdata/report.golden was written at commit d9ce9f6 by go test ./internal/fleetlog -update.
func TestReportOfRecordedLogs(t *testing.T) {
	summary := New(15 * time.Second)
	for _, name := range []string{"n0", "n1"} {
		log, err := os.Open("testdata/" + name + ".log")
		require.NoError(t, err)
		require.NoError(t, summary.Read(name, log))
		require.NoError(t, log.Close())
	}
	golden.JSON(t, "testdata/report.golden", summary.Report())
}

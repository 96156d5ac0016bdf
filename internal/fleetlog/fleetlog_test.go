package fleetlog

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	n0 = `[0.24] time=2026-12-01T10:00:00.000Z level=DEBUG msg=listed engine=s-1 state=1 started_ms=1796119200000 zone=0
time=2026-12-01T10:00:01.100Z level=DEBUG msg=sent call=a class=0 attempt=0 engine=s-1 timeout_ms=900
time=2026-12-01T10:00:01.200Z level=DEBUG msg=sent call=b class=0 attempt=0 engine=s-1 timeout_ms=900
time=2026-12-01T10:00:01.300Z level=DEBUG msg=dialled engine=s-1 ms=1 err="connection refused"
time=2026-12-01T10:00:01.400Z level=DEBUG msg=ended call=a class=0 attempt=0 engine=s-1 outcome=served ms=300 work_ms=5 why=""
time=2026-12-01T10:00:01.400Z level=DEBUG msg=answered call=a class=0 kind=served attempts=1 why=""
time=2026-12-01T10:00:05.000Z level=DEBUG msg=listed engine=s-1 state=2 started_ms=0 zone=0
time=2026-12-01T10:00:05.800Z level=DEBUG msg=sent call=c class=0 attempt=0 engine=s-1 timeout_ms=900
counters class=lookup taken=3
`
	n1 = `time=2026-12-01T10:00:01.500Z level=DEBUG msg=sent call=d class=0 attempt=0 engine=s-1 timeout_ms=900
time=2026-12-01T10:00:01.600Z level=DEBUG msg=probed engine=s-1 outcome=served ms=1 inflight=2
time=2026-12-01T10:00:06.250Z level=DEBUG msg=listed engine=s-1 state=2 started_ms=0 zone=0
time=2026-12-01T10:00:07.000Z level=DEBUG msg=answered call=d class=0 kind=refused attempts=0 why=refused
time=not-a-time msg=sent engine=s-1
time=2026-12-01T10:00:07.000Z level=DEBUG msg="broken
`
)

func TestReportSumsLogsOfAllCoordinators(t *testing.T) {
	summary := New(15 * time.Second)
	require.NoError(t, summary.Read("n0", strings.NewReader(n0)))
	require.NoError(t, summary.Read("n1", strings.NewReader(n1)))
	report := summary.Report()
	require.Equal(t, 2, report.Coordinators)
	require.Equal(t, 3, report.SkippedLines, "the counters and two lines that cannot be parsed")
	require.Equal(t, []Rate{{EventAnswers, 2, 2.0 / 7, 1, 1796119201}, {EventAttempts, 4, 0.8, 3, 1796119201}, {EventDials, 1, 1, 1, 1796119201},
		{EventProbes, 1, 1, 1, 1796119201}}, report.Rates)
	require.Equal(t, map[string]int{"served": 1}, report.AttemptsEnded)
	require.Equal(t, map[string]int{"served": 1, "refused refused": 1}, report.Answers)
	require.Len(t, report.Endpoints, 1)
	e := report.Endpoints[0]
	require.Equal(t, []any{4, 1, 1, 1, 3.0}, []any{e.Attempts, e.Dials, e.DialsFailed, e.Probes, e.MaxWarmingAttempts}, "the sum of both coordinators in the busiest second of the warm-up")
	require.Equal(t, EndpointUpdate{"s-1", "2", 2, 1250, 1, 800}, report.Updates[0], "one attempt 800 ms after the update that the endpoint is draining")
	require.InDelta(t, 1.0, report.BusiestOverMean, 1e-9)
}

func TestReadRejectsTooLongLine(t *testing.T) {
	require.ErrorContains(t, New(0).Read("n0", strings.NewReader(strings.Repeat("x", 2<<20))), "log of n0")
}

// During an upgrade, coordinators of two versions log the same events with different messages and keys.
func TestReadAcceptsMessagesAndKeysOfEarlierVersions(t *testing.T) {
	toCurrentNames := strings.NewReplacer("msg=listed", `msg="endpoint listed"`, "msg=sent", `msg="attempt started"`,
		"msg=ended", `msg="attempt ended"`, "msg=answered", `msg="request answered"`, "msg=probed", `msg="endpoint probed"`, "msg=dialled", `msg="endpoint dialled"`,
		"engine=", "endpoint=", "why=", "reason=").Replace
	require.NotContains(t, toCurrentNames(n0+n1), "engine=")
	reportOf := func(log0, log1 string) *Report {
		summary := New(15 * time.Second)
		require.NoError(t, summary.Read("n0", strings.NewReader(log0)))
		require.NoError(t, summary.Read("n1", strings.NewReader(log1)))
		return summary.Report()
	}
	formerReport := reportOf(n0, n1)
	require.Equal(t, formerReport, reportOf(toCurrentNames(n0), n1), "two versions at a time")
	require.Equal(t, formerReport, reportOf(toCurrentNames(n0), toCurrentNames(n1)))
}

package engine

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// testdata/calls.golden was written at commit d9ce9f6 by go test ./internal/protocol/engine -update
func TestRequestsMatchGolden(t *testing.T) {
	const host = "127.0.0.1:9001"
	allFields := NewQuery(host, StartRequest{CallID: "9b1f03aa5c7e2d41", Class: "timetable-load", Statement: []byte("insert into sales_17.trips"),
		TimeoutMS: 1500, GrantMB: 64, Priority: 2, IdempotencyKey: "once-17"})
	fewFields := NewQuery(host, StartRequest{CallID: "9b1f03aa5c7e2d42", Class: "trip-lookup", Statement: []byte("select 1"), TimeoutMS: 900, Priority: -1})
	golden.Equal(t, "testdata/calls.golden", slices.Concat(allFields.EncodeStart(), fewFields.EncodeStart(), allFields.EncodeResume(), EncodeCancel(host, "9b1f03aa5c7e2d41"),
		EncodePriority(host, "9b1f03aa5c7e2d41", 3), EncodeProbe(host)))
}

func TestFeedParsesRecordedResponses(t *testing.T) {
	newQuery := func() *Query {
		return NewQuery("127.0.0.1:9001", StartRequest{CallID: "9b1f03aa5c7e2d41", Class: "trip-lookup", Statement: []byte("select 1"), TimeoutMS: 900})
	}
	q := newQuery()
	for headers, want := range map[string]*Progress{"so_far\r\nX-Num: 0.5": {ProgressRatio, 0.5}, "lacking\r\nX-Num: 120": {ProgressSpilled, 120}, "waiting\r\nX-Num: 2": {ProgressWaiting, 2}} {
		step, err := q.Feed([]byte("HTTP/1.1 202 Accepted\r\nOutcome: " + headers + "\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, err)
		require.Equal(t, want, step.Progress)
	}
	step, err := q.Feed([]byte("HTTP/1.1 200 OK\r\nX-Batches: 2\r\nX-Spent: 120.5\r\nX-Wanted: 64\r\n" +
		"Load-Report: inflight:7;util:0.61;x0:0.5;x1:0.25\r\nContent-Length: 6\r\n\r\n1\t2\t3\n"))
	require.NoError(t, err)
	require.Nil(t, step.Result)
	step, err = q.Feed([]byte("HTTP/1.1 200 OK\r\nX-Batch: 1\r\nContent-Length: 6\r\n\r\n4\t5\t6\n"))
	require.NoError(t, err)
	require.True(t, step.KeepConnection)
	require.Equal(t, &Result{Outcome: OutcomeSucceeded, Body: []byte("1\t2\t3\n4\t5\t6\n"), ActualWorkMS: 120.5, ActualMemoryMB: 64,
		LoadReport: "inflight:7;util:0.61;x0:0.5;x1:0.25"}, step.Result)
	load, invalid := ParseLoadReport(step.Result.LoadReport)
	require.False(t, invalid)
	require.Equal(t, map[string]float64{"inflight": 7, "util": 0.61, "x0": 0.5, "x1": 0.25}, load)
	for head, want := range map[string]Outcome{"503 Service Unavailable\r\nNever-Ran: 1": OutcomeOverloaded, "504 Gateway Timeout\r\nNever-Ran: 1": OutcomeExpired,
		"500 Internal Server Error": OutcomeFailed} {
		step, err := newQuery().Feed([]byte("HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, err)
		require.Equal(t, want, step.Result.Outcome, head)
	}
}

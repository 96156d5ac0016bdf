package rest

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
	"aniseloft/internal/protocol/httpmsg"
)

// testdata/requests.http holds requests of clients. The golden files were written at commit d9ce9f6 by
// go test ./internal/protocol/rest -update
func TestParseRecordedRequests(t *testing.T) {
	raw, err := os.ReadFile("testdata/requests.http")
	require.NoError(t, err)
	got, err := NewRequestParser().Feed(raw)
	require.NoError(t, err)
	require.Equal(t, []Request{
		SubmitRequest{User: "ana", Class: "trip-lookup", IdempotencyKey: "once-17", Host: "127.0.0.1:8080", Statement: []byte("select * from sales_17.orders"),
			TimeoutMS: 1500, EstimatedWorkMS: 120.5, EstimatedMemoryMB: 64},
		PageRequest{ID: "q-1", Slug: "s-1", Host: "127.0.0.1:8080", Token: 3},
		CancelRequest{ID: "q-1", Slug: "s-1"},
		InfoRequest{},
	}, got[:4])
	var refusals []byte
	for _, request := range got[4:] {
		refusals = append(refusals, request.(InvalidRequest).Response...)
	}
	golden.Equal(t, "testdata/refusals.golden", refusals)
}

func TestResponsesMatchGolden(t *testing.T) {
	const host = "127.0.0.1:8080"
	pages := ParsePages([]byte("1\tvienna\t17.5\n2\tgraz\t3\n"), 16)
	failedResults := func(e *QueryError) QueryResults {
		return QueryResults{ID: "q-1", InfoURI: "http://" + host + "/v1/info", Stats: Stats{State: "FAILED"}, Error: e}
	}
	golden.Equal(t, "testdata/answers.golden", slices.Concat(
		EncodeResults(200, QueryResults{ID: "q-1", InfoURI: "http://" + host + "/v1/info", NextURI: PageURI(host, "q-1", "s-1", 1),
			Stats: Stats{State: "QUEUED", Queued: true}}, 0),
		EncodeResults(200, QueryResults{ID: "q-1", InfoURI: "http://" + host + "/v1/info", NextURI: PageURI(host, "q-1", "s-1", 2),
			Columns: DescribeColumns(pages), Data: pages[0], Stats: Stats{State: "RUNNING"}}, 0),
		EncodeResults(200, failedResults(&ErrorRejected), 1200*time.Millisecond),
		EncodeResults(200, failedResults(&ErrorFailed), 0),
		EncodeResults(200, failedResults(&ErrorCanceled), 0),
		EncodeResults(200, failedResults(&ErrorExpired), 0),
		EncodeText(429, "refused"), EncodeText(409, "another statement under this key"), EncodeText(500, "no record"), EncodeText(418, "tea"),
		EncodeNoContent(), EncodeInfo(true), EncodeInfo(false),
	))
}

func TestUpstreamQueryMatchesGolden(t *testing.T) {
	q := NewUpstreamQuery("127.0.0.1:9001", StartRequest{CallID: "9b1f03aa5c7e2d41", Class: "trip-lookup", User: "ana", Statement: []byte("select 1"),
		IdempotencyKey: "once-17", Timeout: 1500 * time.Millisecond})
	withoutKey := NewUpstreamQuery("127.0.0.1:9001", StartRequest{CallID: "9b1f03aa5c7e2d42", Class: "trip-lookup", User: "ana", Statement: []byte("select 1")})
	out := slices.Concat(q.EncodeStart(), withoutKey.EncodeStart(), EncodeProbe("127.0.0.1:9001"))
	step, err := q.Feed(httpmsg.AppendResponse(nil, 200, "OK", nil, []byte(`{"id":"x","nextUri":"http://elsewhere/v1/statement/executing/x/s/1?a=b","data":[["1","vienna",17.5]],"stats":{"state":"RUNNING"}}`)))
	require.NoError(t, err)
	out = slices.Concat(out, step.Send, q.EncodeResume(), q.EncodeCancel())
	golden.Equal(t, "testdata/engine-calls.golden", out)
	step, err = q.Feed(httpmsg.AppendResponse(nil, 200, "OK", nil, []byte(`{"id":"x","data":[["2","graz",null]],"stats":{"state":"FINISHED","cpuTimeMillis":120,"peakMemoryBytes":67108864}}`)))
	require.NoError(t, err)
	require.Equal(t, Step{Result: &Result{Outcome: OutcomeSucceeded, Body: []byte("1\tvienna\t17.5\n2\tgraz\t\n"), ActualWorkMS: 120, ActualMemoryMB: 64}, KeepConnection: true}, step)
	for body, want := range map[string]Outcome{
		`{"id":"x","error":{"message":"m","errorCode":131074,"errorName":"QUERY_QUEUE_FULL","errorType":"INSUFFICIENT_RESOURCES"}}`: OutcomeOverloaded,
		`{"id":"x","error":{"message":"m","errorCode":65536,"errorName":"GENERIC_INTERNAL_ERROR","errorType":"INTERNAL_ERROR"}}`:    OutcomeFailed,
	} {
		step, err := NewUpstreamQuery("h", StartRequest{}).Feed(httpmsg.AppendResponse(nil, 200, "OK", nil, []byte(body)))
		require.NoError(t, err)
		require.Equal(t, want, step.Result.Outcome)
	}
}

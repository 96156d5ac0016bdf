package upstream

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/golden"
	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/transport/transporttest"
)

// The golden files of these tests hold every byte that the clients read and write. To rewrite them:
// go test ./internal/transport/upstream -run WireBytes -update

// Covers the calls to an engine of the platform's protocol: an attempt whose answer is lost and that is resumed, and the
// short calls (a probe, a change of priority and a cancellation).
func TestEngineClientWireBytes(t *testing.T) {
	emptyOK := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	addr, out := transporttest.TranscriptServer(t,
		"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", "", "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n",
		emptyOK, "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 418 No\r\nContent-Length: 0\r\n\r\n")
	client := newTestClient(addr)
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	a := attempt("00000000000000aa")
	a.GrantMB, a.Priority, a.IdempotencyKey = 12.5, 3, "k"
	res := client.Run(ctx, a)
	require.Equal(t, decide.OutcomeSucceeded, res.Outcome, res.Reason)
	outcome, _ := client.Probe(ctx)
	require.Equal(t, decide.OutcomeSucceeded, outcome)
	require.NoError(t, client.Prioritize(ctx, "00000000000000aa", 2))
	require.NoError(t, client.sendCancel(engine.EncodeCancel(client.addr, "00000000000000aa"), false, time.Now()))
	client.Close()
	golden.Equal(t, "testdata/engine-client.txt", []byte(out.String()))
}

// Covers the calls to an engine of the REST protocol: an attempt whose answer is lost and that is resumed, and a health check.
func TestRESTEngineClientWireBytes(t *testing.T) {
	answer := func(body string) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: (length)\r\n\r\n" + body
	}
	addr, out := transporttest.TranscriptServer(t,
		answer(`{"id":"q","nextUri":"http://(engine)/v1/statement/q/1","stats":{"state":"RUNNING"}}`), "",
		answer(`{"id":"q","columns":[{"name":"a","type":"varchar"},{"name":"b","type":"varchar"},{"name":"c","type":"varchar"}],"data":[["1","2","3"]],"stats":{"state":"FINISHED"}}`),
		answer(`{"starting":false}`))
	client := &restClient{engineClient: newTestClient(addr), user: "n0"}
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	a := attempt("00000000000000aa")
	a.Timeout, a.IdempotencyKey = time.Second, "k"
	res := client.Run(ctx, a)
	require.Equal(t, decide.OutcomeSucceeded, res.Outcome, res.Reason)
	outcome, _ := client.Probe(ctx)
	require.Equal(t, decide.OutcomeSucceeded, outcome)
	client.Close()
	golden.Equal(t, "testdata/rest-engine-client.txt", []byte(out.String()))
}

// Operators' programs parse the line of counters, so its format must not change.
func TestPoolCountersFormat(t *testing.T) {
	pool := NewPool(8, transporttest.WaitTimeout, transporttest.WaitTimeout, slog.New(slog.DiscardHandler))
	require.Equal(t, "counters engine_connections open=0 limit=8 dialled=0 reused=0 stolen=0 expired=0 stale=0 spent=0 resumed=0 odd_reports=0 odd_notes=0\n",
		pool.String())
}

package upstream

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/transporttest"
)

// Guards against serving a client with another client's rows: the engine sends a 202 twice, so the second 202 is taken for the
// answer to a poll and the poll is repeated; the answer to that repeated poll arrives when the next query uses the connection.
func TestAnswerToRepeatedPollIsNotTheNextQueryResult(t *testing.T) {
	addr := stallingEngine(t, func(call string, answer func(string), awaitCall func()) {
		if call == "first" {
			accepted := "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
			answer(accepted)
			awaitCall()
			answer(accepted) // the duplicate
			awaitCall()
		}
		answer(pagesAnswer(call + "\tb\tc\n"))
	})
	client := newTestClient(addr)
	first, second := runFirstAndSecond(t, client.Run, client.conns)
	require.Equal(t, "first\tb\tc\n", string(first.Body))
	require.Equal(t, "second\tb\tc\n", string(second.Body))
}

// Guards against a load that runs at two engines: as above, and the late answer says that the earlier query never ran, which was
// read as that the load never ran.
func TestAnswerToRepeatedPollDoesNotRejectTheNextRESTQuery(t *testing.T) {
	addr := stallingEngine(t, func(call string, answer func(string), awaitCall func()) {
		if call == "first" {
			queued := restAnswer(`{"id":"q-first","nextUri":"http://e/v1/statement/queued/q-first/1","stats":{"state":"QUEUED"}}`)
			answer(queued)
			awaitCall()
			answer(queued) // the duplicate
			awaitCall()
			answer(restAnswer(`{"id":"q-first","error":{"message":"m","errorName":"QUERY_QUEUE_FULL"},"stats":{"state":"FAILED"}}`))
			return
		}
		answer(restAnswer(`{"id":"q-second","data":[["second","b","c"]],"stats":{"state":"FINISHED"}}`))
	})
	client := &restClient{engineClient: newTestClient(addr)}
	first, second := runFirstAndSecond(t, client.Run, client.conns)
	require.Equal(t, decide.OutcomeOverloaded, first.Outcome)
	require.Equal(t, decide.OutcomeSucceeded, second.Outcome)
	require.Equal(t, "second\tb\tc\n", string(second.Body))
}

// Guards against a duplicate of the end of a query that comes after the time for which a connection rests, as engines may stall
// before they send it: it was taken for the end of the next query.
func TestDuplicateOfEndAfterRestIsNotTheNextQueryResult(t *testing.T) {
	for name, firstEnd := range map[string]string{
		"rows":       pagesAnswer("first\tb\tc\n"),
		"overloaded": "HTTP/1.1 503 Service Unavailable\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n",
		"expired":    "HTTP/1.1 504 Gateway Timeout\r\nNever-Ran: 1\r\nContent-Length: 0\r\n\r\n",
		"failed":     "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
	} {
		addr := stallingEngine(t, func(call string, answer func(string), _ func()) {
			if call == "first" {
				answer(firstEnd)
				return
			}
			answer(pagesAnswer(call + "\tb\tc\n"))
		})
		client := newTestClient(addr)
		_, second := runFirstAndSecond(t, client.Run, client.conns)
		require.Equal(t, decide.OutcomeSucceeded, second.Outcome, name)
		require.Equal(t, "second\tb\tc\n", string(second.Body), name)
	}
}

// The same for engines of the paged REST protocol.
func TestDuplicateOfEndAfterRestIsNotTheNextRESTQueryResult(t *testing.T) {
	for name, firstEnd := range map[string]string{
		"rows":       restAnswer(`{"id":"q-first","data":[["first","b","c"]],"stats":{"state":"FINISHED"}}`),
		"overloaded": restAnswer(`{"id":"q-first","error":{"message":"m","errorName":"QUERY_QUEUE_FULL"},"stats":{"state":"FAILED"}}`),
		"refused":    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
	} {
		addr := stallingEngine(t, func(call string, answer func(string), _ func()) {
			if call == "first" {
				answer(firstEnd)
				return
			}
			answer(restAnswer(`{"id":"q-second","data":[["second","b","c"]],"stats":{"state":"FINISHED"}}`))
		})
		client := &restClient{engineClient: newTestClient(addr)}
		_, second := runFirstAndSecond(t, client.Run, client.conns)
		require.Equal(t, decide.OutcomeSucceeded, second.Outcome, name)
		require.Equal(t, "second\tb\tc\n", string(second.Body), name)
	}
}

// Where an endpoint answers from its record of an earlier query under the same key, that is no duplicate.
func TestRESTQueryUnderRepeatedKeyIsAnsweredFromTheRecord(t *testing.T) {
	body := `{"id":"q-1","data":[["a","b","c"]],"stats":{"state":"FINISHED"}}`
	client := &restClient{engineClient: fakeEngine(t, func(_ string, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })}
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	for _, call := range []string{"1", "2"} {
		a := attempt(call)
		a.IdempotencyKey = "k"
		require.Equal(t, decide.OutcomeSucceeded, client.Run(ctx, a).Outcome)
		ageIdleConns(client.conns)
	}
}

// Guards against a cancellation that counts as done before the engine has read it, so that the next attempt of the call may
// start before: a late duplicate of an earlier query's result was taken for its answer.
func TestDuplicateOfResultIsNotTheAnswerToACancellation(t *testing.T) {
	addr := stallingEngine(t, func(call string, answer func(string), _ func()) {
		if call == "first" {
			answer(pagesAnswer("first\tb\tc\n"))
			return
		}
		answer("HTTP/1.1 204 No Content\r\n\r\n")
	})
	client := newTestClient(addr)
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	require.Equal(t, decide.OutcomeSucceeded, client.Run(ctx, attempt("first")).Outcome)
	ageIdleConns(client.conns)
	status, _, err := client.makeShortCall(ctx, newChange(engine.EncodeCancel(addr, "second")))
	require.NoError(t, err)
	require.Equal(t, statusNoContent, status)
}

// pagesAnswer returns the answer with the only page of a result.
func pagesAnswer(rows string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: %d\r\n\r\n%s", len(rows), rows)
}

func restAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A connection is reused after a query that was polled once the engine has answered the call that follows the query, and is
// dropped while it has not.
func TestPolledConnectionIsReusedOnceSynchronized(t *testing.T) {
	for _, answersSyncCall := range []bool{true, false} {
		ended := make(chan struct{})
		client := fakeEngine(t, func(method string, w http.ResponseWriter, _ *http.Request) {
			switch method {
			case "POST":
				w.WriteHeader(http.StatusAccepted)
			case "PUT":
				if !answersSyncCall {
					<-ended
				}
				w.WriteHeader(http.StatusNoContent)
			default:
				w.Header().Set("X-Batches", "1")
				_, _ = io.WriteString(w, "a\tb\tc\n")
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
		defer cancel()
		require.Equal(t, decide.OutcomeSucceeded, client.Run(ctx, attempt("first")).Outcome)
		if answersSyncCall {
			require.Eventually(t, func() bool { return netconn.HasUnread(client.conns.idleConns[0].Raw()) }, transporttest.WaitTimeout, time.Millisecond)
		}
		ageIdleConns(client.conns)
		require.Equal(t, decide.OutcomeSucceeded, client.Run(ctx, attempt("second")).Outcome)
		counts := &client.conns.pool.counts
		require.Equal(t, answersSyncCall, counts.reused.Load() == 1)
		require.Equal(t, !answersSyncCall, counts.stale.Load() == 1)
		close(ended)
	}
}

// newTestClient returns a client of the endpoint at addr, with a pool of its own.
func newTestClient(addr string) *engineClient {
	pool := NewPool(8, transporttest.WaitTimeout, transporttest.WaitTimeout, slog.New(slog.DiscardHandler))
	return &engineClient{addr: addr, conns: pool.endpoint("a", addr)}
}

// runFirstAndSecond runs the query "first" and then, on the connection that it left if that is kept, the query "second".
func runFirstAndSecond(t *testing.T, run func(context.Context, routing.AttemptSpec) routing.Result, conns *endpointPool) (first, second routing.Result) {
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	first = run(ctx, attempt("first"))
	ageIdleConns(conns)
	return first, run(ctx, attempt("second"))
}

// ageIdleConns makes idle connections look as if they had been idle for long enough to be reused.
func ageIdleConns(e *endpointPool) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	for _, c := range e.idleConns {
		c.idleSince = time.Now().Add(-2 * minIdleTime)
	}
}

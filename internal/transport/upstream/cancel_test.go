package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/transporttest"
)

// fakeEngine starts an engine of the platform's protocol on a loopback socket and returns a client of it. handle handles each
// call by its HTTP method.
func fakeEngine(t *testing.T, handle func(method string, w http.ResponseWriter, r *http.Request)) *engineClient {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handle(r.Method, w, r)
	}))
	t.Cleanup(srv.Close)
	return newTestClient(srv.Listener.Addr().String())
}

// attempt returns a minimal attempt of a call.
func attempt(call string) routing.AttemptSpec {
	return routing.AttemptSpec{CallID: call, Class: "look", Statement: []byte("x"), Priority: -1, StillReady: func() bool { return true },
		OnProgress: func(decide.ProgressKind, float64) {}}
}

// Guards against a cancellation that ends a later attempt: an attempt was cancelled while the next one of the same call was
// dialling the same engine, and the engine read the cancellation after the next attempt had started.
func TestAttemptDoesNotOvertakePendingCancellation(t *testing.T) {
	var postCount atomic.Int64
	secondAttemptArrived, cancellationArrived := make(chan struct{}), make(chan struct{})
	client := fakeEngine(t, func(method string, w http.ResponseWriter, r *http.Request) {
		switch {
		case method == "DELETE":
			close(cancellationArrived)
			select { // unanswered until the coordinator gives up, or the next attempt has arrived
			case <-secondAttemptArrived:
			case <-r.Context().Done():
			}
		case method == "POST" && postCount.Add(1) == 2:
			close(secondAttemptArrived)
			fallthrough
		default: // an invalid answer, by which the attempt is lost
			w.WriteHeader(418)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	require.Equal(t, decide.OutcomeAnswerLost, client.Run(ctx, attempt("1")).Outcome)
	transporttest.Receive(t, cancellationArrived)
	secondResult := client.Run(ctx, attempt("1"))
	require.Equal(t, decide.OutcomeNotSent, secondResult.Outcome, "the cancellation was never answered")
	require.Equal(t, int64(1), postCount.Load())
	otherCallResult := client.Run(ctx, attempt("2"))
	require.Equal(t, decide.OutcomeAnswerLost, otherCallResult.Outcome, "cancellations of other calls have no effect")
	require.Equal(t, int64(2), postCount.Load())
}

// Guards against a panic: where an engine reports progress and closes the connection, and the attempt is cancelled before the
// next call, there is neither a result nor an error.
func TestAttemptCancelledBetweenConnectionsEndsAsCancelled(t *testing.T) {
	client := fakeEngine(t, func(method string, w http.ResponseWriter, _ *http.Request) {
		if method == "POST" {
			w.Header().Set("Outcome", "so_far")
			w.Header().Set("X-Num", "0.5")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusAccepted)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	a := attempt("1")
	a.OnProgress = func(decide.ProgressKind, float64) { cancel() }
	require.Equal(t, decide.OutcomeCancelled, client.Run(ctx, a).Outcome)
}

// Once the cancellation is answered the next attempt starts, also where another engine has got the address.
func TestAttemptFollowsAnsweredCancellation(t *testing.T) {
	cancellationArrived, answerCancellation := make(chan struct{}), make(chan struct{})
	var handledMethods []string // needs no lock: the handlers run one after the other
	client := fakeEngine(t, func(method string, w http.ResponseWriter, _ *http.Request) {
		switch {
		case method == "DELETE":
			close(cancellationArrived)
			<-answerCancellation
			handledMethods = append(handledMethods, method)
			w.WriteHeader(204)
		case method == "POST" && len(handledMethods) > 0:
			handledMethods = append(handledMethods, method)
			w.Header().Set("X-Batches", "1")
			_, _ = io.WriteString(w, "a\tb\tc\n")
		default:
			w.WriteHeader(418)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	require.Equal(t, decide.OutcomeAnswerLost, client.Run(ctx, attempt("1")).Outcome)
	transporttest.Receive(t, cancellationArrived)
	otherEndpoint := &engineClient{addr: client.addr, conns: client.conns.pool.endpoint("b", client.addr)}
	result := make(chan routing.Result, 1)
	go func() { result <- otherEndpoint.Run(ctx, attempt("1")) }()
	close(answerCancellation)
	require.Equal(t, decide.OutcomeSucceeded, transporttest.Receive(t, result).Outcome)
	require.Equal(t, []string{"DELETE", "POST"}, handledMethods)
}

// Guards against two concurrent attempts of a request that must not have them: the end of an attempt was reported while its
// engine still ran it, as the cancellation was lost or its connection was established too late, and the next attempt started.
func TestExclusiveAttemptEndsOnceCancelled(t *testing.T) {
	for caseName, wantOutcome := range map[string]decide.Outcome{"cancelled": decide.OutcomeCancelled, "lost": decide.OutcomeAnswerLost} {
		var deleteCount atomic.Int64
		var cancelAnswered atomic.Bool
		ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
		defer cancel()
		client := fakeEngine(t, func(method string, w http.ResponseWriter, _ *http.Request) {
			switch {
			case method == "DELETE" && deleteCount.Add(1) <= 3: // reset without an answer; the client tries each call twice
				c, _, err := w.(http.Hijacker).Hijack()
				require.NoError(t, err)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			case method == "DELETE":
				cancelAnswered.Store(true)
				w.WriteHeader(204)
			case caseName == "cancelled":
				cancel()
				w.WriteHeader(202)
			default:
				w.WriteHeader(418)
			}
		})
		a := attempt("1")
		a.Exclusive = true
		require.Equal(t, wantOutcome, client.Run(ctx, a).Outcome, caseName)
		require.True(t, cancelAnswered.Load(), caseName)
	}
}

// An engine that does not answer a cancellation ends the query itself, after the protocol's time limit for queries that are not
// polled.
func TestExclusiveAttemptEndsAfterOrphanTimeout(t *testing.T) {
	var lastCallNS atomic.Int64 // Unix time in ns
	client := fakeEngine(t, func(method string, w http.ResponseWriter, r *http.Request) {
		if method == "DELETE" {
			<-r.Context().Done()
			return
		}
		lastCallNS.Store(time.Now().UnixNano())
		w.WriteHeader(418)
	})
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	a := attempt("1")
	a.Exclusive = true
	require.Equal(t, decide.OutcomeAnswerLost, client.Run(ctx, a).Outcome)
	require.GreaterOrEqual(t, time.Since(time.Unix(0, lastCallNS.Load())), 2*time.Second)
	a.Exclusive = false
	began := time.Now()
	require.Equal(t, decide.OutcomeNotSent, client.Run(ctx, a).Outcome, "the engine may still read the cancellation")
	require.Less(t, time.Since(began), 2*time.Second)
}

// Guards against two concurrent attempts of a request that must not have them: where the first answer of a REST engine is
// lost, the query can't be cancelled, as no URI for that is known, and it may run until its timeout.
func TestExclusiveAttemptWithoutCancelURIEndsAtDeadline(t *testing.T) {
	for _, exclusive := range []bool{true, false} {
		client := fakeEngine(t, func(method string, w http.ResponseWriter, _ *http.Request) {
			if method == "POST" { // the query has started, and the answer is lost
				c, _, err := w.(http.Hijacker).Hijack()
				require.NoError(t, err)
				_ = c.Close()
			}
		})
		rest := &restClient{engineClient: client, user: "n0"}
		ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
		if exclusive {
			ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
		}
		a := attempt("1")
		a.Exclusive, a.Timeout = exclusive, time.Second
		res := rest.Run(ctx, a)
		require.Contains(t, []decide.Outcome{decide.OutcomeAnswerLost, decide.OutcomeTimeout}, res.Outcome, res.Reason)
		deadline, _ := ctx.Deadline()
		require.Equal(t, exclusive, !time.Now().Before(deadline), "an exclusive attempt must end at its deadline, any other before it")
		cancel()
	}
}

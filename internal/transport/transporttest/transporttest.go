// Package transporttest has helpers for the tests of the transport packages: a dispatcher with an endpoint that
// the test controls, connections over loopback, and transcripts of wire bytes. Only tests import it.
package transporttest

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/memory"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/netconn"
)

// WaitTimeout is the timeout of each wait for an event that must happen. No result depends on how soon it happens.
const WaitTimeout = 20 * time.Second

// Receive returns the next value of a channel, and fails the test if none arrives within WaitTimeout.
func Receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(WaitTimeout):
		require.FailNow(t, "no value was received in time")
	}
	return v
}

// Endpoint is an endpoint whose attempts run until the test ends them.
type Endpoint struct {
	// Runs receives a channel for each attempt. The test sends the attempt's result to that channel.
	Runs chan chan routing.Result
}

// Run starts an attempt and waits until the test sends its result or ctx ends.
func (e *Endpoint) Run(ctx context.Context, _ routing.AttemptSpec) routing.Result {
	result := make(chan routing.Result, 1)
	e.Runs <- result
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return routing.Result{Outcome: decide.OutcomeCancelled}
	}
}

// Prioritize does nothing.
func (e *Endpoint) Prioritize(context.Context, string, int) error { return nil }

// Probe succeeds.
func (e *Endpoint) Probe(context.Context) (decide.Outcome, *decide.LoadReport) {
	return decide.OutcomeSucceeded, nil
}

// Connections returns 0 for both numbers.
func (e *Endpoint) Connections() (busy, idle int) { return 0, 0 }

// Close does nothing.
func (e *Endpoint) Close() {}

// Upstream returns the endpoint itself for any listed endpoint.
func (e *Endpoint) Upstream(routing.Endpoint) routing.Upstream { return e }

// Succeeded is the result of a successful attempt, with one row.
var Succeeded = routing.Result{Outcome: decide.OutcomeSucceeded, Body: []byte("a\tb\tc\n")}

// Dispatcher starts a dispatcher with one class, look, and stops it when the test ends. Its endpoint list has the
// returned endpoint if listed is true, and is empty otherwise.
func Dispatcher(t *testing.T, listed bool) (*routing.Dispatcher, *Endpoint) {
	e := &Endpoint{Runs: make(chan chan routing.Result, 64)}
	d, err := routing.NewDispatcher(decide.Settings{Balancers: 1, TickInterval: 5, MaxAttempts: 1, CancellationEnabled: true, Kinds: []decide.EndpointKind{{Cores: 16}},
		Classes: []decide.Class{{Name: "look", LatencyObjective: 8000, Deadline: 10000, Threads: 1, PriorityWeight: 1}}}, 1, e, slog.New(slog.DiscardHandler), memory.NewBudget(1<<20, 4))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); d.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	if listed {
		d.UpdateEndpoints(decide.UpdateSnapshot, []routing.Endpoint{{Name: "a", Address: "127.0.0.1:1", EndpointInfo: decide.EndpointInfo{ID: 1, State: decide.EndpointReady}}})
	}
	return d, e
}

// ConnPair returns the two ends of a connection over loopback.
func ConnPair(t *testing.T) (client, server *net.TCPConn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	s, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(); _ = s.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(WaitTimeout)))
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// Write writes text to c, and fails the test if it can't.
func Write(t *testing.T, c io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// WaitUnread waits until a connection has unread bytes.
func WaitUnread(t *testing.T, c net.Conn) {
	t.Helper()
	require.Eventually(t, func() bool { return netconn.HasUnread(c) }, WaitTimeout, 100*time.Microsecond)
}

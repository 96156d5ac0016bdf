package program

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/drain"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/clients"
	"aniseloft/internal/transport/listener"
)

// patience bounds every wait for something that must come; no result depends on how soon.
const patience = 20 * time.Second

// After SIGTERM, with no request open, the program waits for a client that is writing one, but no longer than until
// every open request would have been answered.
func TestShutdownWaitsForAClientThatIsWriting(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	dispatcher, err := routing.NewDispatcher(decide.Settings{Balancers: 1, TickInterval: 5, MaxAttempts: 1, Kinds: []decide.EndpointKind{{Cores: 16}},
		Classes: []decide.Class{{Name: "look", LatencyObjective: 8000, Deadline: 10000, Threads: 1, PriorityWeight: 1}}}, 1, nil, log, 1<<20)
	require.NoError(t, err)
	p := &Program{dispatcher: dispatcher, log: log}
	server := &clients.JSONRPCServer{Dispatcher: dispatcher, Log: log, Drain: clients.DrainPolicy{Ready: p.ready, Draining: p.drain.draining},
		InputBudget: listener.NewBudget(1 << 20), OutputBudget: listener.NewBudget(1 << 20)}
	p.clients, err = listener.Listen("127.0.0.1:0", 4, log, server.Serve)
	require.NoError(t, err)
	go p.clients.Run()
	t.Cleanup(func() { p.clients.Close(time.Now()) })
	p.enter(Draining)
	require.False(t, p.drained(), "clients still connect")
	p.phaseEntered = time.Now().Add(-minDrain)
	require.True(t, p.drained())

	c, err := net.Dial("tcp4", p.clients.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	write := func() {
		require.Eventually(t, func() bool { // a client that pauses counts as one that stopped until its next byte
			_, err := io.WriteString(c, " ")
			require.NoError(t, err)
			return !p.quiet()
		}, patience, time.Millisecond)
	}
	write()
	p.phaseEntered = time.Now().Add(-drain.MaxAnswerAllAfter)
	require.True(t, p.drained(), "the wait is bounded")
	p.phaseEntered = time.Now().Add(-minDrain)
	write()
	_, err = io.WriteString(c, `{"jsonrpc":"2.0","id":1,"method":"alive"}`+"\n")
	require.NoError(t, err)
	require.Eventually(t, p.drained, patience, time.Millisecond, "its message is complete")
}

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
	"aniseloft/internal/memory"
	"aniseloft/internal/protocol/jsonrpc"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/clients"
	"aniseloft/internal/transport/listener"
)

// waitTimeout limits every wait for an expected event. No test result depends on how soon the event occurs.
const waitTimeout = 20 * time.Second

// After SIGTERM, with no open request, the program must wait for a client that is sending a request, but not after the
// time by which every open request must have been answered.
func TestShutdownWaitsForClientSendingRequest(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	dispatcher, err := routing.NewDispatcher(decide.Settings{Balancers: 1, TickInterval: 5, MaxAttempts: 1, Kinds: []decide.EndpointKind{{Cores: 16}},
		Classes: []decide.Class{{Name: "look", LatencyObjective: 8000, Deadline: 10000, Threads: 1, PriorityWeight: 1}}}, 1, nil, log, memory.NewBudget(1<<20, 4))
	require.NoError(t, err)
	p := &Program{dispatcher: dispatcher, log: log}
	jsonRPCServer := &clients.JSONRPCServer{Dispatcher: dispatcher, Log: log, Drain: clients.DrainPolicy{Ready: p.ready, Draining: p.drain.draining},
		Input: clients.NewInputMemory(1<<20, 4, jsonrpc.MaxLineBytes), Output: clients.NewOutputMemory(1<<20, 4)}
	p.clientListener, err = listener.Listen("127.0.0.1:0", 4, log, jsonRPCServer.Serve)
	require.NoError(t, err)
	go p.clientListener.Run()
	t.Cleanup(func() { p.clientListener.Close(time.Now()) })
	p.enter(Draining)
	require.False(t, p.drained(), "clients may still connect")
	p.phaseEnteredAt = time.Now().Add(-minDrainDuration)
	require.True(t, p.drained())

	conn, err := net.Dial("tcp4", p.clientListener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	writePartially := func() {
		require.Eventually(t, func() bool { // a client that pauses is not seen as sending until its next byte
			_, err := io.WriteString(conn, " ")
			require.NoError(t, err)
			return !p.noNewRequests()
		}, waitTimeout, time.Millisecond)
	}
	writePartially()
	p.phaseEnteredAt = time.Now().Add(-drain.MaxAnswerAllAfter)
	require.True(t, p.drained(), "the wait is bounded")
	p.phaseEnteredAt = time.Now().Add(-minDrainDuration)
	writePartially()
	_, err = io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"alive"}`+"\n")
	require.NoError(t, err)
	require.Eventually(t, p.drained, waitTimeout, time.Millisecond, "the message is complete")
}

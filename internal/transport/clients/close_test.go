package clients

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/transporttest"
)

// hookedConn is a connection that calls a function just before it is closed, so that bytes can arrive after the server's
// last check for them.
type hookedConn struct {
	*net.TCPConn
	beforeClose func()
}

func (c *hookedConn) CloseWrite() error { c.beforeClose(); return c.TCPConn.CloseWrite() }

func (c *hookedConn) Close() error { c.beforeClose(); return c.TCPConn.Close() }

// serverCase is a kind of server, a message for it, and a part of its answer to that message.
type serverCase struct {
	name    string
	serve   func(draining func() bool) func(context.Context, *listener.Conn)
	message string
	answer  string
}

func bothServers(t *testing.T) []serverCase {
	return []serverCase{
		{"jsonrpc", func(draining func() bool) func(context.Context, *listener.Conn) {
			srv, _ := jsonrpcServer(t, false)
			srv.Drain.Draining = draining
			return srv.Serve
		}, `{"jsonrpc":"2.0","id":1,"method":"alive"}` + "\n", `"pass":true`},
		{"rest", func(draining func() bool) func(context.Context, *listener.Conn) {
			srv := restServer(t, NewInputMemory(1<<20, 4, rest.MaxRequestBytes))
			srv.Drain.Draining = draining
			return srv.Serve
		}, "GET /v1/info HTTP/1.1\r\nHost: a\r\n\r\n", `"starting":false`},
	}
}

// Guards against closing a connection with an unread request, which resets it: the second request arrives on an idle
// connection at the moment when the reader checks for a drain.
func TestRequestBeforeDrainCheckIsAnswered(t *testing.T) {
	for _, tc := range bothServers(t) {
		client, server := transporttest.ConnPair(t)
		var checks atomic.Int64
		l := newListener(t, 4, tc.serve(func() bool {
			switch checks.Add(1) {
			case 1: // before the first message
				return false
			case 2: // after the first message
				transporttest.Write(t, client, tc.message)
				transporttest.WaitUnread(t, server)
			}
			return true
		}))
		l.ServeConn(server)
		transporttest.Write(t, client, tc.message)
		all, err := io.ReadAll(client)
		require.NoError(t, err, tc.name)
		require.Equal(t, 2, strings.Count(string(all), tc.answer), "%s: %s", tc.name, all)
	}
}

// A request that arrives after the server's last check, while it closes the connection, is not handled. Its client must see
// an orderly close, after which it sends the request again, and no reset, which may lose earlier answers.
func TestRequestArrivingDuringCloseCausesNoReset(t *testing.T) {
	for _, tc := range bothServers(t) {
		client, server := transporttest.ConnPair(t)
		var checks, closes atomic.Int64
		c := &hookedConn{server, func() {
			if closes.Add(1) == 1 {
				transporttest.Write(t, client, tc.message)
				transporttest.WaitUnread(t, server)
			}
		}}
		l := newListener(t, 4, tc.serve(func() bool { return checks.Add(1) > 1 }))
		l.ServeConn(c)
		transporttest.Write(t, client, tc.message)
		r := bufio.NewReader(client)
		all, err := io.ReadAll(r)
		require.NoError(t, err, tc.name)
		require.Equal(t, 1, strings.Count(string(all), tc.answer), "%s: the second request must not be handled: %s", tc.name, all)
		require.Positive(t, closes.Load())
	}
}

// Guards against a Close that ends connections with open requests: a request that had just been read was forwarded, and its
// answer could not be delivered.
func TestCloseWaitsForOpenRequests(t *testing.T) {
	srv, endpoint := jsonrpcServer(t, true)
	served := make(chan context.Context, 1)
	l := newListener(t, 4, func(ctx context.Context, c *listener.Conn) { served <- ctx; srv.Serve(ctx, c) })
	client, server := transporttest.ConnPair(t)
	l.ServeConn(server)
	transporttest.Write(t, client, lookRequest(1))
	end := transporttest.Receive(t, endpoint.Runs)
	closed := make(chan struct{})
	go func() { defer close(closed); l.Close(time.Now().Add(transporttest.WaitTimeout)) }()
	<-transporttest.Receive(t, served).Done()
	transporttest.Write(t, client, lookRequest(2)) // the client can't know of the shutdown yet
	second := transporttest.Receive(t, endpoint.Runs)
	end <- transporttest.Succeeded
	second <- transporttest.Succeeded
	all, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(all), `"result"`), string(all))
	transporttest.Receive(t, closed)
}

// Close disconnects clients with open requests at its deadline, so that it always ends.
func TestCloseCutsOffAtDeadline(t *testing.T) {
	srv, endpoint := jsonrpcServer(t, true)
	l := newListener(t, 4, srv.Serve)
	client, server := transporttest.ConnPair(t)
	l.ServeConn(server)
	transporttest.Write(t, client, lookRequest(1))
	transporttest.Receive(t, endpoint.Runs)
	l.Close(time.Now())
	_, err := io.ReadAll(client)
	require.False(t, netconn.IsTimeout(err))
	srv.Dispatcher.DescribeEndpoints()
	require.Zero(t, srv.Dispatcher.OpenRequests())
}

// Guards against a reset of connections in the backlog: a listener that stopped accepting while it was at its connection
// limit did not accept them when a connection ended, though they were established.
func TestBacklogIsServedAfterStopAtConnectionLimit(t *testing.T) {
	srv, endpoint := jsonrpcServer(t, true)
	l, err := listener.Listen("127.0.0.1:0", 1, slog.New(slog.DiscardHandler), srv.Serve)
	require.NoError(t, err)
	dial := func(id int) net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(transporttest.WaitTimeout)))
		transporttest.Write(t, c, lookRequest(id))
		return c
	}
	clients := []net.Conn{dial(1), dial(2), dial(3)}
	go l.Run()
	end := transporttest.Receive(t, endpoint.Runs)
	l.StopAccepting()
	for began := time.Now(); time.Since(began) < 2*listener.BacklogWait; { // BacklogWait has passed, and the first request still runs
		time.Sleep(time.Millisecond)
	}
	closed := make(chan struct{})
	go func() { defer close(closed); l.Close(time.Now().Add(transporttest.WaitTimeout)) }()
	for i, c := range clients {
		end <- transporttest.Succeeded
		line, err := bufio.NewReader(c).ReadString('\n')
		require.NoError(t, err, i)
		require.Contains(t, line, `"result"`)
		require.NoError(t, c.Close())
		if i+1 < len(clients) {
			end = transporttest.Receive(t, endpoint.Runs)
		}
	}
	transporttest.Receive(t, closed)
}

// ReceivingMessage reports a client that is sending a request, so that a shutdown waits for the request, but not a
// client that stopped in the middle of a request.
func TestClientSendingMessageIsReported(t *testing.T) {
	srv, _ := jsonrpcServer(t, false)
	l := newListener(t, 4, srv.Serve)
	client, server := transporttest.ConnPair(t)
	l.ServeConn(server)
	require.False(t, l.ReceivingMessage())
	message := `{"jsonrpc":"2.0","id":1,"method":"alive"}` + "\n"
	require.Eventually(t, func() bool { // if the machine stalls, the client counts as stopped until it sends another byte
		transporttest.Write(t, client, " ")
		return l.ReceivingMessage()
	}, transporttest.WaitTimeout, time.Millisecond)
	transporttest.Write(t, client, message)
	_, err := bufio.NewReader(client).ReadString('\n')
	require.NoError(t, err)
	require.False(t, l.ReceivingMessage(), "the message is complete")
	transporttest.Write(t, client, message[:10])
	require.Eventually(t, func() bool { return !l.ReceivingMessage() }, transporttest.WaitTimeout, time.Millisecond)
}

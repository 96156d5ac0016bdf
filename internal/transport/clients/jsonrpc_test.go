package clients

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/protocol/jsonrpc"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/transporttest"
)

// jsonrpcServer returns a JSON-RPC server with a dispatcher and its fake endpoint. The dispatcher's endpoint list is empty
// unless listed is true.
func jsonrpcServer(t *testing.T, listed bool) (*JSONRPCServer, *transporttest.Endpoint) {
	d, e := transporttest.Dispatcher(t, listed)
	return &JSONRPCServer{Dispatcher: d, Drain: DrainPolicy{Ready: func() bool { return true }},
		Input: NewInputMemory(4<<20, 4, jsonrpc.MaxLineBytes), Output: NewOutputMemory(4<<20, 4), Log: slog.New(slog.DiscardHandler)}, e
}

// restServer returns a REST server with a dispatcher and without a record, for requests that need none.
func restServer(t *testing.T, input *InputMemory) *RESTServer {
	base, _ := jsonrpcServer(t, false)
	return &RESTServer{Dispatcher: base.Dispatcher, Drain: base.Drain, Input: input, Log: base.Log}
}

// newListener returns a listener for connections that the test passes to ServeConn; no test connects to its own address.
func newListener(t *testing.T, limit int, serve func(context.Context, *listener.Conn)) *listener.Listener {
	l, err := listener.Listen("127.0.0.1:0", limit, slog.New(slog.DiscardHandler), serve)
	require.NoError(t, err)
	go l.Run()
	t.Cleanup(func() { l.Close(time.Now()) })
	return l
}

var lastCallID atomic.Int64

// lookRequest returns a request of class look with a call id of its own.
func lookRequest(id int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look","params":{"call":"%016x","ttl":9000,"work":5,"ram":0,"doc":%q}}`+"\n",
		id, lastCallID.Add(1), base64.StdEncoding.EncodeToString([]byte("x")))
}

// cancelFirst cancels the request with id 1.
const cancelFirst = `{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":1}}` + "\n"

// floodLine is an invalid message. floodLines of them are 64 KB, which fit into the kernel's socket buffers.
var floodLine = strings.Repeat("x", 99) + "\n"

const floodLines = 650

// Guards against noticing a disconnect only after handling all invalid messages that the client sent before it, at 2 KB per
// 20 ms: a waiting request of the client could be sent seconds after it had left.
func TestDisconnectIsNoticedBehindFlood(t *testing.T) {
	srv, _ := jsonrpcServer(t, false)
	l := newListener(t, 4, srv.Serve)
	client, server := transporttest.ConnPair(t)
	transporttest.Write(t, client, lookRequest(1)+strings.Repeat(floodLine, floodLines))
	require.NoError(t, client.CloseWrite())
	transporttest.WaitUnread(t, server)
	l.ServeConn(server)
	all, err := io.ReadAll(client)
	require.NoError(t, err, "the connection is closed and not reset")
	require.Less(t, strings.Count(string(all), "\n"), floodLines/4, "the other messages were read, but not handled, when the disconnect was noticed")
	srv.Dispatcher.DescribeEndpoints() // returns once the dispatcher has handled everything submitted before
	require.Zero(t, srv.Dispatcher.OpenRequests(), "the request was withdrawn")
}

// Guards against handling a cancellation only after all invalid messages that were sent before it, on a connection that
// stays open.
func TestCancelIsNoticedBehindFlood(t *testing.T) {
	srv, _ := jsonrpcServer(t, false)
	l := newListener(t, 4, srv.Serve)
	client, server := transporttest.ConnPair(t)
	transporttest.Write(t, client, lookRequest(1)+strings.Repeat(floodLine, floodLines)+cancelFirst)
	transporttest.WaitUnread(t, server)
	l.ServeConn(server)
	r := bufio.NewReader(client)
	for n := range floodLines {
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, `"code":-32700`, "every invalid message is answered")
		if n == floodLines/4 {
			srv.Dispatcher.DescribeEndpoints()
			require.Zero(t, srv.Dispatcher.OpenRequests(), "the request was withdrawn while most messages were unhandled")
		}
	}
	transporttest.Write(t, client, `{"jsonrpc":"2.0","id":9,"method":"alive"}`+"\n")
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, `"id":9,"result"`)
}

// A request that waits to be handled behind invalid messages and is cancelled there is never submitted.
func TestRequestCancelledBeforeHandlingIsNotSubmitted(t *testing.T) {
	srv, endpoint := jsonrpcServer(t, true)
	l := newListener(t, 4, srv.Serve)
	client, server := transporttest.ConnPair(t)
	transporttest.Write(t, client, strings.Repeat(floodLine, 40)+lookRequest(1)+cancelFirst+`{"jsonrpc":"2.0","id":9,"method":"alive"}`+"\n")
	transporttest.WaitUnread(t, server)
	l.ServeConn(server)
	r := bufio.NewReader(client)
	for {
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		if strings.Contains(line, `"id":9`) {
			break
		}
		require.Contains(t, line, `"code":-32700`)
	}
	srv.Dispatcher.DescribeEndpoints()
	require.Empty(t, endpoint.Runs)
	require.Zero(t, srv.Dispatcher.OpenRequests())
}

// A connection whose unhandled messages exceed the maximum line length is closed, after answers to the messages handled
// before.
func TestFloodBeyondMaxLineIsCutOff(t *testing.T) {
	srv, _ := jsonrpcServer(t, false)
	srv.Input = NewInputMemory(4<<20, 64, jsonrpc.MaxLineBytes) // the quota is below the maximum line length
	l := newListener(t, 4, srv.Serve)
	client, server := transporttest.ConnPair(t)
	go func() { // ends when the connection is closed
		for {
			if _, err := io.WriteString(client, strings.Repeat(floodLine, 100)); err != nil {
				return
			}
		}
	}()
	l.ServeConn(server)
	require.Eventually(t, func() bool { return srv.Input.inUse.Load() == 1 }, transporttest.WaitTimeout, 100*time.Microsecond)
	n, err := io.Copy(io.Discard, client)
	require.Positive(t, n)
	if err != nil {
		require.NotErrorIs(t, err, context.DeadlineExceeded)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection was not closed")
	}
	require.Eventually(t, func() bool { return srv.Input.largeMessages.TryAcquire(int64(srv.Input.largeCount)) },
		transporttest.WaitTimeout, time.Millisecond, "the whole memory for large messages is free again")
}

// Guards against keeping a handled message, with its statement, until the connection's next read.
func TestHandledMessagesAreNotKept(t *testing.T) {
	batches := []batch{{messages: []jsonrpc.Message{jsonrpc.Cancel{ID: "1"}}}, {size: 2}}
	j := &jsonrpcConn{pendingBatches: batches}
	require.Len(t, j.takePendingBatch().messages, 1)
	require.Equal(t, []batch{{size: 2}}, j.pendingBatches)
	require.Equal(t, batch{}, batches[0])
}

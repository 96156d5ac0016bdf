package clients

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/protocol/jsonrpc"
	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/transporttest"
)

// aliveLine returns a valid message of at least size bytes, with its id at the end.
func aliveLine(id string, size int) string {
	return `{"jsonrpc":"2.0","method":"alive","params":"` + strings.Repeat("x", size) + `","id":` + id + "}\n"
}

// oneLargeMessage returns memory in which one connection of four may hold more than its quota, of 37 KB.
func oneLargeMessage() *InputMemory {
	return NewInputMemory(300<<10, 4, jsonrpc.MaxLineBytes)
}

const largeMessage = 100 << 10 // bytes

// serveClient connects a client to a listener.
func serveClient(t *testing.T, l *listener.Listener) *net.TCPConn {
	client, server := transporttest.ConnPair(t)
	l.ServeConn(server)
	return client
}

func readLine(t *testing.T, c net.Conn) string {
	line, err := bufio.NewReader(c).ReadString('\n')
	require.NoError(t, err)
	return line
}

// clientWithoutMemory returns a JSON-RPC server in which another client has used up the memory for large messages, and
// a client of it.
func clientWithoutMemory(t *testing.T) (*JSONRPCServer, *net.TCPConn) {
	srv, _ := jsonrpcServer(t, false)
	srv.Input = oneLargeMessage()
	require.True(t, srv.Input.largeMessages.TryAcquire(1))
	return srv, serveClient(t, newListener(t, 4, srv.Serve))
}

// Guards against a close of a connection whose message is within its quota while others hold all other memory.
func TestMessageWithinQuotaNeedsNoFreeMemory(t *testing.T) {
	jsonRPC, client := clientWithoutMemory(t)
	transporttest.Write(t, client, aliveLine("1", 20<<10))
	require.Contains(t, readLine(t, client), `"pass":true`)

	client = serveClient(t, newListener(t, 4, restServer(t, jsonRPC.Input).Serve))
	transporttest.Write(t, client, "GET /v1/info HTTP/1.1\r\nHost: a\r\nX-Padding: "+strings.Repeat("x", 10<<10)+"\r\n\r\n")
	require.Contains(t, readLine(t, client), "200")
}

// Guards against leaving a client waiting behind others that hold memory for messages which they don't go on with.
func TestWaitingMessageEvictsStalledSender(t *testing.T) {
	srv, _ := jsonrpcServer(t, false)
	srv.Input = oneLargeMessage()
	l := newListener(t, 4, srv.Serve)
	stalled, waiting := serveClient(t, l), serveClient(t, l)
	transporttest.Write(t, stalled, strings.Repeat(" ", largeMessage))
	require.Eventually(t, func() bool { return srv.Input.inUse.Load() == 1 }, transporttest.WaitTimeout, time.Millisecond)
	startedAt := time.Now()
	transporttest.Write(t, waiting, aliveLine("1", largeMessage))
	require.Contains(t, readLine(t, waiting), `"pass":true`)
	require.Less(t, time.Since(startedAt), time.Second, "before the stalled message is overdue, at 2.5 s")
	_, err := stalled.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// A client with an open request is not closed for others; it completes its message and gets both answers.
func TestSenderWithOpenRequestIsNotEvicted(t *testing.T) {
	srv, _ := jsonrpcServer(t, false)
	srv.Input = oneLargeMessage()
	l := newListener(t, 4, srv.Serve)
	holder, waiting := serveClient(t, l), serveClient(t, l)
	transporttest.Write(t, holder, lookRequest(1)+strings.Repeat(" ", largeMessage))
	require.Eventually(t, func() bool { return srv.Input.inUse.Load() == 1 && srv.Dispatcher.OpenRequests() == 1 }, transporttest.WaitTimeout, time.Millisecond)
	transporttest.Write(t, waiting, aliveLine("1", largeMessage))
	require.Eventually(t, func() bool { return srv.Input.waiting.Load() == 1 }, transporttest.WaitTimeout, time.Millisecond)
	time.Sleep(4 * inputEvictionDelay)
	transporttest.Write(t, holder, aliveLine("2", 0))
	require.Contains(t, readLine(t, holder), `"id":2,"result"`)
	require.Contains(t, readLine(t, waiting), `"pass":true`)
	require.EqualValues(t, 1, srv.Dispatcher.OpenRequests())
}

// A client that leaves while its message waits for memory is noticed, and its open requests are withdrawn.
func TestDisconnectIsNoticedWhileMessageWaitsForMemory(t *testing.T) {
	srv, client := clientWithoutMemory(t)
	transporttest.Write(t, client, lookRequest(1)+strings.Repeat(" ", largeMessage))
	require.Eventually(t, func() bool { return srv.Input.waiting.Load() == 1 }, transporttest.WaitTimeout, time.Millisecond)
	require.EqualValues(t, 1, srv.Dispatcher.OpenRequests())
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool { return srv.Dispatcher.OpenRequests() == 0 && srv.Input.waiting.Load() == 0 }, transporttest.WaitTimeout, time.Millisecond)
}

// A message that waits for too long is rejected under its id, and neither its connection nor an open request is lost.
func TestMessageWithoutMemoryIsRejected(t *testing.T) {
	srv, client := clientWithoutMemory(t)
	transporttest.Write(t, client, lookRequest(1)+`{"jsonrpc":"2.0","id":2,"params":"`+strings.Repeat("x", largeMessage)+"\"}\n")
	require.Contains(t, readLine(t, client), `"id":2,"error":{"code":-32000`)
	transporttest.Write(t, client, aliveLine("3", 0))
	require.Contains(t, readLine(t, client), `"id":3,"result"`)
	require.EqualValues(t, 1, srv.Dispatcher.OpenRequests())
	require.Equal(t, "quota=38400 large=0 large_limit=1 waiting=0 waits=1 rejected=1", srv.Input.String())
}

// A rejected message with the id of an open request gets one error, and the open request is withdrawn, as with any message.
func TestRejectedMessageWithIDInUse(t *testing.T) {
	srv, client := clientWithoutMemory(t)
	transporttest.Write(t, client, lookRequest(1)+`{"jsonrpc":"2.0","id":1,"params":"`+strings.Repeat("x", largeMessage)+"\"}\n")
	require.Contains(t, readLine(t, client), `"id":1,"error":{"code":-32600`)
	srv.Dispatcher.DescribeEndpoints()
	require.Zero(t, srv.Dispatcher.OpenRequests())
}

// Where a message without an id finds no memory, and no request is open beside it, it is dropped like any that is overdue.
func TestMessageWithoutIDWaitsUntilItIsOverdue(t *testing.T) {
	srv, client := clientWithoutMemory(t)
	transporttest.Write(t, client, strings.Repeat(" ", largeMessage))
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Zero(t, srv.Input.waiting.Load())
}

// A REST request without memory is rejected with a time to come back.
func TestRESTRequestWithoutMemoryIsRejected(t *testing.T) {
	srv := restServer(t, oneLargeMessage())
	require.True(t, srv.Input.largeMessages.TryAcquire(1))
	client := serveClient(t, newListener(t, 4, srv.Serve))
	transporttest.Write(t, client, "POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: 190000\r\n\r\n"+strings.Repeat("x", 190_000))
	answer, err := io.ReadAll(client)
	require.NoError(t, err, "closed and not reset")
	require.Contains(t, string(answer), "HTTP/1.1 429")
	require.Contains(t, string(answer), "Retry-After: 1\r\n")
}

// Invalid messages that wait to be handled use memory beyond the quota only while no other connection waits for it.
func TestFloodLeavesMemoryToOthers(t *testing.T) {
	srv, _ := jsonrpcServer(t, false)
	srv.Input = oneLargeMessage()
	l := newListener(t, 4, srv.Serve)
	flooding, waiting := serveClient(t, l), serveClient(t, l)
	transporttest.Write(t, flooding, strings.Repeat(floodLine, floodLines))
	require.Eventually(t, func() bool { return srv.Input.inUse.Load() == 1 }, transporttest.WaitTimeout, time.Millisecond)
	go func() { // keeps the flood at the size that is above the quota
		for {
			if _, err := io.WriteString(flooding, strings.Repeat(floodLine, 10)); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	go func() { _, _ = io.Copy(io.Discard, flooding) }()
	transporttest.Write(t, waiting, aliveLine("1", largeMessage))
	require.Contains(t, readLine(t, waiting), `"pass":true`)
	require.Zero(t, srv.Input.rejected.Load())
}

// A request's head and the chunks of its body count as held; a client that stops after them is closed like any other
// that stops half way.
func TestHalfRequestInChunksIsHeldAndOverdue(t *testing.T) {
	srv := restServer(t, NewInputMemory(4<<20, 4, rest.MaxRequestBytes))
	client := serveClient(t, newListener(t, 4, srv.Serve))
	transporttest.Write(t, client, "GET /v1/info HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(client)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "200")
	transporttest.Write(t, client, "POST /v1/statement HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n")
	startedAt := time.Now()
	_, err = io.Copy(io.Discard, reader)
	require.NoError(t, err)
	require.Less(t, time.Since(startedAt), restIdleTimeout/2)
}

package listener

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/transporttest"
)

// newListener returns a running listener that serves connections by the given function.
func newListener(t *testing.T, limit int, serve func(context.Context, *Conn)) *Listener {
	l, err := Listen("127.0.0.1:0", limit, slog.New(slog.DiscardHandler), serve)
	require.NoError(t, err)
	go l.Run()
	t.Cleanup(func() { l.Close(time.Now()) })
	return l
}

// Guards against forwarding a request whose connection was evicted just after the request was read: its answer could not be
// delivered.
func TestRequestReadBeforeEvictionIsDropped(t *testing.T) {
	read, proceed := make(chan string), make(chan struct{})
	accepted := map[string]chan bool{"one\n": make(chan bool, 1), "two\n": make(chan bool, 1)}
	l := newListener(t, 1, func(_ context.Context, c *Conn) {
		line, _ := bufio.NewReader(c.Conn).ReadString('\n')
		read <- line
		<-proceed
		accepted[line] <- c.BeginRequest()
	})
	first, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	transporttest.Write(t, first, "one\n")
	require.Equal(t, "one\n", transporttest.Receive(t, read))
	second, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = second.Close() }()
	transporttest.Write(t, second, "two\n")
	require.Equal(t, "two\n", transporttest.Receive(t, read), "the first connection was evicted for it, with its request read but not begun")
	close(proceed)
	require.False(t, transporttest.Receive(t, accepted["one\n"]), "the connection is being closed")
	require.True(t, transporttest.Receive(t, accepted["two\n"]))
	require.NoError(t, first.SetReadDeadline(time.Now().Add(transporttest.WaitTimeout)))
	_, err = first.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection must be closed and not reset")
}

// A connection with unread bytes, an open request or an unhandled message must not be closed, whatever the reason: unread
// bytes are a request that arrived in time.
func TestCloseIsNotClaimedOverUnreadBytes(t *testing.T) {
	for reason := range closeReasonEvicted + 1 {
		client, server := transporttest.ConnPair(t)
		c := &Conn{Conn: server, listener: &Listener{}, sentMessage: true}
		transporttest.Write(t, client, "x")
		transporttest.WaitUnread(t, server)
		require.False(t, c.claimClose(reason), "%d: unread bytes", reason)
		_, err := server.Read(make([]byte, 1))
		require.NoError(t, err)
		require.True(t, c.BeginRequest())
		require.False(t, c.claimClose(reason), "%d: open request", reason)
		c.EndRequest()
		c.AddUnhandled(1)
		require.False(t, c.claimClose(reason), "%d: unhandled message", reason)
		c.AddUnhandled(-1)
		require.True(t, c.claimClose(reason))
		require.False(t, c.BeginRequest(), "%d: after the claim no request may begin", reason)
	}
}

// Many connections that arrive between two pieces of a slowly written message, as after a stall, must not evict its
// connection while there are others whose clients have only begun a message, or sent nothing.
func TestSlowWriterIsEvictedLast(t *testing.T) {
	l := &Listener{limit: 3, conns: map[*Conn]struct{}{}}
	addConn := func(lastActive time.Time) *Conn {
		_, server := transporttest.ConnPair(t)
		c := &Conn{Conn: server, listener: l, lastActiveAt: lastActive}
		l.conns[c] = struct{}{}
		return c
	}
	now := time.Now()
	slowWriter := addConn(now.Add(-time.Second))
	slowWriter.RecordRead(false, true)
	slowWriter.RecordRead(false, true)
	slowWriter.lastReadAt = now.Add(-200 * time.Millisecond)
	stoppedSender := addConn(now.Add(-100 * time.Millisecond))
	stoppedSender.RecordRead(false, true)
	stoppedSender.lastReadAt = now.Add(-100 * time.Millisecond)
	silentClient := addConn(now.Add(-50 * time.Millisecond))

	for _, victim := range []*Conn{stoppedSender, silentClient} {
		require.True(t, l.makeRoom())
		require.NotContains(t, l.conns, victim)
		require.Contains(t, l.conns, slowWriter)
		addConn(time.Now().Add(-time.Millisecond))
	}
	require.False(t, l.makeRoom(), "the new connections are protected by minEvictionAge, and the slow writer is not evicted instead")
	for c := range l.conns {
		if c != slowWriter {
			c.openRequestCount = 1
		}
	}
	require.True(t, l.makeRoom(), "the slow writer is evicted where all others have open requests")
	require.NotContains(t, l.conns, slowWriter)
}

// Clients that keep connecting while the listener closes must not keep Close from returning: the process would not
// end before it is killed.
func TestCloseEndsWhileClientsKeepConnecting(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 2, slog.New(slog.DiscardHandler), func(ctx context.Context, c *Conn) {
		_, _, _ = c.ReadBytes(ctx, netconn.New(c, netconn.SmallBuffer), time.Hour, nil)
	})
	require.NoError(t, err)
	go l.Run()
	stop := make(chan struct{})
	var dialers sync.WaitGroup
	for range 50 {
		dialers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.DialTimeout("tcp4", l.Addr().String(), time.Second); err == nil {
					time.Sleep(20 * time.Millisecond)
					_ = c.Close()
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	closed := make(chan time.Duration, 1)
	start := time.Now()
	go func() {
		l.Close(start.Add(100 * time.Millisecond))
		closed <- time.Since(start)
	}()
	elapsed := transporttest.Receive(t, closed)
	close(stop)
	dialers.Wait()
	require.Less(t, elapsed, 2*time.Second)
}

// Operators' programs parse the line of counters, so its format must not change.
func TestListenerCountersFormat(t *testing.T) {
	l := newListener(t, 4, func(context.Context, *Conn) {})
	require.Equal(t, "counters client_connections addr="+l.Addr().String()+" open=0 limit=4 taken=0 closed_for_others=0 closed_leaving=0 sent_away=0\n",
		l.String())
}

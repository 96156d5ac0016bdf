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

// newListener serves what the test passes to ServeConn; nothing is accepted from its own address.
func newListener(t *testing.T, limit int, serve func(context.Context, *Conn)) *Listener {
	l, err := Listen("127.0.0.1:0", limit, slog.New(slog.DiscardHandler), serve)
	require.NoError(t, err)
	go l.Run()
	t.Cleanup(func() { l.Close(time.Now()) })
	return l
}

// Where a connection was evicted at the moment that its request was read, the request was taken and forwarded, and its
// answer had no connection.
func TestRequestCrossingEvictionIsNotTaken(t *testing.T) {
	read, goOn := make(chan string), make(chan struct{})
	took := map[string]chan bool{"one\n": make(chan bool, 1), "two\n": make(chan bool, 1)}
	l := newListener(t, 1, func(_ context.Context, c *Conn) {
		line, _ := bufio.NewReader(c.Conn).ReadString('\n')
		read <- line
		<-goOn
		took[line] <- c.BeginRequest()
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
	require.Equal(t, "two\n", transporttest.Receive(t, read), "the first went for it, read and not yet taken")
	close(goOn)
	require.False(t, transporttest.Receive(t, took["one\n"]), "it was closed")
	require.True(t, transporttest.Receive(t, took["two\n"]))
	require.NoError(t, first.SetReadDeadline(time.Now().Add(transporttest.Patience)))
	_, err = first.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "a close, and no reset")
}

// Bytes that wait on a connection that seems idle are a request that arrived in time: whatever the reason, it is not
// closed over them.
func TestCloseIsNotClaimedOverUnreadBytes(t *testing.T) {
	for why := range closeEvicted + 1 {
		client, server := transporttest.Pair(t)
		c := &Conn{Conn: server, listener: &Listener{}, sentMessage: true}
		transporttest.Write(t, client, "x")
		transporttest.WaitUnread(t, server)
		require.False(t, c.claimClose(why), "%d: unread", why)
		_, err := server.Read(make([]byte, 1))
		require.NoError(t, err)
		require.True(t, c.BeginRequest())
		require.False(t, c.claimClose(why), "%d: open", why)
		c.EndRequest()
		c.AddUnhandled(1)
		require.False(t, c.claimClose(why), "%d: read and not handled", why)
		c.AddUnhandled(-1)
		require.True(t, c.claimClose(why))
		require.False(t, c.BeginRequest(), "%d: after the claim nothing is taken", why)
	}
}

// A crowd that arrives between two pieces of a slowly written message, as after a stall, must not have its connection
// evicted while others that only began a message, or none, can go.
func TestCrowdDoesNotEvictASlowWriter(t *testing.T) {
	l := &Listener{limit: 3, conns: map[*Conn]struct{}{}}
	add := func(lastActive time.Time) *Conn {
		_, server := transporttest.Pair(t)
		c := &Conn{Conn: server, listener: l, lastActive: lastActive}
		l.conns[c] = struct{}{}
		return c
	}
	now := time.Now()
	slow := add(now.Add(-time.Second))
	slow.RecordRead(false, true)
	slow.RecordRead(false, true)
	slow.lastRead = now.Add(-200 * time.Millisecond)
	stopped := add(now.Add(-100 * time.Millisecond))
	stopped.RecordRead(false, true)
	stopped.lastRead = now.Add(-100 * time.Millisecond)
	silent := add(now.Add(-50 * time.Millisecond))

	for _, victim := range []*Conn{stopped, silent} {
		require.True(t, l.makePlace())
		require.NotContains(t, l.conns, victim)
		require.Contains(t, l.conns, slow)
		add(time.Now().Add(-time.Millisecond))
	}
	require.False(t, l.makePlace(), "the newest are spared for a moment, and the writer for them")
	for c := range l.conns {
		if c != slow {
			c.openRequests = 1
		}
	}
	require.True(t, l.makePlace(), "where nobody else can go the writer does")
	require.NotContains(t, l.conns, slow)
}

// A crowd that goes on connecting while the listener closes must not keep it from ending: the process would be there at its
// kill.
func TestCloseEndsInACrowd(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 2, slog.New(slog.DiscardHandler), func(ctx context.Context, c *Conn) {
		_, _, _ = c.ReadMessages(ctx, netconn.New(c, netconn.SmallBuffer), time.Hour, nil)
	})
	require.NoError(t, err)
	go l.Run()
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for range 50 {
		crowd.Go(func() {
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
	at := time.Now()
	go func() {
		l.Close(at.Add(100 * time.Millisecond))
		closed <- time.Since(at)
	}()
	took := transporttest.Receive(t, closed)
	close(stop)
	crowd.Wait()
	require.Less(t, took, 2*time.Second)
}

// Operators' programs parse the line of counters.
func TestListenerCountersKeepTheirForm(t *testing.T) {
	l := newListener(t, 4, func(context.Context, *Conn) {})
	require.Equal(t, "counters client_connections addr="+l.Addr().String()+" open=0 limit=4 taken=0 closed_for_others=0 closed_leaving=0 sent_away=0\n",
		l.String())
}

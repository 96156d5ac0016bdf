// Package listener accepts client connections up to a limit, tracks the open requests of each, and closes
// idle connections without losing a request in transit: after a timeout, during a drain, or to make
// room for another connection.
package listener

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"aniseloft/internal/transport/netconn"
)

const (
	// acceptRetryInterval is the time between two searches for a connection to evict, and the pause
	// after a failed accept.
	acceptRetryInterval = 5 * time.Millisecond
	// maxLingeringEvicted is how many evicted connections may linger (see netconn.Linger) at the same
	// time, in addition to the limit of connections. Further evicted connections are closed at once.
	maxLingeringEvicted = 4
	// BacklogWait is how long a stopping listener still accepts connections from its backlog.
	BacklogWait = 5 * time.Millisecond
)

// RetransmitWindow is the time after a close within which a request may arrive that the client sent before it
// saw the close. By the protocol, the client then sends the request again on a new connection.
const RetransmitWindow = 50 * time.Millisecond

// Handler serves one connection until its client disconnects or ctx ends.
type Handler func(ctx context.Context, c *Conn)

// Listener accepts connections up to a limit and serves them. Run accepts; each connection is
// served, lingered and closed on a separate goroutine, which Close waits for.
type Listener struct {
	tcp             net.Listener
	limit           int
	handler         Handler
	ctx             context.Context // passed to all handlers
	cancel          context.CancelFunc
	acceptLoopEnded chan struct{}  // closed by Run once no more connections are accepted
	lingerSlots     chan struct{}  // semaphore for evicted connections that linger
	serving         sync.WaitGroup // goroutines that serve connections
	log             *slog.Logger
	counts          struct{ accepted, evicted, drained, rejectedInDrain atomic.Int64 }
	// stopping is set once only connections in the backlog are still accepted.
	stopping atomic.Bool
	// cutOff is set once all connections are closed, including accepted ones that are not served yet.
	cutOff atomic.Bool

	mu                sync.Mutex         // guards the fields below; locked before a connection's mutex
	conns             map[*Conn]struct{} // connections that count against the limit
	stalledEvictionAt time.Time          // when evictStalledSenders last looked for connections
}

// Listen opens addr; at most limit connections are served at a time. Each further connection evicts the one
// that is idle the longest. The address is opened with SO_REUSEPORT, so that a successor process can listen on
// it at the same time.
func Listen(addr string, limit int, log *slog.Logger, handler Handler) (*Listener, error) {
	// No keep-alive: each read has its own deadline, and setting keep-alive costs system calls.
	c := net.ListenConfig{KeepAlive: -1, Control: netconn.ReusePort}
	tcp, err := c.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	l := &Listener{tcp: tcp, limit: limit, conns: map[*Conn]struct{}{}, handler: handler, log: log,
		acceptLoopEnded: make(chan struct{}), lingerSlots: make(chan struct{}, maxLingeringEvicted)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// String returns the line of counters for operators.
func (l *Listener) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("counters client_connections addr=%s open=%d limit=%d taken=%d closed_for_others=%d closed_leaving=%d sent_away=%d\n",
		l.tcp.Addr(), len(l.conns), l.limit, l.counts.accepted.Load(), l.counts.evicted.Load(), l.counts.drained.Load(),
		l.counts.rejectedInDrain.Load())
}

// Run accepts connections until StopAccepting or Close. Connections in the backlog are established for their
// clients already, so a connection is accepted before room is made for it.
func (l *Listener) Run() {
	defer close(l.acceptLoopEnded)
	for {
		c, err := l.tcp.Accept()
		switch {
		case err == nil:
			l.admit(c)
		case errors.Is(err, net.ErrClosed):
			return
		case netconn.IsTimeout(err) && l.stopping.Load():
			_ = l.tcp.Close()
			return
		default:
			l.log.Warn("accept failed", "err", err)
			time.Sleep(acceptRetryInterval) // the cause may pass, such as a lack of file descriptors
		}
	}
}

// admit waits until an accepted connection is within the limit and serves it. Once cutOff is set, admit closes the
// connection instead.
func (l *Listener) admit(c net.Conn) {
	hasWaited := false
	for !l.makeRoom() {
		if l.cutOff.Load() {
			_ = c.Close()
			return
		}
		hasWaited = true
		time.Sleep(acceptRetryInterval)
	}
	l.ServeConn(c)
	if hasWaited && l.stopping.Load() && !l.cutOff.Load() { // more connections may have reached the backlog
		l.StopAccepting()
	}
}

// ServeConn serves a connection on a separate goroutine and closes it.
func (l *Listener) ServeConn(raw net.Conn) {
	c := &Conn{Conn: raw, listener: l, lastActiveAt: time.Now()}
	l.counts.accepted.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	l.serving.Add(1)
	go func() {
		defer l.serving.Done()
		l.handler(l.ctx, c)
		l.release(c)
	}()
}

// release closes a connection after its handler has returned. Where this side began the close, bytes that
// the client still sends are discarded first, as they would otherwise cause a reset.
func (l *Listener) release(c *Conn) {
	closing, evicted := c.closeState()
	if closing && !evicted {
		netconn.Linger(c.Conn, RetransmitWindow)
	}
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	if evicted { // the connection does not count against the limit any more
		select {
		case l.lingerSlots <- struct{}{}:
			netconn.Linger(c.Conn, RetransmitWindow)
			<-l.lingerSlots
		default:
		}
	}
	_ = c.Close()
}

// ReceivingMessage reports whether any client is currently sending a message.
func (l *Listener) ReceivingMessage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.receivingMessage() {
			return true
		}
	}
	return false
}

// WakeReaders makes the readers of all connections check again whether to close.
func (l *Listener) WakeReaders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.WakeReader()
	}
}

// AcceptingEnded returns a channel that is closed once no more connections are accepted: up to BacklogWait after
// StopAccepting, or later while connections of the backlog wait for room.
func (l *Listener) AcceptingEnded() <-chan struct{} { return l.acceptLoopEnded }

// StopAccepting closes the listener once the connections in the backlog are accepted. Later connections go to
// another process that listens at the same address, if there is one. Accepted connections are still served.
func (l *Listener) StopAccepting() {
	l.stopping.Store(true)
	if t, ok := l.tcp.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now().Add(BacklogWait))
	} else {
		_ = l.tcp.Close()
	}
}

// Close shuts down gracefully: it accepts the connections in the backlog, closes each connection once it
// has no open requests, and returns when all have ended. At the deadline it closes the
// remaining connections.
func (l *Listener) Close(deadline time.Time) {
	closeTimer := time.AfterFunc(time.Until(deadline), l.closeAll)
	defer closeTimer.Stop()
	l.StopAccepting()
	<-l.acceptLoopEnded
	l.cancel()
	l.serving.Wait()
}

// closeAll closes all connections and the listener. If the listener stayed open, clients that keep connecting would
// keep the backlog filled and the process alive.
func (l *Listener) closeAll() {
	l.cutOff.Store(true)
	_ = l.tcp.Close()
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

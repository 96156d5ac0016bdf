// Package listener accepts clients' connections within a limit, keeps account of what is open on
// each, and closes them so that no request is lost on the way: when idle, when draining, or to make
// place for another connection.
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
	// acceptRetryInterval is the time between two looks for a connection to evict, or between
	// failed accepts.
	acceptRetryInterval = 5 * time.Millisecond
	// maxLingeringEvicted is how many evicted connections may linger at a time, beyond the limit of
	// connections; where more are evicted, they are closed at once.
	maxLingeringEvicted = 4
	// BacklogWait is how long a listener that stops still accepts what its backlog holds.
	BacklogWait = 5 * time.Millisecond
)

// RetransmitWindow is how long a request may be on its way against a close: within it, by the
// protocol, its client sends it again on a new connection.
const RetransmitWindow = 50 * time.Millisecond

// Handler serves one connection until its client leaves or ctx ends.
type Handler func(ctx context.Context, c *Conn)

// Listener accepts connections up to a limit and serves each. Run owns the accepting; each
// connection is served, lingered and closed on a goroutine of its own, which Close waits for.
type Listener struct {
	tcp     net.Listener
	limit   int
	handler Handler
	ctx     context.Context // of all handlers
	cancel  context.CancelFunc
	ended   chan struct{} // closed by Run once no more connections are accepted
	linger  chan struct{} // semaphore of evicted connections that linger
	active  sync.WaitGroup
	log     *slog.Logger
	counts  struct{ accepted, evicted, drained, rejectedInDrain atomic.Int64 }
	// stopping is set once no more connections are to be accepted but what the backlog holds.
	stopping atomic.Bool
	// cutOff is set once nothing more is served at all: what waits for a place is closed.
	cutOff atomic.Bool

	mu    sync.Mutex         // guards conns; taken before a connection's own
	conns map[*Conn]struct{} // those within the limit
}

// Listen opens addr; at most limit connections are served at a time. Where more arrive, the one idle
// the longest is evicted for each. Another process may listen at the same address.
func Listen(addr string, limit int, log *slog.Logger, handler Handler) (*Listener, error) {
	// No keep-alive: each read has its own deadline, and the calls to set it up cost.
	c := net.ListenConfig{KeepAlive: -1, Control: netconn.ReusePort}
	tcp, err := c.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	l := &Listener{tcp: tcp, limit: limit, conns: map[*Conn]struct{}{}, handler: handler, log: log,
		ended: make(chan struct{}), linger: make(chan struct{}, maxLingeringEvicted)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// String is the line of counters that operators read.
func (l *Listener) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("counters client_connections addr=%s open=%d limit=%d taken=%d closed_for_others=%d closed_leaving=%d sent_away=%d\n",
		l.tcp.Addr(), len(l.conns), l.limit, l.counts.accepted.Load(), l.counts.evicted.Load(), l.counts.drained.Load(),
		l.counts.rejectedInDrain.Load())
}

// Run accepts until StopAccepting or Close. What waits in the backlog counts as established already, so a
// connection is accepted first, and then a place made for it.
func (l *Listener) Run() {
	defer close(l.ended)
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
			time.Sleep(acceptRetryInterval) // out of descriptors: let some come free
		}
	}
}

// admit waits for a place for an accepted connection and serves it. After the cut-off it closes it.
func (l *Listener) admit(c net.Conn) {
	waited := false
	for !l.makePlace() {
		if l.cutOff.Load() {
			_ = c.Close()
			return
		}
		waited = true
		time.Sleep(acceptRetryInterval)
	}
	l.ServeConn(c)
	if waited && l.stopping.Load() && !l.cutOff.Load() { // more may have reached the backlog meanwhile
		l.StopAccepting()
	}
}

// ServeConn serves a connection on a goroutine of its own and closes it.
func (l *Listener) ServeConn(raw net.Conn) {
	c := &Conn{Conn: raw, listener: l, lastActive: time.Now()}
	l.counts.accepted.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	l.active.Add(1)
	go func() {
		defer l.active.Done()
		l.handler(l.ctx, c)
		l.release(c)
	}()
}

// release closes a connection that is served no more. Where this side closes it, what its client
// sends meanwhile is discarded rather than answered by a reset.
func (l *Listener) release(c *Conn) {
	closing, evicted := c.closeState()
	if closing && !evicted {
		netconn.Linger(c.Conn, RetransmitWindow)
	}
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	if evicted { // another connection has its place already
		select {
		case l.linger <- struct{}{}:
			netconn.Linger(c.Conn, RetransmitWindow)
			<-l.linger
		default:
		}
	}
	_ = c.Close()
}

// ReceivingMessage reports whether any client is in the middle of sending a message.
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

// WakeReaders has the readers of all connections check again whether to go on.
func (l *Listener) WakeReaders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.WakeReader()
	}
}

// StopAccepting accepts what waits in the backlog, then closes the listener: another process at the
// address gets the connections that come later. What was accepted is still served.
func (l *Listener) StopAccepting() {
	l.stopping.Store(true)
	if t, ok := l.tcp.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now().Add(BacklogWait))
	} else {
		_ = l.tcp.Close()
	}
}

// Close shuts down gracefully: it accepts what waits in the backlog and no more, closes each
// connection once nothing is open on it, and returns when all have ended. What is still open at the
// deadline is cut off.
func (l *Listener) Close(deadline time.Time) {
	cutOff := time.AfterFunc(time.Until(deadline), l.cutAllOff)
	defer cutOff.Stop()
	l.StopAccepting()
	<-l.ended
	l.cancel()
	l.active.Wait()
}

// cutAllOff closes all connections and accepts no more: a crowd that goes on connecting would keep the backlog filled, and
// the process alive, for as long as it comes.
func (l *Listener) cutAllOff() {
	l.cutOff.Store(true)
	_ = l.tcp.Close()
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

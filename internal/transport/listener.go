package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A client that has sent no whole message for so long has nothing open and holds
	// a descriptor that others wait for; it is owed a word or a close within 3 s. Some
	// clients take 2 s to write a request: they must not be cut off at its last byte.
	wholeBy = 2500 * time.Millisecond
	// What has come just now may have its first message on the way: it is not closed for others.
	spareIdle = 25 * time.Millisecond
	roomEach  = 5 * time.Millisecond // between looks for a connection to close
	// firstBy is how long a connection that came during a drain may take to send its first
	// message, which is then served; one that says nothing for so long is closed.
	firstBy = 300 * time.Millisecond
)

// Budget bounds the bytes that all connections of a front hold together.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

// move books a change of what one connection holds and tells whether it is within the budget.
func (b *Budget) move(from, to int) bool { return b.left.Add(int64(from-to)) >= 0 || to <= from }

// ClientConn is one connection of a front, with what tells whether it may be closed.
type ClientConn struct {
	net.Conn
	of    *Listener
	mu    sync.Mutex
	since time.Time // when it came, last sent a whole message or got its last answer
	half  time.Time // when the unfinished message began that it now sends; zero: none
	heard time.Time // when its last bytes came
	whole bool      // it has sent a whole message
	open  int       // requests without their answer
}

// said notes what a read brought: whole messages, the beginning of one, or both.
func (g *ClientConn) said(whole, half bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.heard = now
	if whole {
		g.whole, g.since = true, now
	}
	if !half {
		g.half = time.Time{}
	} else if g.half.IsZero() || whole {
		g.half = now
	}
}

// opened notes that n more requests are open.
func (g *ClientConn) opened(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.since = g.open+n, time.Now()
}

// due is when the connection is to be closed, as things stand.
func (g *ClientConn) due(idle time.Duration) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.open > 0:
		return time.Now().Add(idle)
	case !g.whole:
		return g.since.Add(wholeBy)
	case !g.half.IsZero():
		return g.half.Add(wholeBy)
	}
	return g.since.Add(idle)
}

// quiet tells whether a connection may be closed for a drain: nothing is open on it,
// no message is under way, and it has had its chance to send its first.
func (g *ClientConn) quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open == 0 && g.half.IsZero() && (g.whole || time.Since(g.since) >= firstBy)
}

// leave notes that a drain closes the connection, as nothing is open on it.
func (g *ClientConn) leave() { g.of.counts.left.Add(1) }

// sentAway notes that a drain refused a request as it came.
func (g *ClientConn) sentAway() { g.of.counts.away.Add(1) }

// idleSince tells since when nothing is open on it and no byte came; ok is false while
// something is open. A client that writes slowly is heard from, one that stopped half
// way is not.
func (g *ClientConn) idleSince() (at time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at = g.since
	if g.heard.After(at) {
		at = g.heard
	}
	return at, g.open == 0
}

// Listener accepts connections within a budget and serves each.
type Listener struct {
	net    net.Listener
	limit  int
	serve  func(context.Context, *ClientConn)
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	conns map[*ClientConn]struct{}
	active sync.WaitGroup
	log    *slog.Logger
	counts struct{ taken, closed, left, away atomic.Int64 }
	// stopping is set once no more connections are to be taken: what the backlog holds
	// is still accepted, then the listener closes.
	stopping atomic.Bool
}

// Listen opens addr; at most limit connections are served at a time. Where more
// come, the one idle the longest is closed for each.
func Listen(addr string, limit int, log *slog.Logger, serve func(context.Context, *ClientConn)) (*Listener, error) {
	// Each read has its own limit, and the calls to set it up cost. A second process of an
	// upgrade listens at the same address beside the first.
	c := net.ListenConfig{KeepAlive: -1, Control: ReusePort}
	n, err := c.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, err
	}
	l := &Listener{net: n, limit: limit, conns: map[*ClientConn]struct{}{}, serve: serve, log: log}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// ReusePort lets another process listen at the address too: the kernel shares the
// connections that come between the two. (Steering them all to the newer process with a
// classic BPF program was tried: the kernel here does not support it.)
func ReusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if ctl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); ctl != nil {
		return ctl
	}
	return err
}

// String is the front's counters: a connection closed for another had nothing open.
func (l *Listener) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("counters client_connections addr=%s open=%d limit=%d taken=%d closed_for_others=%d closed_leaving=%d sent_away=%d\n",
		l.net.Addr(), len(l.conns), l.limit, l.counts.taken.Load(), l.counts.closed.Load(), l.counts.left.Load(), l.counts.away.Load())
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.net.Addr() }

// Run accepts until Close. What waits in the backlog counts as taken already, so a
// connection is accepted first and room made for it then.
func (l *Listener) Run() {
	for {
		c, err := l.net.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && isTimeout(err) && l.stopping.Load() {
			_ = l.net.Close()
			return
		}
		if err != nil {
			l.log.Warn("accept", "err", err)
			time.Sleep(roomEach) // out of descriptors: let some come free
			continue
		}
		for !l.room() {
			select {
			case <-l.ctx.Done():
				_ = c.Close()
				return
			case <-time.After(roomEach):
			}
		}
		g := &ClientConn{Conn: c, of: l, since: time.Now()}
		l.counts.taken.Add(1)
		l.mu.Lock()
		l.conns[g] = struct{}{}
		l.mu.Unlock()
		l.active.Add(1)
		go func() {
			defer l.active.Done()
			l.serve(l.ctx, g)
			l.end(g)
		}()
	}
}

func (l *Listener) end(g *ClientConn) {
	l.mu.Lock()
	delete(l.conns, g)
	l.mu.Unlock()
	_ = g.Close()
}

// room tells whether there is room for one more, closing the connection that is idle
// the longest if need be: clients may hold theirs for good, or connect and say nothing.
func (l *Listener) room() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.limit {
		return true
	}
	var longest *ClientConn
	var since time.Time
	for g := range l.conns {
		if at, idle := g.idleSince(); idle && (longest == nil || at.Before(since)) {
			longest, since = g, at
		}
	}
	if longest == nil || time.Since(since) < spareIdle {
		return false
	}
	l.counts.closed.Add(1)
	delete(l.conns, longest)
	_ = longest.Close()
	return true
}

// sweep is how long a listener that stops still accepts what its backlog holds.
const sweep = 5 * time.Millisecond

// StopAccepting takes what waits in the backlog, then closes the listener: another
// process at the address takes the connections that come later. What was accepted is
// served on.
func (l *Listener) StopAccepting() {
	l.stopping.Store(true)
	if t, ok := l.net.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now().Add(sweep))
	} else {
		_ = l.net.Close()
	}
}

// Poke wakes the readers of all connections, that they look again whether to go on.
func (l *Listener) Poke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for g := range l.conns {
		_ = g.SetReadDeadline(time.Now())
	}
}

// Close stops accepting, lets the connections write what they have queued,
// and waits for their end.
func (l *Listener) Close() {
	_ = l.net.Close()
	l.cancel()
	l.active.Wait()
}

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
	// lingering is how many connections of a front may drop what still comes on them beyond its
	// limit, as another has their place; where more go, they are closed at once.
	lingering = 4
	// lingerMost bounds what is dropped on one connection, in bytes.
	lingerMost = 1 << 20
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
	of      *Listener
	mu      sync.Mutex
	since   time.Time // when it came, last sent a whole message or got its last answer
	half    time.Time // when the unfinished message began that it now sends; zero: none
	heard   time.Time // when its last bytes came
	whole   bool      // it has sent a whole message
	open    int       // requests without their answer
	waiting int       // messages that are read and not yet handled
	closing bool      // this side closes it: no request is taken on it any more
	spared  bool      // it goes for another, which waits for its place
}

// said notes what a read brought: whole messages, the beginning of one, or both.
func (c *ClientConn) said(whole, half bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.heard = now
	if whole {
		c.whole, c.since = true, now
	}
	if !half {
		c.half = time.Time{}
	} else if c.half.IsZero() || whole {
		c.half = now
	}
}

// SetReadDeadline holds for the reader of the connection, which one that goes for another ends at once.
func (c *ClientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spared {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// begin notes that a request is open. It may not be taken where it is false: the connection is being
// closed, so it could get no answer. Its client sees the close cross it and sends it again.
func (c *ClientConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.open, c.since = c.open+1, time.Now()
	return true
}

// end notes that a request has its answer, or needs none.
func (c *ClientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.since = c.open-1, time.Now()
}

// unhandled notes that so many messages more are read and not yet handled.
func (c *ClientConn) unhandled(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
}

// due is when the connection is to be closed, as things stand.
func (c *ClientConn) due(idle time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.open > 0:
		return time.Now().Add(idle)
	case !c.whole:
		return c.since.Add(wholeBy)
	case !c.half.IsZero():
		return c.half.Add(wholeBy)
	}
	return c.since.Add(idle)
}

// Why a connection is closed by this side.
type closeReason int

const (
	closeIdle  closeReason = iota // its time is up
	closeDrain                    // clients are sent away
	closeEnd                      // the front ends
	closeSpare                    // another takes its place
)

// claim begins a close by this side, or tells that one has begun. It does so only while nothing is
// open on the connection and no byte of it waits: a request that came before the claim is served, one
// that comes after is not taken.
func (c *ClientConn) claim(why closeReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	// For a drain no message may be under way, and it has had its chance to send its first.
	early := why == closeDrain && (!c.half.IsZero() || !c.whole && time.Since(c.since) < firstBy)
	if c.open > 0 || c.waiting > 0 || early || unread(c.Conn) {
		return false
	}
	c.closing, c.spared = true, why == closeSpare
	if why == closeDrain {
		c.of.counts.left.Add(1)
	}
	return true
}

// errClosing says that this side closes the connection, as nothing is open on it.
var errClosing = errors.New("closed by this side")

// read waits for bytes from the client, which are good until the next read, and tells when they came.
// It gives errClosing once the connection is idle for so long, or has nothing open while clients are
// sent away or ctx has ended.
func (c *ClientConn) read(ctx context.Context, l *link, idle time.Duration, leaving func() bool) ([]byte, time.Time, error) {
	for {
		ending := ctx.Err() != nil
		sentAway := ending || leaving != nil && leaving()
		if ending && c.claim(closeEnd) || sentAway && c.claim(closeDrain) {
			return nil, time.Time{}, errClosing
		}
		due := c.due(idle)
		if look := time.Now().Add(leaveLook); sentAway && look.Before(due) {
			due = look
		}
		in := ctx
		if ending { // what was sent before the claim is read yet
			in = context.WithoutCancel(ctx)
		}
		b, err := l.read(in, due)
		at := time.Now()
		switch {
		case err == nil:
			return b, at, nil
		case !ending && ctx.Err() != nil: // woken to look
		case !isTimeout(err):
			return nil, at, err
		case !at.Before(c.due(idle)) && c.claim(closeIdle):
			return nil, at, errClosing
		case c.isClosing():
			return nil, at, errClosing
		}
	}
}

func (c *ClientConn) isClosing() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.closing }

// wake has its reader look again whether to go on.
func (c *ClientConn) wake() {
	if !c.isClosing() {
		_ = c.SetReadDeadline(time.Now())
	}
}

// sentAway notes that a drain refused a request as it came.
func (c *ClientConn) sentAway() { c.of.counts.away.Add(1) }

// writing tells whether its client is writing a message just now: half of one has come, the latest
// bytes a short while ago.
func (c *ClientConn) writing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.half.IsZero() && time.Since(c.heard) < firstBy
}

// idleSince tells since when nothing is open on it and no byte came; ok is false while
// something is open. A client that writes slowly is heard from, one that stopped half
// way is not.
func (c *ClientConn) idleSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at = c.since
	if c.heard.After(at) {
		at = c.heard
	}
	return at, c.open == 0 && c.waiting == 0 && !c.closing
}

// gone tells whether the client has closed its side, whatever waits unread before that.
func (c *ClientConn) gone() bool {
	look := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err := onDescriptor(c.Conn, func(fd int) {
		look[0].Fd = int32(fd)
		_, _ = unix.Poll(look, 0)
	})
	return err != nil && !errors.Is(err, errors.ErrUnsupported) || look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// unread tells whether bytes wait on a connection that nobody has read.
func unread(c net.Conn) bool {
	n, _ := peek(c)
	return n > 0
}

// crossing is how long a request may be on its way against a close: within it, by the protocol, its
// client sends it again on a new connection.
const crossing = 50 * time.Millisecond

// linger ends this side's writing and drops what still comes, for so long and so many bytes at most:
// closing on bytes unread would reset the connection, and the client lose the answers on their way.
func linger(c net.Conn, long time.Duration, most int) {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(long)) != nil {
		return
	}
	b := make([]byte, shortBuffer)
	for n := 0; most > 0; most -= n {
		var err error
		if n, err = c.Read(b); err != nil {
			return
		}
	}
}

// Listener accepts connections within a budget and serves each.
type Listener struct {
	net    net.Listener
	limit  int
	serve  func(context.Context, *ClientConn)
	ctx    context.Context
	cancel context.CancelFunc
	ran    chan struct{} // closed once no more connections are accepted
	places chan struct{} // for those that linger beyond the limit
	mu     sync.Mutex
	conns  map[*ClientConn]struct{}
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
	l := &Listener{net: n, limit: limit, conns: map[*ClientConn]struct{}{}, serve: serve, log: log,
		ran: make(chan struct{}), places: make(chan struct{}, lingering)}
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
	defer close(l.ran)
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
		waited := false
		for !l.room() {
			waited = true
			time.Sleep(roomEach)
		}
		l.start(c)
		if waited && l.stopping.Load() { // what came meanwhile is in the backlog yet
			l.StopAccepting()
		}
	}
}

// start serves a connection on a goroutine of its own.
func (l *Listener) start(nc net.Conn) {
	c := &ClientConn{Conn: nc, of: l, since: time.Now()}
	l.counts.taken.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	l.active.Add(1)
	go func() {
		defer l.active.Done()
		l.serve(l.ctx, c)
		l.end(c)
	}()
}

// end closes a connection that is served no more. Where this side closes it, what its client sends
// meanwhile is dropped rather than answered by a reset.
func (l *Listener) end(c *ClientConn) {
	c.mu.Lock()
	closing, spared := c.closing, c.spared
	c.mu.Unlock()
	if closing && !spared {
		linger(c.Conn, crossing, lingerMost)
	}
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	if spared { // its place is another's already
		select {
		case l.places <- struct{}{}:
			linger(c.Conn, crossing, lingerMost)
			<-l.places
		default:
		}
	}
	_ = c.Close()
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
	for c := range l.conns {
		if at, idle := c.idleSince(); idle && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	if longest == nil || time.Since(since) < spareIdle || !longest.claim(closeSpare) {
		return false
	}
	l.counts.closed.Add(1)
	delete(l.conns, longest)
	_ = longest.SetReadDeadline(time.Now()) // its reader is to end it
	return true
}

// Writing tells whether any client is writing a message just now.
func (l *Listener) Writing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.writing() {
			return true
		}
	}
	return false
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
	for c := range l.conns {
		c.wake()
	}
}

// Close takes what waits in the backlog and no more, has each connection answer what was sent on it
// and closes it once nothing is open there, and waits for their end; what is open at the time by is
// cut off.
func (l *Listener) Close(by time.Time) {
	cut := time.AfterFunc(time.Until(by), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.conns {
			_ = c.Close()
		}
	})
	defer cut.Stop()
	l.StopAccepting()
	<-l.ran
	l.cancel()
	l.active.Wait()
}

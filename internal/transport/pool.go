// Package transport is the thin drivers that read and write sockets for the
// byte machines of the protocols, over net/textproto.
package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/textproto"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errNoDescriptor says that the budget of descriptors is spent.
var errNoDescriptor = errors.New("no descriptor left for an engine")

// settle is how long a connection rests between two calls of different owners. A second copy of an
// answer may come behind it: taken for the next query's own, it would be a result that no engine made,
// or a word that what runs never ran. Bytes that came meanwhile end the connection. How late a copy may
// come the protocol doesn't say; this is the slack that it gives every time.
const settle = protocolSlack

// protocolSlack is how much longer each time of the protocol is on sockets.
const protocolSlack = 50 * time.Millisecond

// maxRedials is how often a connection that was reset as it came up is opened again.
const maxRedials = 2

// ownLag is how late a limit is seen by a process that has no time of its own left.
const ownLag = 20 * time.Millisecond

// link is one connection to an engine.
type link struct {
	net   net.Conn
	text  *textproto.Conn
	idled time.Time
}

// What a link's reader and writer hold. Hundreds are open at a time in little memory;
// most messages are short, but a page with its head is to come with one read.
const (
	shortBuffer = 2 << 10
	pageBuffer  = 8 << 10
)

// lateLook is how long a read whose time is up looks for bytes that have come already.
const lateLook = time.Millisecond

func newLink(c net.Conn, reads int) *link {
	return &link{net: c, text: &textproto.Conn{Reader: textproto.Reader{R: bufio.NewReaderSize(c, reads)},
		Writer: textproto.Writer{W: bufio.NewWriterSize(c, shortBuffer)}}}
}

// Pool holds the connections to engines, each engine's apart, and keeps all of
// them together within a budget of descriptors.
type Pool struct {
	mu      sync.Mutex
	limit   int
	open    int
	connect time.Duration
	maxIdle time.Duration
	idle    map[*hostPool]struct{}
	log     *slog.Logger
	counts  struct{ dialled, reused, stolen, expired, stale, spent, resumed atomic.Int64 }
	odds    [oddKinds]oddity // words of engines that could not be used
	// What orders a call's attempts behind the withdrawals of earlier ones.
	withdrawn withdrawals
}

// Kinds of words of engines that can't be used.
const (
	oddReport = iota
	oddNote
	oddKinds
)

var oddNames = [oddKinds]string{"report", "note"}

func (l *hostPool) odd(kind int) {
	l.pool.odds[kind].saw(l.pool.log, "word of an engine not used", oddNames[kind], l.name)
}

// String is the pool's counters.
func (p *Pool) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.counts
	return fmt.Sprintf("counters engine_connections open=%d limit=%d dialled=%d reused=%d stolen=%d expired=%d stale=%d spent=%d resumed=%d odd_reports=%d odd_notes=%d\n",
		p.open, p.limit, c.dialled.Load(), c.reused.Load(), c.stolen.Load(), c.expired.Load(), c.stale.Load(), c.spent.Load(), c.resumed.Load(),
		p.odds[oddReport].seen.Load(), p.odds[oddNote].seen.Load())
}

// hostPool is the idle connections of one engine. A new engine may get an old
// address, so connections belong to an engine and never to an address.
type hostPool struct {
	pool   *Pool
	name   string // of its engine, for the log
	addr   string
	idle   []*link
	held   int // connections, idle or not
	closed bool
}

// connections counts those that carry calls and those that idle.
func (l *hostPool) connections() (busy, idle int) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.held - len(l.idle), len(l.idle)
}

// NewPool returns a pool that opens at most limit connections.
func NewPool(limit int, connect, maxIdle time.Duration, log *slog.Logger) *Pool {
	return &Pool{limit: limit, connect: connect, maxIdle: maxIdle, log: log, idle: map[*hostPool]struct{}{},
		withdrawn: withdrawals{of: map[withdrawal]*pending{}}}
}

func (p *Pool) hostPool(name, addr string) *hostPool {
	l := &hostPool{pool: p, name: name, addr: addr}
	p.mu.Lock()
	p.idle[l] = struct{}{}
	p.mu.Unlock()
	return l
}

// reserve takes a descriptor, if need be from an idle connection.
func (l *hostPool) reserve() bool {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.limit {
		p.open++
		l.held++
		return true
	}
	for o := range p.idle {
		if len(o.idle) > 0 {
			_ = o.idle[0].net.Close()
			o.idle = o.idle[1:]
			o.held--
			l.held++
			p.counts.stolen.Add(1)
			return true
		}
	}
	p.counts.spent.Add(1)
	return false
}

func (l *hostPool) release() {
	l.pool.mu.Lock()
	l.pool.open--
	l.held--
	l.pool.mu.Unlock()
}

// get returns an idle connection that still stands, or a new one.
func (l *hostPool) get(ctx context.Context) (*link, error) {
	if c := l.takeIdle(); c != nil {
		return c, nil
	}
	return l.dial(ctx)
}

func (l *hostPool) takeIdle() *link {
	for {
		c := l.popIdle()
		if c == nil {
			return nil
		}
		switch {
		case time.Since(c.idled) >= l.pool.maxIdle:
			l.pool.counts.expired.Add(1)
		case !quiet(c.net):
			l.pool.counts.stale.Add(1)
		default:
			l.pool.counts.reused.Add(1)
			return c
		}
		l.drop(c)
	}
}

// popIdle takes the connection that idles the least, but for the settle time.
func (l *hostPool) popIdle() *link {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		if c := l.idle[i]; time.Since(c.idled) >= settle {
			l.idle = slices.Delete(l.idle, i, i+1)
			return c
		}
	}
	return nil
}

// dial opens a connection; one that takes too long has failed.
func (l *hostPool) dial(ctx context.Context) (*link, error) {
	if !l.reserve() {
		return nil, errNoDescriptor
	}
	dctx, cancel := context.WithTimeout(ctx, l.pool.connect)
	defer cancel()
	d := net.Dialer{KeepAlive: -1} // every read has its own limit, and the calls to set it up cost
	began := time.Now()
	c, err := d.DialContext(dctx, "tcp", l.addr)
	for n := 0; n < maxRedials && isReset(err); n++ { // reset as it came up: neither refused nor used
		c, err = d.DialContext(dctx, "tcp", l.addr)
	}
	if isTimeout(err) && time.Since(began) > l.pool.connect+ownLag {
		// The limit itself was seen late: this process had no time to see the connection come up.
		again, cancel := context.WithTimeout(ctx, l.pool.connect)
		defer cancel()
		c, err = d.DialContext(again, "tcp", l.addr)
	}
	l.pool.log.Debug("dialled", "engine", l.name, "ms", time.Since(began).Milliseconds(), "err", err)
	if err != nil {
		l.release()
		return nil, err
	}
	l.pool.counts.dialled.Add(1)
	return newLink(c, pageBuffer), nil
}

// again opens a fresh connection to ask on for what runs already. A descriptor comes free sooner or later: a running query is not given up for it.
func (l *hostPool) again(ctx context.Context) (*link, error) {
	l.pool.counts.resumed.Add(1)
	for {
		c, err := l.dial(ctx)
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, errNoDescriptor) {
			return nil, fmt.Errorf("%w: %w", errUnreachable, err)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(resumeEach):
		}
	}
}

// put returns a connection that can carry another call, and drops what idled too long.
func (l *hostPool) put(c *link) {
	c.idled = time.Now()
	l.pool.mu.Lock()
	var old []*link
	for len(l.idle) > 0 && time.Since(l.idle[0].idled) >= l.pool.maxIdle {
		old, l.idle = append(old, l.idle[0]), l.idle[1:]
	}
	if l.closed {
		old = append(old, c)
	} else {
		l.idle = append(l.idle, c)
	}
	l.pool.mu.Unlock()
	for _, o := range old {
		l.drop(o)
	}
}

func (l *hostPool) drop(c *link) {
	_ = c.net.Close()
	l.release()
}

// close drops what idles; what is in use is dropped when it comes back.
func (l *hostPool) close() {
	l.pool.mu.Lock()
	old := l.idle
	l.idle, l.closed = nil, true
	delete(l.pool.idle, l)
	l.pool.mu.Unlock()
	for _, c := range old {
		l.drop(c)
	}
}

// quiet tells whether an idle connection still stands: neither closed by the
// other side nor with bytes that no call asked for. What it can't see is a
// close that is still on its way.
func quiet(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// peek looks, without waiting, for a byte that nobody has read: n is 1 where there is one, 0 with no
// error where the other side has closed, and the error is EAGAIN where the connection is silent. It looks
// by Control, as Read would refuse a connection whose last call's deadline has passed.
func peek(c net.Conn) (n int, err error) {
	cerr := onDescriptor(c, func(fd int) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if errors.Is(cerr, errors.ErrUnsupported) {
		return 0, syscall.EAGAIN
	}
	if cerr != nil {
		return 0, cerr
	}
	return max(n, 0), err
}

// onDescriptor does something with the descriptor of a connection; one that has none is errors.ErrUnsupported.
func onDescriptor(c net.Conn, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// write sends bytes by the deadline. A connection keeps the deadlines of the
// call before, so each call sets its own; and it looks at ctx only after that,
// since the end of ctx sets a deadline in the past that must not be put off.
func (c *link) write(ctx context.Context, b []byte, deadline time.Time) error {
	if err := c.net.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if _, err := c.text.W.Write(b); err != nil {
		return err
	}
	return c.text.W.Flush()
}

// read waits for bytes until the deadline; they are good until the next read.
func (c *link) read(ctx context.Context, deadline time.Time) ([]byte, error) {
	if c.text.R.Buffered() == 0 {
		if err := c.net.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		_, err := c.text.R.Peek(1)
		if isTimeout(err) && ctx.Err() == nil {
			// A process that stood still finds the time up and the bytes there: what waits is read, not cut off.
			if err := c.net.SetReadDeadline(time.Now().Add(lateLook)); err != nil {
				return nil, err
			}
			_, err = c.text.R.Peek(1)
		}
		if err != nil {
			return nil, err
		}
	}
	b, err := c.text.R.Peek(c.text.R.Buffered())
	if err != nil {
		return nil, err
	}
	_, err = c.text.R.Discard(len(b))
	return b, err
}

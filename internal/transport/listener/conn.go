package listener

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"aniseloft/internal/transport/netconn"
)

const (
	// messageTimeout bounds the time to a client's first complete message, and to the end of each that
	// it has begun. Some clients take 2 s to write a request, which must not be cut off at its last
	// byte; the protocol wants an answer or a close within 3 s.
	messageTimeout = 2500 * time.Millisecond
	// drainGracePeriod is how long a connection that arrives during a drain may take to send its
	// first message, which is then served. It is also how long after its latest bytes a client
	// counts as still sending a message.
	drainGracePeriod = 300 * time.Millisecond
	// drainCheckInterval is how often a reader checks, during a drain, whether its connection can
	// be closed.
	drainCheckInterval = 50 * time.Millisecond
)

// ErrClosing says that this side closes the connection, as nothing is open on it.
var ErrClosing = errors.New("closed by this side")

// Conn is one client connection with what decides whether it may be closed.
//
// Invariant: once closing is set, no request is open on it and none is begun any more. mu guards all
// that follows it; the deadlines of the reader are set under it, so that an eviction is never undone.
type Conn struct {
	net.Conn
	listener *Listener

	mu           sync.Mutex
	lastActive   time.Time // when it arrived, last completed a message or got its last answer
	partialSince time.Time // when the message began that is not complete; zero: none
	partialReads int       // that brought pieces of it
	lastRead     time.Time // when its last bytes came
	sentMessage  bool      // it has sent a complete message
	openRequests int       // requests without their answer
	unhandled    int       // messages that are read and not yet handled
	closing      bool      // this side closes it
	evicted      bool      // another connection has its place
}

// RecordRead notes what a read brought: complete messages, the beginning of one, or both.
func (c *Conn) RecordRead(completed, incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.lastRead = now
	if completed {
		c.sentMessage, c.lastActive = true, now
	}
	switch {
	case !incomplete:
		c.partialSince, c.partialReads = time.Time{}, 0
	case c.partialSince.IsZero() || completed:
		c.partialSince, c.partialReads = now, 1
	default:
		c.partialReads++
	}
}

// SetReadDeadline sets the deadline of the connection's reader; an evicted connection keeps one that
// has passed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// BeginRequest notes that a request is open. Where it returns false the request must be dropped: the
// connection is being closed and could carry no answer. Its client sees the close cross the request
// and sends it again.
func (c *Conn) BeginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.openRequests++
	c.lastActive = time.Now()
	return true
}

// EndRequest notes that a request has its answer, or needs none.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRequests--
	c.lastActive = time.Now()
}

// AddUnhandled changes the number of messages that are read and not yet handled.
func (c *Conn) AddUnhandled(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandled += n
}

// CountDrainRejection counts a request that was rejected because of a drain.
func (c *Conn) CountDrainRejection() { c.listener.counts.rejectedInDrain.Add(1) }

// closeDeadline is when the connection is to be closed, as things stand.
func (c *Conn) closeDeadline(idleTimeout time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.openRequests > 0:
		return time.Now().Add(idleTimeout)
	case !c.sentMessage:
		return c.lastActive.Add(messageTimeout)
	case !c.partialSince.IsZero():
		return c.partialSince.Add(messageTimeout)
	}
	return c.lastActive.Add(idleTimeout)
}

// closeReason is why this side closes a connection.
type closeReason int

const (
	closeTimeout  closeReason = iota // its time is up
	closeDrain                       // the coordinator drains
	closeShutdown                    // the listener ends
	closeEvicted                     // another connection takes its place
)

// claimClose begins a close by this side and reports whether one has begun. It does so only while
// nothing is open on the connection and no byte of it waits unread: a request that came before the
// claim is served, one that comes after is not taken.
func (c *Conn) claimClose(reason closeReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	// For a drain no message may be in progress, and the connection has had its chance to send its first.
	early := reason == closeDrain && (!c.partialSince.IsZero() || !c.sentMessage && time.Since(c.lastActive) < drainGracePeriod)
	if c.openRequests > 0 || c.unhandled > 0 || early || netconn.HasUnread(c.Conn) {
		return false
	}
	c.closing, c.evicted = true, reason == closeEvicted
	if reason == closeDrain {
		c.listener.counts.drained.Add(1)
	}
	return true
}

// closeState reports whether this side closes the connection, and whether for another's place.
func (c *Conn) closeState() (closing, evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing, c.evicted
}

func (c *Conn) isClosing() bool {
	closing, _ := c.closeState()
	return closing
}

// ReadMessages waits for bytes from the client through its buffer in, which are valid until the next
// read, and returns when they came. The error is ErrClosing once the connection has been idle for
// the timeout, or has nothing open while draining reports true (nil: never) or after ctx has ended.
func (c *Conn) ReadMessages(ctx context.Context, in *netconn.Conn, idleTimeout time.Duration, draining func() bool) ([]byte, time.Time, error) {
	for {
		shutdown := ctx.Err() != nil
		drain := shutdown || draining != nil && draining()
		if shutdown && c.claimClose(closeShutdown) || drain && c.claimClose(closeDrain) {
			return nil, time.Time{}, ErrClosing
		}
		deadline := c.closeDeadline(idleTimeout)
		if check := time.Now().Add(drainCheckInterval); drain && check.Before(deadline) {
			deadline = check
		}
		readCtx := ctx
		if shutdown { // what was sent before the claim is still read
			readCtx = context.WithoutCancel(ctx)
		}
		b, err := in.Read(readCtx, deadline)
		at := time.Now()
		switch {
		case err == nil:
			return b, at, nil
		case !shutdown && ctx.Err() != nil: // interrupted to check again
		case !netconn.IsTimeout(err):
			return nil, at, err
		case !at.Before(c.closeDeadline(idleTimeout)) && c.claimClose(closeTimeout):
			return nil, at, ErrClosing
		case c.isClosing():
			return nil, at, ErrClosing
		}
	}
}

// WakeReader has the connection's reader check again whether to go on.
func (c *Conn) WakeReader() {
	if !c.isClosing() {
		_ = c.SetReadDeadline(time.Now())
	}
}

// receivingMessage reports whether its client is in the middle of sending a message: part of one has
// come, the latest bytes a short while ago.
func (c *Conn) receivingMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.partialSince.IsZero() && time.Since(c.lastRead) < drainGracePeriod
}

// writesSlowly reports whether its client is writing a message in pieces, as more than the beginning has come of it. One that
// stopped in the middle counts until its time for the message is over.
func (c *Conn) writesSlowly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partialReads > 1 && time.Since(c.partialSince) < messageTimeout
}

// idleSince returns since when nothing is open on it and no byte came; ok is false while something
// is open. A client that sends slowly is active, one that stopped in the middle is not.
func (c *Conn) idleSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at = c.lastActive
	if c.lastRead.After(at) {
		at = c.lastRead
	}
	return at, c.openRequests == 0 && c.unhandled == 0 && !c.closing
}

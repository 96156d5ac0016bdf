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
	// messageTimeout limits the time to a client's first complete message, and to the end of each message
	// that it has begun. Some clients take 2 s to write a request, and must be able to complete it;
	// the protocol requires an answer or a close within 3 s.
	messageTimeout = 2500 * time.Millisecond
	// drainGracePeriod is how long a new connection may take to send its first message during a drain;
	// the message is then served. It is also how long after its latest bytes a client
	// counts as still sending a message.
	drainGracePeriod = 300 * time.Millisecond
	// drainCheckInterval is how often a reader checks, during a drain, whether its connection can
	// be closed.
	drainCheckInterval = 50 * time.Millisecond
)

// ErrClosing is returned where this side closes a connection that has no open requests.
var ErrClosing = errors.New("closed by this side")

// Conn is one client connection with the state that decides whether it may be closed.
//
// Invariant: once closing is set, no request is open on the connection and none can be opened. mu guards
// the fields below it. The reader's deadlines are set with mu held, so that the reader can't undo an
// eviction.
type Conn struct {
	net.Conn
	listener *Listener

	mu               sync.Mutex
	lastActiveAt     time.Time // time of the accept, of the latest complete message, or of the latest begin or end of a request
	partialSince     time.Time // when the first bytes of the incomplete message were read; zero: no message is incomplete
	partialReadCount int       // number of reads that brought a part of the incomplete message
	lastReadAt       time.Time // when bytes were last read
	sentMessage      bool      // the client has sent a complete message
	openRequestCount int       // number of unanswered requests
	unhandledCount   int       // number of messages that are read and not yet handled
	exceedsQuota     bool      // the incomplete or unhandled messages use memory beyond the connection's quota
	closing          bool      // this side has begun to close the connection
	evicted          bool      // the close makes room for another connection
}

// RecordRead records the result of a read: whether it completed messages, and whether it left one incomplete.
func (c *Conn) RecordRead(completed, incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.lastReadAt = now
	if completed {
		c.sentMessage, c.lastActiveAt = true, now
	}
	switch {
	case !incomplete:
		c.partialSince, c.partialReadCount = time.Time{}, 0
	case c.partialSince.IsZero() || completed:
		c.partialSince, c.partialReadCount = now, 1
	default:
		c.partialReadCount++
	}
}

// SetReadDeadline sets the deadline of the connection's reader. For an evicted connection the deadline
// stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}

// BeginRequest records an open request. Where it returns false the request must be dropped: the
// connection is being closed, so the answer could not be sent. The client sees the close without an
// answer and sends the request again.
func (c *Conn) BeginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.openRequestCount++
	c.lastActiveAt = time.Now()
	return true
}

// EndRequest records that a request is answered or needs no answer.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRequestCount--
	c.lastActiveAt = time.Now()
}

// AddUnhandled changes the number of messages that are read and not yet handled.
func (c *Conn) AddUnhandled(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandledCount += n
}

// SetExceedsQuota records whether the connection's messages use memory beyond its quota, for which others may wait.
func (c *Conn) SetExceedsQuota(exceeds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exceedsQuota = exceeds
}

// MessageOverdue reports whether the client has no open request and has been sending its message for too long.
func (c *Conn) MessageOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRequestCount == 0 && !c.partialSince.IsZero() && time.Since(c.partialSince) >= messageTimeout
}

// EvictStalledSenders evicts up to count connections of the same listener that exceed their quota of memory for a message
// that its client does not go on with.
func (c *Conn) EvictStalledSenders(count int) { c.listener.evictStalledSenders(count) }

// CountDrainRejection counts a request that was rejected because of a drain.
func (c *Conn) CountDrainRejection() { c.listener.counts.rejectedInDrain.Add(1) }

// closeDeadline returns the time at which the connection is to be closed if its state does not change.
func (c *Conn) closeDeadline(idleTimeout time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.openRequestCount > 0:
		return time.Now().Add(idleTimeout)
	case !c.sentMessage:
		return c.lastActiveAt.Add(messageTimeout)
	case !c.partialSince.IsZero():
		return c.partialSince.Add(messageTimeout)
	}
	return c.lastActiveAt.Add(idleTimeout)
}

// closeReason is the reason why this side closes a connection.
type closeReason int

const (
	closeReasonTimeout  closeReason = iota // idle for too long, or a message took too long
	closeReasonDrain                       // the coordinator is draining
	closeReasonShutdown                    // the listener is shutting down
	closeReasonEvicted                     // room is needed for another connection
)

// claimClose begins a close by this side and reports whether a close has begun. It begins one only while the
// connection has no open requests, unhandled messages or unread bytes: a request that arrived before
// the claim is served, and a later one is dropped.
func (c *Conn) claimClose(reason closeReason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	// During a drain, a client may complete its message, and a new connection gets time for its first one.
	mustWait := reason == closeReasonDrain && (!c.partialSince.IsZero() || !c.sentMessage && time.Since(c.lastActiveAt) < drainGracePeriod)
	if c.openRequestCount > 0 || c.unhandledCount > 0 || mustWait || netconn.HasUnread(c.Conn) {
		return false
	}
	c.closing, c.evicted = true, reason == closeReasonEvicted
	if reason == closeReasonDrain {
		c.listener.counts.drained.Add(1)
	}
	return true
}

// closeState reports whether this side closes the connection, and whether by an eviction.
func (c *Conn) closeState() (closing, evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing, c.evicted
}

func (c *Conn) isClosing() bool {
	closing, _ := c.closeState()
	return closing
}

// ReadBytes waits for bytes from the client and returns them with the time of the read. in is the
// connection's buffer; the bytes are valid until its next read. The error is ErrClosing once this side closes
// the connection: it was idle for the timeout, took too long for a message, was evicted, or has no open requests
// while draining reports true (nil: never) or after ctx has ended.
func (c *Conn) ReadBytes(ctx context.Context, bufferedConn *netconn.Conn, idleTimeout time.Duration, draining func() bool) ([]byte, time.Time, error) {
	for {
		isShuttingDown := ctx.Err() != nil
		isDraining := isShuttingDown || draining != nil && draining()
		if isShuttingDown && c.claimClose(closeReasonShutdown) || isDraining && c.claimClose(closeReasonDrain) {
			return nil, time.Time{}, ErrClosing
		}
		deadline := c.closeDeadline(idleTimeout)
		if nextCheck := time.Now().Add(drainCheckInterval); isDraining && nextCheck.Before(deadline) {
			deadline = nextCheck
		}
		readCtx := ctx
		if isShuttingDown { // requests that were sent before the close is claimed are still read
			readCtx = context.WithoutCancel(ctx)
		}
		b, err := bufferedConn.Read(readCtx, deadline)
		readAt := time.Now()
		switch {
		case err == nil:
			return b, readAt, nil
		case !isShuttingDown && ctx.Err() != nil: // interrupted by the end of ctx: check again
		case !netconn.IsTimeout(err):
			return nil, readAt, err
		case !readAt.Before(c.closeDeadline(idleTimeout)) && c.claimClose(closeReasonTimeout):
			return nil, readAt, ErrClosing
		case c.isClosing():
			return nil, readAt, ErrClosing
		}
	}
}

// WakeReader makes the connection's reader check again whether to close.
func (c *Conn) WakeReader() {
	if !c.isClosing() {
		_ = c.SetReadDeadline(time.Now())
	}
}

// receivingMessage reports whether the client is currently sending a message: the message is incomplete,
// and its latest bytes are more recent than drainGracePeriod.
func (c *Conn) receivingMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.partialSince.IsZero() && time.Since(c.lastReadAt) < drainGracePeriod
}

// writesSlowly reports whether the client is writing a message in pieces, that is, more than one read brought a part of it.
// A client that stopped in the middle counts as writing until messageTimeout has passed.
func (c *Conn) writesSlowly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partialReadCount > 1 && time.Since(c.partialSince) < messageTimeout
}

// idleSince returns the time since when the connection is idle: the later of its last activity and its latest bytes. ok is
// false while it has open requests or unhandled messages, or is being closed. Each piece of a message
// counts as activity, so that a slow sender is not idle, but one that stopped in the middle is.
func (c *Conn) idleSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSinceLocked()
}

// idleSinceLocked does the same as idleSince. The caller holds c.mu.
func (c *Conn) idleSinceLocked() (at time.Time, ok bool) {
	at = c.lastActiveAt
	if c.lastReadAt.After(at) {
		at = c.lastReadAt
	}
	return at, c.openRequestCount == 0 && c.unhandledCount == 0 && !c.closing
}

// stalledSince returns the time since when a connection that exceeds its quota of memory is idle. ok is false for any other
// connection.
func (c *Conn) stalledSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok = c.idleSinceLocked()
	return at, ok && c.exceedsQuota
}

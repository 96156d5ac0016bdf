package clients

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/netconn"
)

const (
	// inputQuotaDivisor is the part of the memory for messages that is divided equally among the connections: one half.
	inputQuotaDivisor = 2
	// inputMaxWait is how long a connection waits for memory before its message is rejected. The wait is short: a client
	// that leaves can't be noticed while the bytes that it sent before are not read.
	inputMaxWait = 100 * time.Millisecond
	// anonymousMaxWait is the longest wait of a message that can't be rejected, as it has no ID yet: longer than any
	// request is open. A message without an open request beside it is overdue before.
	anonymousMaxWait = time.Hour
	// inputEvictionDelay is how long a connection waits for memory before it evicts others that hold some and
	// don't go on sending.
	inputEvictionDelay = 50 * time.Millisecond
)

// errClientLeft is returned where the client disconnected while its connection was not read.
var errClientLeft = errors.New("the client has disconnected")

// InputMemory divides the memory for the incomplete and unhandled messages of a listener's clients.
//
// One half is divided equally: each connection may hold its quota at any time, so what others send can't take it
// away. The other half holds messages above that size. A connection gets memory for a message of the maximum size there
// at once, so that it never waits in the middle of a message while it holds memory that others wait for. Where all of
// it is in use, a connection is not read until some is free, first come, first served, and its message is rejected after
// inputMaxWait. Connections without an open request that hold some and don't go on sending are closed meanwhile.
type InputMemory struct {
	quota         int                 // bytes that each connection may hold at any time
	largeCount    int                 // number of connections that may hold more at the same time
	largeMessages *semaphore.Weighted // one unit for each of these connections

	inUse    atomic.Int64 // connections that hold more than their quota
	waiting  atomic.Int64 // connections that wait until they may
	waits    atomic.Int64 // times that a connection had to wait
	rejected atomic.Int64 // messages that waited for too long
}

// NewInputMemory divides bytes of memory among maxConnections connections with messages of at most maxMessageBytes.
func NewInputMemory(bytes int64, maxConnections, maxMessageBytes int) *InputMemory {
	shared := int(bytes) / inputQuotaDivisor
	// The read that completes a message may bring the beginning of the next one.
	largeCount := max((int(bytes)-shared)/(maxMessageBytes+netconn.SmallBuffer), 1)
	return &InputMemory{quota: shared / max(maxConnections, 1), largeCount: largeCount, largeMessages: semaphore.NewWeighted(int64(largeCount))}
}

// String returns the counters for operators.
func (m *InputMemory) String() string {
	return fmt.Sprintf("quota=%d large=%d large_limit=%d waiting=%d waits=%d rejected=%d",
		m.quota, m.inUse.Load(), m.largeCount, m.waiting.Load(), m.waits.Load(), m.rejected.Load())
}

func (m *InputMemory) forConn(c *listener.Conn) *connInput { return &connInput{memory: m, conn: c} }

// connInput is the part of an InputMemory that one connection uses. Only the connection's reader calls it.
type connInput struct {
	memory       *InputMemory
	conn         *listener.Conn
	mayHoldLarge bool // the connection holds memory for a message of the maximum size
}

// tryReserve makes room for messages of the given total size, in bytes, unless the connection would have to wait.
// Where other connections wait, one that holds more than its quota gets no more.
func (i *connInput) tryReserve(size int) bool {
	if size <= i.memory.quota {
		return true
	}
	if i.mayHoldLarge {
		return i.memory.waiting.Load() == 0
	}
	if !i.memory.largeMessages.TryAcquire(1) {
		return false
	}
	i.setMayHoldLarge(true)
	return true
}

// reserve makes room for messages of the given total size, in bytes, and waits for it up to maxWait where necessary.
// Meanwhile the connection counts as having an unhandled message, which is the part that has been read. The error is
// errInputMemoryInUse, or errClientLeft.
func (i *connInput) reserve(size int, maxWait time.Duration) error {
	if i.mayHoldLarge || i.tryReserve(size) {
		return nil
	}
	i.memory.waits.Add(1)
	i.memory.waiting.Add(1)
	i.conn.AddUnhandled(1)
	defer i.memory.waiting.Add(-1)
	defer i.conn.AddUnhandled(-1)
	limited, cancelLimit := context.WithTimeoutCause(context.Background(), maxWait, errInputMemoryInUse)
	defer cancelLimit()
	ctx, cancel := context.WithCancelCause(limited)
	defer cancel(nil)
	go i.watchWait(ctx, cancel)
	if i.memory.largeMessages.Acquire(ctx, 1) != nil {
		return context.Cause(ctx)
	}
	i.setMayHoldLarge(true)
	return nil
}

// watchWait ends the wait of a connection whose client has left, or whose message is overdue while no request is open. It
// returns once ctx ends.
func (i *connInput) watchWait(ctx context.Context, endWait context.CancelCauseFunc) {
	startedAt := time.Now()
	ticker := time.NewTicker(clientCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch {
		case netconn.PeerClosed(i.conn.Conn):
			endWait(errClientLeft)
		case i.conn.MessageOverdue():
			endWait(errInputMemoryInUse)
		case time.Since(startedAt) >= inputEvictionDelay:
			i.conn.EvictStalledSenders(int(i.memory.waiting.Load()))
		}
	}
}

// shrink gives memory back once the connection's messages are within its quota.
func (i *connInput) shrink(size int) {
	if i.mayHoldLarge && size <= i.memory.quota {
		i.release()
	}
}

// release gives back what the connection holds beyond its quota.
func (i *connInput) release() {
	if i.mayHoldLarge {
		i.setMayHoldLarge(false)
		i.memory.largeMessages.Release(1)
	}
}

func (i *connInput) setMayHoldLarge(mayHold bool) {
	i.mayHoldLarge = mayHold
	i.conn.SetExceedsQuota(mayHold)
	if mayHold {
		i.memory.inUse.Add(1)
	} else {
		i.memory.inUse.Add(-1)
	}
}

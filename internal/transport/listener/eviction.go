package listener

import (
	"slices"
	"time"
)

// minEvictionAge is how long after its last activity a connection is not evicted: the first message of a new connection may
// be on its way.
const minEvictionAge = 25 * time.Millisecond

// makeRoom reports whether one more connection is within the limit. At the limit it evicts an idle connection if it can, as
// clients may keep connections open forever, or connect and send nothing.
func (l *Listener) makeRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.limit {
		return true
	}
	victim, victimIdleSince := l.chooseVictim()
	return victim != nil && time.Since(victimIdleSince) >= minEvictionAge && l.evict(victim)
}

// evict closes an idle connection and reports whether it could. The caller holds l.mu.
func (l *Listener) evict(victim *Conn) bool {
	if !victim.claimClose(closeReasonEvicted) {
		return false
	}
	l.counts.evicted.Add(1)
	delete(l.conns, victim)
	_ = victim.SetReadDeadline(time.Now()) // wakes the reader of the victim, which then ends
	return true
}

// stalledSender is a connection that exceeds its quota of memory and is idle.
type stalledSender struct {
	conn  *Conn
	since time.Time
}

// evictStalledSenders evicts up to count connections that exceed their quota of memory for a message and have been idle for
// minEvictionAge, those that are idle longest first. It does nothing if it ran less than minEvictionAge ago, as many
// connections may wait for memory at a time.
func (l *Listener) evictStalledSenders(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.stalledEvictionAt) < minEvictionAge {
		return
	}
	l.stalledEvictionAt = now
	var stalled []stalledSender
	for c := range l.conns {
		if since, ok := c.stalledSince(); ok && now.Sub(since) >= minEvictionAge {
			stalled = append(stalled, stalledSender{c, since})
		}
	}
	slices.SortFunc(stalled, func(a, b stalledSender) int { return a.since.Compare(b.since) })
	for _, s := range stalled {
		if count > 0 && l.evict(s.conn) {
			count--
		}
	}
}

// chooseVictim returns the connection to evict and the time since when it is idle; nil where none is idle. It chooses the one
// that is idle the longest. A connection whose client is writing a message in pieces is chosen only where no other is idle,
// so that many new connections between two pieces do not cut off a slow writer. The caller holds l.mu.
func (l *Listener) chooseVictim() (victim *Conn, victimIdleSince time.Time) {
	victimWritesSlowly := false
	for c := range l.conns {
		idleSince, isIdle := c.idleSince()
		if !isIdle {
			continue
		}
		writesSlowly := c.writesSlowly()
		isBetterVictim := victim == nil || victimWritesSlowly && !writesSlowly || victimWritesSlowly == writesSlowly && idleSince.Before(victimIdleSince)
		if isBetterVictim {
			victim, victimIdleSince, victimWritesSlowly = c, idleSince, writesSlowly
		}
	}
	return victim, victimIdleSince
}

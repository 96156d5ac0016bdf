package listener

import "time"

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
	if victim == nil || time.Since(victimIdleSince) < minEvictionAge || !victim.claimClose(closeReasonEvicted) {
		return false
	}
	l.counts.evicted.Add(1)
	delete(l.conns, victim)
	_ = victim.SetReadDeadline(time.Now()) // wakes the reader of the victim, which then ends
	return true
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

package listener

import "time"

// minEvictionAge is how long a connection is spared from eviction after its last activity: the first message of a new one
// may be on its way.
const minEvictionAge = 25 * time.Millisecond

// makePlace reports whether there is a place for one more connection, evicting one if need be: clients may hold theirs
// for good, or connect and send nothing.
func (l *Listener) makePlace() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.limit {
		return true
	}
	victim, since := l.chooseVictim()
	if victim == nil || time.Since(since) < minEvictionAge || !victim.claimClose(closeEvicted) {
		return false
	}
	l.counts.evicted.Add(1)
	delete(l.conns, victim)
	_ = victim.SetReadDeadline(time.Now()) // its reader is to end it
	return true
}

// chooseVictim returns the connection to evict, and since when it is idle: the one that is idle the longest, and one whose
// client writes a message only where there is no other. A crowd that arrives between two pieces of a slow message must not
// cut it off. nil: none is idle. The lock is held.
func (l *Listener) chooseVictim() (victim *Conn, since time.Time) {
	victimWrites := false
	for c := range l.conns {
		at, idle := c.idleSince()
		if !idle {
			continue
		}
		writes := c.writesSlowly()
		better := victim == nil || victimWrites && !writes || victimWrites == writes && at.Before(since)
		if better {
			victim, since, victimWrites = c, at, writes
		}
	}
	return victim, since
}

package ledger

import (
	"cmp"
	"slices"
)

// Verdict is the answer to a request for bytes.
type Verdict int

// Verdicts of the ledger.
const (
	Reserved  Verdict = iota // the bytes are reserved
	MustEvict                // the bytes fit once the results in Decision.Evict are dropped: drop them and ask again
	MustWait                 // other results hold the missing bytes: stop reading from the engine until they are freed
	Rejected                 // too few results can be evicted: the client is told to retry later
)

// Decision is a verdict, with the details that the caller needs to follow it.
type Decision struct {
	Verdict      Verdict
	Evict        []string // names of the results to drop, in order; each has been read to its end, or its retention is over
	RetryAfterMS float64  // time after which to retry; set with Rejected and MustWait
	Reason       string   // the exhausted quota, in words; empty with Reserved
}

// shortage is the number of bytes that are missing under each quota.
type shortage struct{ total, owner, class int64 }

func (s shortage) none() bool { return s.total <= 0 && s.owner <= 0 && s.class <= 0 }

// reason names the most specific quota that is exhausted.
func (s shortage) reason() string {
	switch {
	case s.owner > 0:
		return "the owner's share of the spool is full"
	case s.class > 0:
		return "the class's share of the spool is full"
	}
	return "the spool is full"
}

// relievedBy reports whether dropping a result would reduce the shortage, depending on whether that result has the same
// owner and class as the one that needs the bytes.
func (s shortage) relievedBy(sameOwner, sameClass bool) bool {
	return s.total > 0 || s.owner > 0 && sameOwner || s.class > 0 && sameClass
}

// relieve subtracts the bytes of a dropped result from the quotas that it counts against.
func (s *shortage) relieve(bytes int64, sameOwner, sameClass bool) {
	s.total -= bytes
	if sameOwner {
		s.owner -= bytes
	}
	if sameClass {
		s.class -= bytes
	}
}

// admit decides whether a result may hold more bytes under all quotas: the total, the owner's and the class's. If one
// is exhausted, it selects results to evict, in the order of evictable. A result that is being read is never
// selected, nor one that is still retained for a client that has not read it to its end. isGrowing is set for a result
// that has been begun, and not for a new one.
func (l *Ledger) admit(now float64, e *resultEntry, bytes int64, isGrowing bool) Decision {
	missing := l.shortageOf(e, bytes)
	if missing.none() {
		return Decision{Verdict: Reserved}
	}
	reason := missing.reason()
	var namesToEvict []string
	for _, candidate := range l.evictable(now) {
		if missing.none() {
			break
		}
		sameOwner, sameClass := candidate.owner == e.owner, candidate.class == e.class
		if missing.relievedBy(sameOwner, sameClass) {
			namesToEvict = append(namesToEvict, candidate.name)
			missing.relieve(candidate.bytes(), sameOwner, sameClass)
		}
	}
	if missing.none() {
		return Decision{Verdict: MustEvict, Evict: namesToEvict, Reason: reason}
	}
	verdict := Rejected
	// A growing result can wait until others free bytes, unless it exceeds its quota by itself: it would wait forever.
	if isGrowing && l.canWait(e) && e.bytes()+bytes <= l.limits.maxFor(e.class) {
		verdict = MustWait
	}
	return Decision{Verdict: verdict, RetryAfterMS: l.retryAfterMS(now), Reason: reason}
}

// shortageOf returns how many bytes are missing under each quota for a result to hold the given number of additional
// bytes.
func (l *Ledger) shortageOf(e *resultEntry, bytes int64) shortage {
	missing := shortage{total: max(l.total+bytes-l.limits.Total, 0)}
	if quota := l.limits.PerOwner; quota > 0 {
		missing.owner = max(l.bytesByOwner[e.owner]+bytes-quota, 0)
	}
	if quota := l.limits.PerClass[e.class]; quota > 0 {
		missing.class = max(l.bytesByClass[e.class]+bytes-quota, 0)
	}
	return missing
}

// evictable returns the results that may be dropped: those that are not being read, and that have been read to their
// end or whose retention is over. They are sorted by the end of their retention, then by age.
func (l *Ledger) evictable(now float64) []*resultEntry {
	var entries []*resultEntry
	for _, e := range l.results {
		isExpired := e.phase == PhaseSealed && now >= l.retainedUntil(e)
		if e.readerCount == 0 && (e.phase == PhaseRead || isExpired) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *resultEntry) int {
		return cmp.Or(cmp.Compare(l.retainedUntil(a), l.retainedUntil(b)), cmp.Compare(a.order, b.order))
	})
	return entries
}

// canWait reports whether an older result is still open, or any other result is sealed. The oldest open result never
// waits for younger open ones, so that open results cannot all wait for each other.
func (l *Ledger) canWait(e *resultEntry) bool {
	for _, other := range l.results {
		if other != e && (other.phase != PhaseOpen || other.order < e.order) {
			return true
		}
	}
	return false
}

// minRetryAfterMS is the shortest time that a client is told to wait, so that it does not retry at once.
const minRetryAfterMS = 1

// retryAfterMS returns the time in ms until the next retention ends, at most Limits.RetryAfterMS.
func (l *Ledger) retryAfterMS(now float64) float64 {
	delayMS := l.limits.RetryAfterMS
	for _, e := range l.results {
		if e.phase != PhaseOpen {
			delayMS = min(delayMS, max(l.retainedUntil(e)-now, minRetryAfterMS))
		}
	}
	return delayMS
}

// retainedUntil returns the time until which a sealed result is kept for its client.
func (l *Ledger) retainedUntil(e *resultEntry) float64 {
	return min(e.lastReadAtMS+l.limits.RetentionMS, e.sealedAtMS+l.limits.MaxRetentionMS)
}

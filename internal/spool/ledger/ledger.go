// Package ledger decides what may be spooled: whether a result fits under its quotas,
// what gives way to it, when reading an engine must wait, and what a client is told.
// It does no I/O and knows no clock. Its sums are exact: bytes are reserved before the
// first page is asked for, and given back once.
package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Limits are bytes; 0 for one owner or class: only the whole binds.
type Limits struct {
	Total    int64
	PerOwner int64
	PerClass map[string]int64
	// KeepMS is how long a sealed result is promised to its client after its last read.
	KeepMS float64
	// LongestMS is how long a result is kept at most, read or not.
	LongestMS float64
	// ComeBackMS is told with a refusal where no promise ends sooner.
	ComeBackMS float64
}

// Check names the first limit that cannot be right.
func (l Limits) Check() error {
	switch {
	case l.Total <= 0:
		return errors.New("total: must be above 0")
	case l.PerOwner < 0 || l.PerOwner > l.Total:
		return errors.New("per owner: must lie between 0 and the total")
	case !(l.KeepMS > 0) || !(l.LongestMS >= l.KeepMS):
		return errors.New("keep: must be above 0 and at most the longest")
	case l.ComeBackMS < 0:
		return errors.New("come back: must not be below 0")
	}
	for c, n := range l.PerClass {
		if n <= 0 || n > l.Total {
			return fmt.Errorf("class %s: must lie between 1 and the total", c)
		}
	}
	return nil
}

// Verdict is what the ledger says to a wish for bytes.
type Verdict int

const (
	Fits   Verdict = iota // it is reserved
	Evict                 // it fits once Decision.Evict have been dropped: drop them and ask again
	Wait                  // open results hold what is missing: read the engine on once one ends
	Refuse                // nothing here will make room: tell the client to come back
)

// Decision is a verdict with what it asks for.
type Decision struct {
	Verdict    Verdict
	Evict      []string // in order; each has been read whole, or is past its promise
	ComeBackMS float64  // with Refuse and Wait
	Why        string
}

// Phase of a result.
type Phase int

const (
	Open   Phase = iota // pages are being written
	Sealed              // whole; waits for its reader
	Read                // its last page has been asked for
)

type entry struct {
	id, owner, class string
	phase            Phase
	reserved, used   int64
	readers          int
	sealedAt, lastAt float64
	order            int
}

func (e *entry) holds() int64 { return max(e.reserved, e.used) }

// Ledger is the book of one spool. It is not safe for concurrent use.
type Ledger struct {
	lim     Limits
	entries map[string]*entry
	held    int64
	owners  map[string]int64
	classes map[string]int64
	order   int
}

// New returns an empty ledger.
func New(l Limits) (*Ledger, error) {
	if err := l.Check(); err != nil {
		return nil, fmt.Errorf("spool limits: %w", err)
	}
	return &Ledger{lim: l, entries: map[string]*entry{}, owners: map[string]int64{}, classes: map[string]int64{}}, nil
}

// Held is what all results hold, reserved or used.
func (l *Ledger) Held() int64 { return l.held }

// Len is how many results there are.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) book(e *entry, bytes int64) {
	l.held += bytes
	l.owners[e.owner] += bytes
	l.classes[e.class] += bytes
	if l.owners[e.owner] == 0 {
		delete(l.owners, e.owner)
	}
	if l.classes[e.class] == 0 {
		delete(l.classes, e.class)
	}
}

// Begin reserves bytes for a result before its first page is asked for.
func (l *Ledger) Begin(now float64, id, owner, class string, bytes int64) (Decision, error) {
	if l.entries[id] != nil {
		return Decision{}, fmt.Errorf("ledger: result %s is there already", id)
	}
	if bytes < 0 {
		return Decision{}, fmt.Errorf("ledger: %d bytes", bytes)
	}
	e := &entry{id: id, owner: owner, class: class}
	d := l.room(now, e, bytes, false)
	if d.Verdict == Fits {
		l.order++
		e.order, e.reserved, e.lastAt = l.order, bytes, now
		l.entries[id] = e
		l.book(e, bytes)
	}
	return d, nil
}

// Grow books a page about to be written; what was reserved covers it first.
func (l *Ledger) Grow(now float64, id string, bytes int64) (Decision, error) {
	e := l.entries[id]
	if e == nil || e.phase != Open || bytes < 0 {
		return Decision{}, fmt.Errorf("ledger: %s does not take pages", id)
	}
	more := max(e.used+bytes-e.reserved, 0) - max(e.used-e.reserved, 0)
	d := Decision{Verdict: Fits}
	if more > 0 {
		d = l.room(now, e, more, true)
	}
	if d.Verdict == Fits {
		e.used += bytes
		l.book(e, more)
	}
	return d, nil
}

// Shrink takes back a page that could not be written.
func (l *Ledger) Shrink(id string, bytes int64) error {
	e := l.entries[id]
	if e == nil || e.phase != Open || bytes > e.used {
		return fmt.Errorf("ledger: %s holds no such page", id)
	}
	was := e.holds()
	e.used -= bytes
	l.book(e, e.holds()-was)
	return nil
}

// room looks for bytes under all quotas. What gives way is, in order: results past their
// promise, then those read whole, the longest unread first; never one that is being read
// or that its client may still fetch.
func (l *Ledger) room(now float64, e *entry, bytes int64, growing bool) Decision {
	short := max(l.held+bytes-l.lim.Total, 0)
	byOwner, byClass := int64(0), int64(0)
	if q := l.lim.PerOwner; q > 0 {
		byOwner = max(l.owners[e.owner]+bytes-q, 0)
	}
	if q := l.lim.PerClass[e.class]; q > 0 {
		byClass = max(l.classes[e.class]+bytes-q, 0)
	}
	if short == 0 && byOwner == 0 && byClass == 0 {
		return Decision{Verdict: Fits}
	}
	d := Decision{Verdict: Evict, Why: "the spool is full"}
	if byOwner > 0 {
		d.Why = "the owner's share of the spool is full"
	} else if byClass > 0 {
		d.Why = "the class's share of the spool is full"
	}
	for _, o := range l.givesWay(now) {
		if short <= 0 && byOwner <= 0 && byClass <= 0 {
			break
		}
		own, cls := o.owner == e.owner, o.class == e.class
		if short <= 0 && !(byOwner > 0 && own) && !(byClass > 0 && cls) {
			continue
		}
		d.Evict = append(d.Evict, o.id)
		short -= o.holds()
		if own {
			byOwner -= o.holds()
		}
		if cls {
			byClass -= o.holds()
		}
	}
	if short <= 0 && byOwner <= 0 && byClass <= 0 {
		return d
	}
	d.Evict, d.Verdict = nil, Refuse
	d.ComeBackMS = l.soonest(now)
	// A result that grows may wait for what others will give back; one that holds the
	// whole lack itself would wait for ever, and so would two that wait for each other.
	if growing && l.othersEnd(e) && e.holds()+bytes <= l.mostFor(e) {
		d.Verdict = Wait
	}
	return d
}

func (l *Ledger) mostFor(e *entry) int64 {
	most := l.lim.Total
	if q := l.lim.PerOwner; q > 0 {
		most = min(most, q)
	}
	if q := l.lim.PerClass[e.class]; q > 0 {
		most = min(most, q)
	}
	return most
}

// othersEnd tells whether an older result is still open, or any is sealed: the oldest open
// one never waits for younger ones, so not all can wait at once.
func (l *Ledger) othersEnd(e *entry) bool {
	for _, o := range l.entries {
		if o != e && (o.phase != Open || o.order < e.order) {
			return true
		}
	}
	return false
}

// soonest is when the next promise ends, from now.
func (l *Ledger) soonest(now float64) float64 {
	at := l.lim.ComeBackMS
	for _, o := range l.entries {
		if o.phase != Open {
			at = min(at, max(l.promised(o)-now, 1))
		}
	}
	return at
}

// promised is until when a result is kept for its client.
func (l *Ledger) promised(e *entry) float64 {
	return min(e.lastAt+l.lim.KeepMS, e.sealedAt+l.lim.LongestMS)
}

func (l *Ledger) givesWay(now float64) []*entry {
	var list []*entry
	for _, e := range l.entries {
		if e.readers == 0 && (e.phase == Read || e.phase == Sealed && now >= l.promised(e)) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(l.promised(a), l.promised(b)), cmp.Compare(a.order, b.order))
	})
	return list
}

// Seal ends the writing: what was reserved and not used is given back.
func (l *Ledger) Seal(now float64, id string) error {
	e := l.entries[id]
	if e == nil || e.phase != Open {
		return fmt.Errorf("ledger: %s is not open", id)
	}
	was := e.holds()
	e.phase, e.reserved, e.sealedAt, e.lastAt = Sealed, 0, now, now
	l.book(e, e.holds()-was)
	return nil
}

// Restore books a sealed result that a restart found.
func (l *Ledger) Restore(id, owner, class string, bytes int64, sealedAt float64) {
	l.order++
	e := &entry{id: id, owner: owner, class: class, phase: Sealed, used: bytes, sealedAt: sealedAt, lastAt: sealedAt, order: l.order}
	l.entries[id] = e
	l.book(e, bytes)
}

// Reading begins a read; false: the result is not there, or its promise has ended.
func (l *Ledger) Reading(now float64, id string) bool {
	e := l.entries[id]
	if e == nil || e.phase != Open && now >= l.promised(e) {
		return false
	}
	e.readers++
	return true
}

// DoneReading ends a read; last: it was of the last page.
func (l *Ledger) DoneReading(now float64, id string, last bool) {
	e := l.entries[id]
	if e == nil || e.readers == 0 {
		return
	}
	e.readers--
	e.lastAt = max(e.lastAt, now)
	if last && e.phase == Sealed {
		e.phase = Read
	}
}

// Expired are the results whose promise has ended and that nobody reads, in order.
func (l *Ledger) Expired(now float64) []string {
	var ids []string
	for _, e := range l.givesWay(now) {
		if now >= l.promised(e) {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// Drop gives all of a result's bytes back, once; false: it was not there.
func (l *Ledger) Drop(id string) bool {
	e := l.entries[id]
	if e == nil {
		return false
	}
	l.book(e, -e.holds())
	delete(l.entries, id)
	return true
}

// Package ledger accounts for the bytes of spooled results and enforces the quotas: it decides whether a result fits,
// which results are evicted for it, when reading from an engine must wait, and how long a rejected client waits
// before it retries.
//
// It does no I/O and reads no clock: callers pass the time as now, in Unix ms. Its sums are exact: bytes are reserved
// before the first page is requested, and freed exactly once.
package ledger

import (
	"errors"
	"fmt"
)

// Errors of calls that are invalid in a result's phase, or with that size. They are wrapped with the result's name.
var (
	ErrExists      = errors.New("ledger: the result exists already")
	ErrNotOpen     = errors.New("ledger: the result is not open")
	ErrInvalidSize = errors.New("ledger: invalid size")
)

// Phase is how far a result has been written and read.
type Phase int

// Phases of a result, in the order in which it passes through them.
const (
	PhaseOpen   Phase = iota // pages are being written
	PhaseSealed              // complete; not yet read to its end
	PhaseRead                // its last page has been read
)

// resultEntry is the accounting of one result.
type resultEntry struct {
	name, owner, class       string
	phase                    Phase
	reservedBytes, usedBytes int64   // bytes
	readerCount              int     // reads in progress
	sealedAtMS, lastReadAtMS float64 // Unix ms; before the first read, lastReadAtMS is the time of Begin or Seal
	order                    int     // number of the Begin or Restore that added the result; an older result has a lower one
}

// bytes returns the size that counts against the quotas: the reservation covers the first pages.
func (e *resultEntry) bytes() int64 { return max(e.reservedBytes, e.usedBytes) }

// Ledger accounts for one spool. It is not safe for concurrent use: the spool's lock protects it.
type Ledger struct {
	limits       Limits
	results      map[string]*resultEntry
	total        int64            // bytes of all results
	bytesByOwner map[string]int64 // bytes by owner
	bytesByClass map[string]int64 // bytes by class
	order        int              // order of the result that was added last
}

// New returns an empty ledger, or a wrapped LimitError.
func New(limits Limits) (*Ledger, error) {
	if err := limits.Check(); err != nil {
		return nil, fmt.Errorf("spool limits: %w", err)
	}
	return &Ledger{limits: limits, results: map[string]*resultEntry{}, bytesByOwner: map[string]int64{}, bytesByClass: map[string]int64{}}, nil
}

// ReservedBytes returns the bytes that all results hold, reserved or used.
func (l *Ledger) ReservedBytes() int64 { return l.total }

// Len returns the number of results.
func (l *Ledger) Len() int { return len(l.results) }

// add changes the sums by the bytes that a result gains, or loses if they are negative.
func (l *Ledger) add(e *resultEntry, bytes int64) {
	l.total += bytes
	l.bytesByOwner[e.owner] += bytes
	l.bytesByClass[e.class] += bytes
	if l.bytesByOwner[e.owner] == 0 {
		delete(l.bytesByOwner, e.owner)
	}
	if l.bytesByClass[e.class] == 0 {
		delete(l.bytesByClass, e.class)
	}
}

// openResult returns the result with this name if it is open, else ErrNotOpen.
func (l *Ledger) openResult(name string) (*resultEntry, error) {
	e := l.results[name]
	if e == nil || e.phase != PhaseOpen {
		return nil, fmt.Errorf("%w: %s", ErrNotOpen, name)
	}
	return e, nil
}

// Begin reserves bytes for a result before its first page is requested. It adds the result only if the verdict is
// Reserved.
func (l *Ledger) Begin(now float64, name, owner, class string, bytes int64) (Decision, error) {
	if l.results[name] != nil {
		return Decision{}, fmt.Errorf("%w: %s", ErrExists, name)
	}
	if bytes < 0 {
		return Decision{}, fmt.Errorf("%w: %d bytes for %s", ErrInvalidSize, bytes, name)
	}
	e := &resultEntry{name: name, owner: owner, class: class, reservedBytes: bytes, lastReadAtMS: now}
	d := l.admit(now, e, bytes, false)
	if d.Verdict == Reserved {
		l.order++
		e.order = l.order
		l.results[name] = e
		l.add(e, bytes)
	}
	return d, nil
}

// Grow accounts for a page before it is written, first from the result's reservation. The page is counted only if the
// verdict is Reserved.
func (l *Ledger) Grow(now float64, name string, bytes int64) (Decision, error) {
	e, err := l.openResult(name)
	if err != nil {
		return Decision{}, err
	}
	if bytes < 0 {
		return Decision{}, fmt.Errorf("%w: %d bytes for %s", ErrInvalidSize, bytes, name)
	}
	beyondReservation := max(e.usedBytes+bytes, e.reservedBytes) - e.bytes()
	d := Decision{Verdict: Reserved}
	if beyondReservation > 0 {
		d = l.admit(now, e, beyondReservation, true)
	}
	if d.Verdict == Reserved {
		e.usedBytes += bytes
		l.add(e, beyondReservation)
	}
	return d, nil
}

// Shrink subtracts the bytes of pages that could not be written, or that another attempt writes again.
func (l *Ledger) Shrink(name string, bytes int64) error {
	e, err := l.openResult(name)
	if err != nil {
		return err
	}
	if bytes > e.usedBytes {
		return fmt.Errorf("%w: %d of %d bytes of %s", ErrInvalidSize, bytes, e.usedBytes, name)
	}
	bytesBefore := e.bytes()
	e.usedBytes -= bytes
	l.add(e, e.bytes()-bytesBefore)
	return nil
}

// Seal marks a result as complete and frees the unused part of its reservation.
func (l *Ledger) Seal(now float64, name string) error {
	e, err := l.openResult(name)
	if err != nil {
		return err
	}
	bytesBefore := e.bytes()
	e.phase, e.reservedBytes, e.sealedAtMS, e.lastReadAtMS = PhaseSealed, 0, now, now
	l.add(e, e.bytes()-bytesBefore)
	return nil
}

// Restore adds a sealed result that was found on the medium at a restart.
func (l *Ledger) Restore(name, owner, class string, bytes int64, sealedAtMS float64) {
	l.order++
	e := &resultEntry{name: name, owner: owner, class: class, phase: PhaseSealed, usedBytes: bytes, sealedAtMS: sealedAtMS, lastReadAtMS: sealedAtMS, order: l.order}
	l.results[name] = e
	l.add(e, bytes)
}

// BeginRead begins a read, which keeps the result from being evicted until EndRead. It reports false if there is no
// such result or its retention is over.
func (l *Ledger) BeginRead(now float64, name string) bool {
	e := l.results[name]
	if e == nil || e.phase != PhaseOpen && now >= l.retainedUntil(e) {
		return false
	}
	e.readerCount++
	return true
}

// EndRead ends a read; isLast is set if the read returned the last page.
func (l *Ledger) EndRead(now float64, name string, isLast bool) {
	e := l.results[name]
	if e == nil || e.readerCount == 0 {
		return
	}
	e.readerCount--
	e.lastReadAtMS = max(e.lastReadAtMS, now)
	if isLast && e.phase == PhaseSealed {
		e.phase = PhaseRead
	}
}

// Expired returns the names of the results whose retention is over and that are not being read, in the order of
// evictable.
func (l *Ledger) Expired(now float64) []string {
	var names []string
	for _, e := range l.evictable(now) {
		if now >= l.retainedUntil(e) {
			names = append(names, e.name)
		}
	}
	return names
}

// Drop frees all bytes of a result and reports whether there was one.
func (l *Ledger) Drop(name string) bool {
	e := l.results[name]
	if e == nil {
		return false
	}
	l.add(e, -e.bytes())
	delete(l.results, name)
	return true
}

package spool

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"aniseloft/internal/spool/ledger"
)

// Writer writes the pages of one result. It may be used by one goroutine at a time.
type Writer struct {
	store  *Store
	result *result
}

// Begin reserves bytes for a result before its first page is requested. Errors are CapacityError, ErrNameUsed and
// ErrMedium.
func (s *Store) Begin(name, owner, class string, reserve int64) (*Writer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := IDFromName(name)
	if _, dropped := s.tombstones[id]; dropped || s.results[id] != nil {
		return nil, fmt.Errorf("%w: %s", ErrNameUsed, name)
	}
	err := s.reserve(func() (ledger.Decision, error) {
		return s.ledger.Begin(s.options.NowMS(), name, owner, class, reserve)
	})
	if err != nil {
		return nil, err
	}
	r := &result{name: name, resultID: id, owner: owner, class: class}
	s.results[id] = r
	return &Writer{s, r}, nil
}

// reserve asks the ledger for bytes and drops the results that it evicts. The caller holds the store's lock.
func (s *Store) reserve(ask func() (ledger.Decision, error)) error {
	d, err := ask()
	if err == nil && d.Verdict == ledger.MustEvict {
		for _, name := range d.Evict {
			if err := s.drop(s.results[IDFromName(name)]); err != nil {
				return err
			}
		}
		d, err = ask()
	}
	if err != nil {
		return err
	}
	if d.Verdict != ledger.Reserved {
		return CapacityError{d}
	}
	return nil
}

// checkOpen returns an error if no page can be written to the result: ErrExpired if it was sealed or dropped,
// ErrMedium if records of it may be lost. The caller holds the store's lock.
func (w *Writer) checkOpen() error {
	switch {
	case w.store.results[w.result.resultID] != w.result || w.result.sealLocation != nil:
		return ErrExpired
	case w.result.isDamaged:
		return ErrMedium
	}
	return nil
}

// WritePage appends the next page. After a CapacityError it may be called again; after any other error the result can only
// be aborted.
func (w *Writer) WritePage(page []byte) error {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := w.checkOpen(); err != nil {
		return err
	}
	stored, flags := compress(page, s.options.Compress)
	size := int64(len(stored))
	err := s.reserve(func() (ledger.Decision, error) {
		return s.ledger.Grow(s.options.NowMS(), w.result.name, size)
	})
	if err != nil {
		return err
	}
	number := uint32(len(w.result.pageLocations))
	at, err := s.append(header{kind: kindPage, flags: flags, resultID: w.result.resultID, page: number, checksum: xxhash.Sum64(stored)}, stored)
	if err != nil {
		_ = s.ledger.Shrink(w.result.name, size)
		return err
	}
	w.result.pageLocations = append(w.result.pageLocations, at)
	w.result.storedBytes += size
	return nil
}

// Seal makes the result complete and durable: once it returns nil, every page can be read until the retention ends, also
// after a crash.
func (w *Writer) Seal() error {
	s, r := w.store, w.result
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := w.checkOpen(); err != nil {
		return err
	}
	now := s.options.NowMS()
	sealJSON, err := json.Marshal(sealRecord{r.name, r.owner, r.class, r.storedBytes, now})
	if err != nil {
		return fmt.Errorf("spool: seal of %s: %w", r.name, err)
	}
	// The pages are synced first: after a crash there must be no seal without its pages.
	if err := s.sync(); err != nil {
		return err
	}
	at, err := s.append(header{kind: kindSeal, resultID: r.resultID, page: uint32(len(r.pageLocations)), checksum: xxhash.Sum64(sealJSON)}, sealJSON)
	if err != nil {
		return err
	}
	if err := s.sync(); err != nil {
		return err
	}
	r.sealLocation = &at
	return s.ledger.Seal(now, r.name)
}

// Reset discards the pages written so far, as another attempt writes the result from its beginning. If a page is then
// stored twice, the later record counts.
func (w *Writer) Reset() error {
	s, r := w.store, w.result
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := w.checkOpen(); err != nil {
		return err
	}
	s.markDead(r)
	err := s.ledger.Shrink(r.name, r.storedBytes)
	r.pageLocations, r.storedBytes = nil, 0
	return errors.Join(err, s.reclaim())
}

// Abort drops the result and frees its bytes at once.
func (w *Writer) Abort() error { return w.store.Drop(w.result.name) }

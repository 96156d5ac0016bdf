// Package spool stores the results of queries page by page, independently of the engines that produced them, until
// clients have read them. It is an append-only store of segments, in memory or in a directory, with quotas and
// retention times.
//
// A Writer writes a result and seals it. From then on each of its pages can be read, also after a crash, until its
// retention ends. Package ledger enforces the quotas.
package spool

import (
	"errors"
	"sync"

	"aniseloft/internal/spool/ledger"
)

// Errors of the store. Some are returned wrapped, with details.
var (
	ErrNotFound    = errors.New("spool: no such result")
	ErrNoPage      = errors.New("spool: no such page")
	ErrExpired     = errors.New("spool: the result has expired") // also returned for a write to a result that was sealed or dropped
	ErrNameUsed    = errors.New("spool: the name has been used")
	ErrCorruptPage = errors.New("spool: the page is corrupt")
	ErrMedium      = errors.New("spool: the medium failed")
)

var errSegmentBytes = errors.New("spool: segment bytes: must be above 0")

// CapacityError reports that a result does not fit under the quotas, with the ledger's decision.
type CapacityError struct{ ledger.Decision }

func (e CapacityError) Error() string { return "spool: " + e.Reason }

// Options are the settings of a Store.
type Options struct {
	Limits       ledger.Limits
	SegmentBytes int64          // a segment of this size or more is full
	NowMS        func() float64 // returns the current time, Unix ms
	// Compress stores a page compressed with zstd if that saves an eighth or more. Quotas count the stored size.
	Compress bool
}

// Store is a spool. It is safe for concurrent use: mu protects all fields and the segments' accounting. Only Read
// accesses the medium without holding it.
type Store struct {
	mu                sync.Mutex
	medium            Medium
	options           Options
	ledger            *ledger.Ledger
	results           map[ID]*result
	segments          map[uint64]*segment
	currentSegment    *segment // segment to which records are appended; nil: the next append creates one
	nextSegmentNumber uint64   // number of the next segment
	recordBuffer      []byte   // reused between appends
	// tombstones holds the location of the tombstone of each dropped result that has older records in some segment.
	tombstones map[ID]location
}

// result is an open or sealed result of the store.
type result struct {
	name          string
	resultID      ID
	owner         string
	class         string
	pageLocations []location
	sealLocation  *location // where the seal is stored; nil: the result is open
	storedBytes   int64     // stored size of the pages
	isDamaged     bool      // some of the result's records may not have reached the medium
}

// eachRecord calls f for each live record of the result.
func (r *result) eachRecord(f func(location)) {
	for _, page := range r.pageLocations {
		f(page)
	}
	if r.sealLocation != nil {
		f(*r.sealLocation)
	}
}

// Open reads the medium and returns a store with the sealed results found there; incomplete ones are discarded. The
// caller closes the medium.
func Open(m Medium, options Options) (*Store, Recovery, error) {
	l, err := ledger.New(options.Limits)
	if err != nil {
		return nil, Recovery{}, err
	}
	if options.SegmentBytes <= 0 {
		return nil, Recovery{}, errSegmentBytes
	}
	s := &Store{
		medium: m, options: options, ledger: l,
		results: map[ID]*result{}, segments: map[uint64]*segment{}, tombstones: map[ID]location{},
	}
	found, err := s.recover()
	if err != nil {
		return nil, found, err
	}
	return s, found, nil
}

// Usage is the number and size of the results and segments of a spool.
type Usage struct {
	Results       int   `json:"results"`
	ReservedBytes int64 `json:"held_bytes"`   // accounted by the ledger: reserved or used by results
	StoredBytes   int64 `json:"stored_bytes"` // size of the segments, dead records included
	Segments      int   `json:"segments"`
}

// Usage returns the current usage of the spool.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Usage{Results: len(s.results), ReservedBytes: s.ledger.ReservedBytes(), Segments: len(s.segments)}
	for _, seg := range s.segments {
		u.StoredBytes += seg.size
	}
	return u
}

// Close syncs and closes the segments; sealed results stay on the medium.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.sync()
	for _, seg := range s.segments {
		err = errors.Join(err, seg.file.Close())
	}
	return err
}

package spool

import "fmt"

// Read returns one page of a result after verifying its checksum. isLast reports that the result is sealed and that
// this is its last page. Errors are ErrNotFound, ErrNoPage, ErrExpired, ErrMedium and ErrCorruptPage.
func (s *Store) Read(name string, page int) (b []byte, isLast bool, err error) {
	r, at, seg, err := s.beginRead(name, page)
	if err != nil {
		return nil, false, err
	}
	stored := make([]byte, at.length)
	_, readErr := seg.file.ReadAt(stored, at.payloadOffset())
	isLast = s.endRead(r, page, seg, readErr == nil)
	if readErr != nil {
		return nil, false, fmt.Errorf("%w: segment %016x, offset %d: %w", ErrMedium, at.segment, at.offset, readErr)
	}
	if b, err = decompress(at, stored); err != nil {
		return nil, false, fmt.Errorf("%w: segment %016x, page %d, offset %d: %w", ErrCorruptPage, at.segment, page, at.offset, err)
	}
	return b, isLast, nil
}

// beginRead looks up a page. Until endRead its result is not evicted and its segment is not removed.
func (s *Store) beginRead(name string, page int) (*result, location, *segment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results[IDFromName(name)]
	switch {
	case r == nil:
		return nil, location{}, nil, ErrNotFound
	case page < 0 || page >= len(r.pageLocations):
		return nil, location{}, nil, ErrNoPage
	case !s.ledger.BeginRead(s.options.NowMS(), name):
		return nil, location{}, nil, ErrExpired
	}
	at := r.pageLocations[page]
	seg := s.segments[at.segment]
	seg.readerCount++
	return r, at, seg, nil
}

// endRead ends a read and reports whether the page was the last one of a sealed result.
func (s *Store) endRead(r *result, page int, seg *segment, succeeded bool) (isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg.readerCount--
	isLast = r.sealLocation != nil && page == len(r.pageLocations)-1
	s.ledger.EndRead(s.options.NowMS(), r.name, isLast && succeeded)
	return isLast
}

// Pages returns the number of pages written to a result so far, and whether it is sealed.
func (s *Store) Pages(name string) (count int, isSealed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results[IDFromName(name)]
	if r == nil {
		return 0, false, ErrNotFound
	}
	return len(r.pageLocations), r.sealLocation != nil, nil
}

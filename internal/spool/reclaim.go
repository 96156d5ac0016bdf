package spool

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Drop drops a result and frees its bytes at once; a restart does not restore it. Errors are ErrNotFound and ErrMedium.
func (s *Store) Drop(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.results[IDFromName(name)]
	if r == nil {
		return ErrNotFound
	}
	if err := s.drop(r); err != nil {
		return err
	}
	return s.reclaim()
}

// drop removes a result from the store. For a sealed one it writes a tombstone, as a restart would restore it
// otherwise.
func (s *Store) drop(r *result) error {
	delete(s.results, r.resultID)
	s.ledger.Drop(r.name)
	s.markDead(r)
	if r.sealLocation == nil {
		return nil
	}
	at, err := s.append(header{kind: kindTombstone, resultID: r.resultID, checksum: xxhash.Sum64(nil)}, nil)
	if err != nil {
		return err
	}
	s.tombstones[r.resultID] = at
	return s.sync()
}

// Expire drops the results whose retention is over and returns their number. Callers run it periodically.
func (s *Store) Expire() (droppedCount int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.ledger.Expired(s.options.NowMS()) {
		if err := s.drop(s.results[IDFromName(name)]); err != nil {
			return droppedCount, err
		}
		droppedCount++
	}
	return droppedCount, s.reclaim()
}

// compactBelowRatio is the fraction of live bytes at or below which a segment is compacted.
const compactBelowRatio = 0.5

// reclaim removes segments that contain no live record, that is no record that is still needed. It first compacts
// segments with few live records, which copies these to the current segment.
func (s *Store) reclaim() error {
	s.forgetTombstones()
	for _, number := range slices.Sorted(maps.Keys(s.segments)) {
		seg := s.segments[number]
		isMostlyLive := float64(seg.liveBytes) > compactBelowRatio*float64(seg.size)
		if seg == s.currentSegment || seg.readerCount > 0 || isMostlyLive {
			continue
		}
		if seg.liveBytes > 0 {
			if err := s.compact(seg); err != nil {
				return err
			}
		}
		if err := s.medium.Remove(number); err != nil {
			return fmt.Errorf("%w: %w", ErrMedium, err)
		}
		_ = seg.file.Close()
		delete(s.segments, number)
		s.forgetTombstones()
	}
	return nil
}

// forgetTombstones marks a tombstone as dead, that is no longer needed, once the result that was dropped has no other
// record in any segment.
func (s *Store) forgetTombstones() {
	for id, tombstoneLocation := range s.tombstones {
		recordCount := 0
		for _, seg := range s.segments {
			recordCount += seg.recordCounts[id]
		}
		isOnlyRecord := recordCount <= 1
		if isOnlyRecord {
			s.segments[tombstoneLocation.segment].liveBytes -= tombstoneLocation.size()
			delete(s.tombstones, id)
		}
	}
}

// compact copies the live records of a segment to the current one. Results refer to the copies only after these are
// synced, so that the old records stay valid if the sync fails.
func (s *Store) compact(seg *segment) error {
	m := mover{store: s, fromSegment: seg}
	ids := slices.SortedFunc(maps.Keys(seg.recordCounts), func(a, b ID) int { return slices.Compare(a[:], b[:]) })
	for _, id := range ids {
		if err := m.moveResult(id); err != nil {
			return err
		}
	}
	if err := s.sync(); err != nil {
		return err
	}
	for _, update := range m.updates {
		update()
	}
	return nil
}

// mover copies records from one segment and collects the updates that make the store refer to the copies.
type mover struct {
	store       *Store
	fromSegment *segment
	updates     []func()
}

// moveResult copies the records of a result that are in the segment: its pages, seal and tombstone.
func (m *mover) moveResult(id ID) error {
	if r := m.store.results[id]; r != nil {
		for i := range r.pageLocations {
			page := header{kind: kindPage, resultID: id, page: uint32(i)}
			if err := m.move(page, r.pageLocations[i], func(to location) { r.pageLocations[i] = to }); err != nil {
				return err
			}
		}
		if r.sealLocation != nil {
			seal := header{kind: kindSeal, resultID: id, page: uint32(len(r.pageLocations))}
			if err := m.move(seal, *r.sealLocation, func(to location) { r.sealLocation = &to }); err != nil {
				return err
			}
		}
	}
	if at, dropped := m.store.tombstones[id]; dropped {
		return m.move(header{kind: kindTombstone, resultID: id}, at, func(to location) { m.store.tombstones[id] = to })
	}
	return nil
}

// move copies one record if it is in the segment. The checksum is copied without being verified, so that a corrupt page
// stays detectable.
func (m *mover) move(h header, at location, update func(to location)) error {
	if at.segment != m.fromSegment.number {
		return nil
	}
	payload := make([]byte, at.length)
	if _, err := m.fromSegment.file.ReadAt(payload, at.payloadOffset()); err != nil {
		return fmt.Errorf("%w: segment %016x: %w", ErrMedium, m.fromSegment.number, err)
	}
	h.flags, h.checksum = at.flags, at.checksum
	to, err := m.store.append(h, payload)
	if err != nil {
		return err
	}
	m.updates = append(m.updates, func() { update(to) })
	return nil
}

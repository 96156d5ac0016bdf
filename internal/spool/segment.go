package spool

import (
	"errors"
	"fmt"
)

// segment is a file of records with its accounting. The store's lock protects it.
type segment struct {
	number       uint64
	file         Segment
	size         int64      // bytes
	liveBytes    int64      // bytes of the records that are still needed
	recordCounts map[ID]int // number of records of each result, dead ones included
	isRetired    bool       // no more records are appended, as the last one may be incomplete
	hasUnsynced  bool       // some records were appended after the last sync
	readerCount  int        // reads in progress; the segment is not removed while there are any
}

// maxKeptBufferBytes is the largest buffer, in bytes, that is kept for the next record.
const maxKeptBufferBytes = 1 << 20

var errShortWrite = errors.New("short write")

// append writes a record at the end of the current segment, completely or not at all. It sets the header's length; the
// caller sets the checksum, as the checksum of a corrupt page must not become valid when the page is copied.
func (s *Store) append(h header, payload []byte) (location, error) {
	if err := s.ensureSegment(); err != nil {
		return location{}, err
	}
	seg := s.currentSegment
	record := appendRecord(s.recordBuffer[:0], h, payload)
	s.recordBuffer = record
	if cap(record) > maxKeptBufferBytes {
		s.recordBuffer = nil
	}
	written, err := seg.file.Write(record)
	if err == nil && written < len(record) {
		err = errShortWrite
	}
	if err != nil {
		if truncateErr := seg.file.Truncate(seg.size); truncateErr != nil {
			s.retire(seg)
		}
		return location{}, fmt.Errorf("%w: segment %016x: %w", ErrMedium, seg.number, err)
	}
	at := location{segment: seg.number, offset: seg.size, length: uint32(len(payload)), checksum: h.checksum, flags: h.flags}
	seg.size += int64(len(record))
	seg.liveBytes += int64(len(record))
	seg.recordCounts[h.resultID]++
	seg.hasUnsynced = true
	return at, nil
}

// ensureSegment creates a segment if there is no current one or it is full.
func (s *Store) ensureSegment() error {
	if s.currentSegment != nil && s.currentSegment.size < s.options.SegmentBytes {
		return nil
	}
	number := s.nextSegmentNumber
	s.nextSegmentNumber++ // incremented after a failure too, which may leave a file with that number
	file, err := s.medium.Create(number)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMedium, err)
	}
	s.currentSegment = &segment{number: number, file: file, recordCounts: map[ID]int{}}
	s.segments[number] = s.currentSegment
	return nil
}

// retire ends appending to a segment after an error. Its unsynced records may be lost, so every open result with
// records in it is marked as damaged.
func (s *Store) retire(seg *segment) {
	seg.isRetired, seg.hasUnsynced = true, false
	if s.currentSegment == seg {
		s.currentSegment = nil
	}
	for _, r := range s.results {
		if r.sealLocation == nil && seg.recordCounts[r.resultID] > 0 {
			r.isDamaged = true
		}
	}
}

// sync makes all records durable. A segment whose sync fails is retired, as a later sync may succeed although records
// were lost.
func (s *Store) sync() error {
	for _, seg := range s.segments {
		if !seg.hasUnsynced {
			continue
		}
		if err := seg.file.Sync(); err != nil {
			s.retire(seg)
			return fmt.Errorf("%w: segment %016x: %w", ErrMedium, seg.number, err)
		}
		seg.hasUnsynced = false
	}
	return nil
}

// markDead subtracts a result's records from the live bytes of their segments.
func (s *Store) markDead(r *result) {
	r.eachRecord(func(at location) { s.segments[at.segment].liveBytes -= at.size() })
}

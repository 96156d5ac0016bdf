package spool

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// Memory is a Medium whose contents are lost when the process ends. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	segments map[uint64]*memorySegment
}

// NewMemory returns an empty medium.
func NewMemory() *Memory { return &Memory{segments: map[uint64]*memorySegment{}} }

// Create creates an empty segment.
func (m *Memory) Create(number uint64) (Segment, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.segments[number] != nil {
		return nil, fmt.Errorf("spool: segment %d: %w", number, fs.ErrExist)
	}
	m.segments[number] = &memorySegment{}
	return m.segments[number], nil
}

// Open returns a segment.
func (m *Memory) Open(number uint64) (Segment, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if seg := m.segments[number]; seg != nil {
		return seg, nil
	}
	return nil, fmt.Errorf("spool: segment %d: %w", number, fs.ErrNotExist)
}

// Remove removes a segment.
func (m *Memory) Remove(number uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.segments, number)
	return nil
}

// List returns the numbers of all segments.
func (m *Memory) List() ([]uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.segments)), nil
}

// memorySegment keeps each write as a separate piece, so that an append does not copy earlier data.
type memorySegment struct {
	mu      sync.RWMutex
	pieces  [][]byte
	offsets []int64 // offset of each piece
	size    int64
}

func (s *memorySegment) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces, s.offsets = append(s.pieces, slices.Clone(b)), append(s.offsets, s.size)
	s.size += int64(len(b))
	return len(b), nil
}

func (s *memorySegment) ReadAt(b []byte, offset int64) (readCount int, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	pieceIndex, startsPiece := slices.BinarySearch(s.offsets, offset)
	if !startsPiece {
		pieceIndex-- // the piece that contains the offset
	}
	for ; readCount < len(b) && pieceIndex >= 0 && pieceIndex < len(s.pieces); pieceIndex++ {
		pieceOffset := offset + int64(readCount) - s.offsets[pieceIndex]
		if pieceOffset < int64(len(s.pieces[pieceIndex])) {
			readCount += copy(b[readCount:], s.pieces[pieceIndex][pieceOffset:])
		}
	}
	if readCount < len(b) {
		return readCount, io.EOF
	}
	return readCount, nil
}

func (s *memorySegment) Truncate(size int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pieces) > 0 && s.offsets[len(s.offsets)-1] >= size {
		s.pieces, s.offsets = s.pieces[:len(s.pieces)-1], s.offsets[:len(s.offsets)-1]
	}
	if last := len(s.pieces) - 1; last >= 0 {
		s.pieces[last] = s.pieces[last][:min(int64(len(s.pieces[last])), size-s.offsets[last])]
	}
	s.size = min(s.size, size)
	return nil
}

func (s *memorySegment) Size() (int64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.size, nil
}

func (s *memorySegment) Sync() error  { return nil }
func (s *memorySegment) Close() error { return nil }

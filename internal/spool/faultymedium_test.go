package spool

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
)

// faultyMedium is a Medium in memory that fails at a step, which is a call that changes it: from failAt on every step
// fails, or only that one if transient is set. restart drops unsynced bytes from any offset on.
type faultyMedium struct {
	segments       map[uint64]*faultySegment
	stepCount      int // number of steps so far
	failAt         int // 0: never
	transient      bool
	failsAlways    bool   // if set, every further step fails
	partialPercent int    // percentage of the bytes of a failing write that are written nevertheless
	onRead         func() // called once, within the next read
}

type faultySegment struct {
	medium      *faultyMedium
	data        []byte
	syncedBytes int // number of bytes that survive a restart
}

var errNoSpace = errors.New("no space left on device")

// nextStep counts a step, and returns an error if this step must fail.
func (m *faultyMedium) nextStep() error {
	m.stepCount++
	if m.failsAlways || m.stepCount == m.failAt {
		m.failsAlways = !m.transient
		return errNoSpace
	}
	return nil
}

func (m *faultyMedium) Create(n uint64) (Segment, error) {
	if err := m.nextStep(); err != nil {
		return nil, err
	}
	m.segments[n] = &faultySegment{medium: m}
	return m.segments[n], nil
}

func (m *faultyMedium) Open(n uint64) (Segment, error) { return m.segments[n], nil }

func (m *faultyMedium) Remove(n uint64) error {
	if err := m.nextStep(); err != nil {
		return err
	}
	delete(m.segments, n)
	return nil
}

func (m *faultyMedium) List() (l []uint64, err error) {
	for n := range m.segments {
		l = append(l, n)
	}
	slices.Sort(l)
	return l, nil
}

func (s *faultySegment) Write(b []byte) (int, error) {
	if err := s.medium.nextStep(); err != nil {
		n := len(b) * s.medium.partialPercent / 100
		s.data = append(s.data, b[:n]...)
		return n, err
	}
	s.data = append(s.data, b...)
	return len(b), nil
}

func (s *faultySegment) ReadAt(b []byte, at int64) (int, error) {
	if f := s.medium.onRead; f != nil {
		s.medium.onRead = nil
		f()
	}
	n := copy(b, s.data[min(at, int64(len(s.data))):])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (s *faultySegment) Sync() error {
	if err := s.medium.nextStep(); err != nil {
		return err
	}
	s.syncedBytes = len(s.data)
	return nil
}

func (s *faultySegment) Truncate(n int64) error {
	if err := s.medium.nextStep(); err != nil {
		return err
	}
	s.data = s.data[:n]
	s.syncedBytes = min(s.syncedBytes, int(n))
	return nil
}

func (s *faultySegment) Size() (int64, error) { return int64(len(s.data)), nil }
func (s *faultySegment) Close() error         { return nil }

// restart returns a medium with the data after a crash: a random part of each segment's unsynced bytes is lost.
func (m *faultyMedium) restart(rng *rand.Rand) *faultyMedium {
	restarted := &faultyMedium{segments: map[uint64]*faultySegment{}}
	for number, segment := range m.segments {
		keep := segment.syncedBytes + rng.IntN(len(segment.data)-segment.syncedBytes+1)
		restarted.segments[number] = &faultySegment{medium: restarted, data: slices.Clone(segment.data[:keep]), syncedBytes: keep}
	}
	return restarted
}

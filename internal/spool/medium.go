package spool

import "io"

// Medium stores segments, as files in a directory or in memory. Store calls its methods while holding its own lock.
type Medium interface {
	// Create creates an empty segment. It fails if a segment with this number exists.
	Create(number uint64) (Segment, error)
	// Open opens an existing segment, to be read and appended to.
	Open(number uint64) (Segment, error)
	// Remove removes a segment. A segment that is open can still be read until it is closed.
	Remove(number uint64) error
	// List returns the numbers of all segments in ascending order.
	List() ([]uint64, error)
}

// Segment is an append-only sequence of bytes. It can be read while it is appended to.
type Segment interface {
	io.Writer // appends at the end
	io.ReaderAt
	Sync() error
	// Truncate cuts the segment to size, to remove the incomplete record of a failed write.
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

package spool

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

const (
	segmentSuffix   = ".seg" // follows the segment's number, which has 16 hexadecimal digits
	lockFileName    = "lock"
	privateFileMode = 0o600 // results hold private data of their owners
	directoryMode   = 0o700
)

// Directory is a Medium that stores segments as files in one directory. Only the process that holds its lock may write
// to it.
type Directory struct {
	path       string
	lockedFile *os.File // the locked file; nil: the directory was opened for reading only
}

// ErrInUse is returned if another process holds the spool's lock.
var ErrInUse = errors.New("spool: in use by another process")

// OpenDirectory creates the directory if it is missing and holds its lock until Close or the end of the process.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, privateFileMode)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%w: %s", ErrInUse, path)
	}
	return &Directory{path, lock}, nil
}

// ReadDirectory opens a spool's directory for reading, without its lock. Another process may use the spool meanwhile,
// as segments are only appended to.
func ReadDirectory(path string) (*Directory, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("spool: %s is not a directory", path)
	}
	return &Directory{path: path}, nil
}

// Close releases the lock.
func (d *Directory) Close() error {
	if d.lockedFile == nil {
		return nil
	}
	return d.lockedFile.Close()
}

func (d *Directory) segmentPath(number uint64) string {
	return filepath.Join(d.path, fmt.Sprintf("%016x", number)+segmentSuffix)
}

// Create creates a segment's file and syncs the directory, so that the file is found after a crash.
func (d *Directory) Create(number uint64) (Segment, error) {
	f, err := os.OpenFile(d.segmentPath(number), os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, privateFileMode)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if err := d.sync(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return segmentFile{f}, nil
}

// Open opens a segment's file.
func (d *Directory) Open(number uint64) (Segment, error) {
	f, err := os.OpenFile(d.segmentPath(number), os.O_RDWR|os.O_APPEND, privateFileMode)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return segmentFile{f}, nil
}

// Remove deletes a segment's file, if there is one.
func (d *Directory) Remove(number uint64) error {
	if err := os.Remove(d.segmentPath(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("spool: %w", err)
	}
	return d.sync()
}

// List returns the numbers of the segments' files; other files are ignored.
func (d *Directory) List() ([]uint64, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	var numbers []uint64
	for _, e := range entries {
		digits, isSegment := strings.CutSuffix(e.Name(), segmentSuffix)
		number, err := strconv.ParseUint(digits, 16, 64)
		if isSegment && err == nil && len(digits) == 16 {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// sync makes the creation and removal of files durable.
func (d *Directory) sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return nil
}

type segmentFile struct{ *os.File }

// Size returns the file's size in bytes.
func (f segmentFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, fmt.Errorf("spool: %w", err)
	}
	return info.Size(), nil
}

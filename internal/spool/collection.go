package spool

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// CoordinatorDirectory returns a coordinator's own directory under a root that several share.
func CoordinatorDirectory(root, name string) string { return filepath.Join(root, name) }

// Collection counts what CollectUnowned found and removed.
type Collection struct {
	Unowned int // directories that no coordinator uses
	InUse   int // directories that are locked by a process
	Expired int // expired results that were dropped
	Removed int // directories that were removed, as no result was left in them
}

// CollectUnowned drops the expired results in the directories of coordinators that are gone, under a shared root, and
// removes the directories that are left without results. It skips ownName, the caller's directory, and directories that
// are in use: their own coordinators collect them.
func CollectUnowned(root, ownName string, options Options) (c Collection, err error) {
	entries, err := os.ReadDir(root)
	if err != nil {
		return c, fmt.Errorf("spool: %w", err)
	}
	for _, e := range entries {
		if !e.IsDir() || e.Name() == ownName {
			continue
		}
		if err := c.collect(filepath.Join(root, e.Name()), options); err != nil {
			return c, err
		}
	}
	return c, nil
}

// collect collects one directory while holding its lock; a directory in use is only counted.
func (c *Collection) collect(path string, options Options) error {
	directory, err := OpenDirectory(path)
	if errors.Is(err, ErrInUse) {
		c.InUse++
		return nil
	}
	if err != nil {
		return err
	}
	c.Unowned++
	err = c.expire(directory, options)
	if closeErr := directory.Close(); closeErr != nil {
		err = errors.Join(err, fmt.Errorf("spool: %w", closeErr))
	}
	return err
}

// expire drops the expired results of a directory, and removes the directory if no result is left.
func (c *Collection) expire(directory *Directory, options Options) error {
	s, _, err := Open(directory, options)
	if err != nil { // a directory that is damaged, or written by a later release, is left to its coordinator
		return nil
	}
	expiredCount, err := s.Expire()
	remainingCount := s.Usage().Results
	if err = errors.Join(err, s.Close()); err != nil {
		return err
	}
	c.Expired += expiredCount
	if remainingCount > 0 {
		return nil
	}
	c.Removed++
	// The lock is held until the directory is removed: a coordinator that starts after that creates a new one.
	if err := os.RemoveAll(directory.path); err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return nil
}

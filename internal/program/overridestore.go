package program

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"aniseloft/internal/millis"
	"aniseloft/internal/overrides"
)

const (
	// stateFileName is the name of the state file in $TMPDIR, which the old and the new process of an upgrade share.
	stateFileName = "aniseloft-state.json"
	// statePollInterval is how often a process checks the state file for changes by the other process of an upgrade.
	statePollInterval = 100 * time.Millisecond
	// stateLockTries is the maximum number of attempts to take the file lock. It is limited because an operator's call
	// must be answered in time.
	stateLockTries = 20
)

// logStateUnreadable is the log message if the state file's status or content can't be read.
const logStateUnreadable = "state file unreadable"

// errStateUnreadable is returned if the state file can't be read now; a later attempt may succeed.
var errStateUnreadable = errors.New("state file unreadable")

// overrideStore synchronizes the admin overrides of this process with the state file. Its mutex orders
// changes within the process; the file lock orders the changes of both processes of an upgrade.
type overrideStore struct {
	path            string
	updateOverrides func(func(*overrides.Set) (changed bool)) // runs a function on the dispatcher's overrides, under their lock
	log             *slog.Logger

	mu              sync.Mutex
	fileModTime     time.Time          // modification time of the file when it was last read or written
	fileSize        int64              // size of the file at that time, in bytes
	unsyncedChanges []overrides.Change // changes made without the file lock, so the file may lack them
}

func newOverrideStore(dir string, updateOverrides func(func(*overrides.Set) (changed bool)), log *slog.Logger) *overrideStore {
	return &overrideStore{path: filepath.Join(dir, stateFileName), updateOverrides: updateOverrides, log: log}
}

// load adopts the overrides of an earlier process at startup.
func (s *overrideStore) load() {
	if _, err := os.Stat(s.path); errors.Is(err, fs.ErrNotExist) {
		s.log.Info("no state file: no endpoint is suspended", "path", s.path)
		return
	}
	s.readFile()
}

// watch adopts the changes that the other process of an upgrade writes, until ctx ends.
func (s *overrideStore) watch(ctx context.Context) {
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.poll()
		}
	}
}

func (s *overrideStore) poll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	lockHeld := false
	if len(s.unsyncedChanges) > 0 {
		var unlock func()
		unlock, lockHeld = lockFile(s.lockPath(), 1)
		defer unlock()
	}
	s.synchronize(lockHeld)
}

// change adopts what the other process wrote, makes a change with apply and writes the file. If the
// file lock is not available it does so without the lock, as an operator's call must not wait, and
// the change is reconciled with the file later.
func (s *overrideStore) change(change overrides.Change, apply func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, lockHeld := lockFile(s.lockPath(), stateLockTries)
	defer unlock()
	s.synchronize(lockHeld)
	sequenceBefore, _ := s.snapshot()
	if err := apply(); err != nil {
		return err
	}
	sequenceAfter, content := s.snapshot()
	if sequenceAfter == sequenceBefore {
		return nil
	}
	if !lockHeld {
		s.unsyncedChanges = append(s.unsyncedChanges, change)
	}
	s.writeFile(content)
	return nil
}

// snapshot returns the sequence of the overrides and their encoding for the state file.
func (s *overrideStore) snapshot() (sequence uint64, content []byte) {
	s.updateOverrides(func(set *overrides.Set) bool {
		sequence, content = set.Sequence(), set.Encode(millis.Now())
		return false
	})
	return sequence, content
}

// synchronize adopts what the other process wrote. If the file may lack changes of this process, it instead
// reconciles these changes with the file, provided that the file lock is held (lockHeld); otherwise it does nothing.
func (s *overrideStore) synchronize(lockHeld bool) {
	if len(s.unsyncedChanges) == 0 {
		s.readFile()
		return
	}
	if lockHeld {
		s.reconcile()
	}
}

// reconcile merges the unsynced changes with the state in the file. The file lock must be held.
func (s *overrideStore) reconcile() {
	state, err := s.decodeFile()
	if errors.Is(err, errStateUnreadable) {
		return // retried at the next poll
	}
	fileOutdated := err != nil
	var content []byte
	s.updateOverrides(func(set *overrides.Set) bool {
		now := millis.Now()
		if err == nil {
			fileOutdated = set.Reconcile(state, s.unsyncedChanges, now)
		}
		content = set.Encode(now)
		return true
	})
	s.unsyncedChanges = nil
	if fileOutdated {
		s.log.Info("state file reconciled", "path", s.path)
		s.writeFile(content)
	}
}

// readFile adopts the state in the file if the file has changed and its state is newer. A missing file
// has no effect.
func (s *overrideStore) readFile() {
	fileInfo, err := os.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		s.log.Warn(logStateUnreadable, "path", s.path, "err", err)
		return
	}
	if fileInfo.ModTime().Equal(s.fileModTime) && fileInfo.Size() == s.fileSize {
		return
	}
	state, err := s.decodeFile()
	if errors.Is(err, errStateUnreadable) {
		return
	}
	s.fileModTime, s.fileSize = fileInfo.ModTime(), fileInfo.Size()
	if err == nil {
		s.adopt(state)
	}
}

func (s *overrideStore) adopt(state overrides.State) {
	s.updateOverrides(func(set *overrides.Set) bool {
		if !set.Adopt(state) {
			return false
		}
		s.log.Info("state file adopted", "path", s.path, "sequence", state.Sequence, "suspensions", len(state.Suspensions),
			"age_ms", int64(millis.Now()-state.WrittenAt))
		return true
	})
}

// decodeFile reads and decodes the file. An invalid file is logged and renamed, and the overrides of this process stay.
func (s *overrideStore) decodeFile() (overrides.State, error) {
	content, err := os.ReadFile(s.path)
	if err != nil {
		s.log.Warn(logStateUnreadable, "path", s.path, "err", err)
		return overrides.State{}, errStateUnreadable
	}
	state, err := overrides.Decode(content)
	if err != nil {
		renamedPath := s.path + ".bad-" + strconv.FormatInt(time.Now().UnixMilli(), 10)
		s.log.Error("state file not used; kept aside", "path", s.path, "aside", renamedPath, "err", err)
		_ = os.Rename(s.path, renamedPath)
	}
	return state, err
}

// writeFile replaces the file. On an error the overrides stay in effect in this process, but an upgrade would lose them.
func (s *overrideStore) writeFile(content []byte) {
	if err := replaceFile(s.path, content); err != nil {
		s.log.Error("state file not written", "path", s.path, "err", err)
		return
	}
	if fileInfo, err := os.Stat(s.path); err == nil {
		s.fileModTime, s.fileSize = fileInfo.ModTime(), fileInfo.Size()
	}
}

func (s *overrideStore) lockPath() string { return s.path + ".lock" }

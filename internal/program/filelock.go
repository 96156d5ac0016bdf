package program

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// lockRetryInterval is the time between two attempts to take a file lock.
const lockRetryInterval = 5 * time.Millisecond

// lockFile takes an exclusive advisory lock on path, trying at most the given number of times. The caller
// must call unlock in any case. If locked is false, the lock is not held and the caller continues without it.
func lockFile(path string, tries int) (unlock func(), locked bool) {
	fd, err := syscall.Open(path, syscall.O_CREAT|syscall.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return func() {}, false
	}
	for n := range tries {
		if n > 0 {
			time.Sleep(lockRetryInterval)
		}
		if err = syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
	}
	return func() {
		if err == nil {
			_ = syscall.Flock(fd, syscall.LOCK_UN)
		}
		_ = syscall.Close(fd)
	}, err == nil
}

// replaceFile replaces a file atomically: a process that is killed meanwhile leaves the old file and a temporary file
// that is never read. It does not sync, as the file need not survive a crash of the machine.
func replaceFile(path string, content []byte) error {
	temporary := path + ".tmp-" + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temporary, content, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary)
		return fmt.Errorf("rename %s: %w", temporary, err)
	}
	return nil
}

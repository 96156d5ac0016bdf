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
// must call unlock in any case. If lockHeld is false, the lock is not held and the caller continues without it.
func lockFile(path string, maxTries int) (unlock func(), lockHeld bool) {
	fd, err := syscall.Open(path, syscall.O_CREAT|syscall.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return func() {}, false
	}
	for tryIndex := range maxTries {
		if tryIndex > 0 {
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
	temporaryPath := path + ".tmp-" + strconv.Itoa(os.Getpid())
	if err := os.WriteFile(temporaryPath, content, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", temporaryPath, err)
	}
	if err := os.Rename(temporaryPath, path); err != nil {
		_ = os.Remove(temporaryPath)
		return fmt.Errorf("rename %s: %w", temporaryPath, err)
	}
	return nil
}

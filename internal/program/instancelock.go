package program

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// instanceFilePrefix is the name prefix of the instance files in $TMPDIR, by which processes of one
// coordinator detect each other. Each process locks its own file; the kernel releases the lock when the
// process ends.
const instanceFilePrefix = "aniseloft-live-"

// noDescriptor is the descriptor of an instance file that could not be created or locked.
const noDescriptor = -1

// instanceLock is this process's instance file, which stays locked until the process ends.
type instanceLock struct {
	dir        string
	descriptor int
}

// lockInstance creates and locks this process's instance file. If that fails, a later process does not
// detect this one and behaves as if it were the only process.
func lockInstance(dir string) *instanceLock {
	l := &instanceLock{dir: dir, descriptor: noDescriptor}
	fd, err := syscall.Open(l.path(), syscall.O_CREAT|syscall.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return l
	}
	if syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		_ = syscall.Close(fd)
		return l
	}
	l.descriptor = fd
	return l
}

func (l *instanceLock) path() string {
	return filepath.Join(l.dir, instanceFilePrefix+strconv.Itoa(os.Getpid()))
}

// othersRunning reports whether another process of this coordinator is running; after SIGTERM that is the
// successor in an upgrade. It removes the instance files of processes that have ended.
func (l *instanceLock) othersRunning() bool {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return false
	}
	otherRunning := false
	for _, entry := range entries {
		path := filepath.Join(l.dir, entry.Name())
		if strings.HasPrefix(entry.Name(), instanceFilePrefix) && path != l.path() && probeInstance(path) {
			otherRunning = true
		}
	}
	return otherRunning
}

// probeInstance reports whether the process of an instance file is running, and removes the file otherwise.
func probeInstance(path string) (running bool) {
	fd, err := syscall.Open(path, syscall.O_RDWR|syscall.O_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer func() { _ = syscall.Close(fd) }()
	err = syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		_ = os.Remove(path)
	}
	return errors.Is(err, syscall.EWOULDBLOCK)
}

// release removes this process's instance file at a regular exit.
func (l *instanceLock) release() {
	if l.descriptor == noDescriptor {
		return
	}
	_ = os.Remove(l.path())
	_ = syscall.Close(l.descriptor)
	l.descriptor = noDescriptor
}

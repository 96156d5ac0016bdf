package program

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// livePrefix names the files by which processes of one coordinator that share $TMPDIR
// see each other: each holds a lock on its own for as long as it lives, and the kernel
// lets go of it when the process ends, however it ends.
const livePrefix = "aniseloft-live-"

// live is this process's file, held locked until exit.
type live struct {
	dir string
	fd  int // -1: none could be made
}

// registerLive makes and locks this process's file. Where that fails, this process is
// only unseen by a later one, which then behaves as if alone.
func registerLive(dir string) *live {
	l := &live{dir: dir, fd: -1}
	path := filepath.Join(dir, livePrefix+strconv.Itoa(os.Getpid()))
	fd, err := syscall.Open(path, syscall.O_CREAT|syscall.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return l
	}
	if syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		_ = syscall.Close(fd)
		return l
	}
	l.fd = fd
	return l
}

// others tells whether another process of this coordinator lives: after SIGTERM, an
// upgrade's successor is then at the clients' address. Files of processes that are gone
// are removed on the way.
func (l *live) others() bool {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return false
	}
	own := livePrefix + strconv.Itoa(os.Getpid())
	found := false
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), livePrefix) || e.Name() == own {
			continue
		}
		path := filepath.Join(l.dir, e.Name())
		fd, err := syscall.Open(path, syscall.O_RDWR|syscall.O_CLOEXEC, 0)
		if err != nil {
			continue
		}
		err = syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB)
		if errors.Is(err, syscall.EWOULDBLOCK) {
			found = true
		} else if err == nil {
			_ = os.Remove(path) // its process is gone
		}
		_ = syscall.Close(fd)
	}
	return found
}

// release removes this process's file at a clean exit.
func (l *live) release() {
	if l.fd >= 0 {
		_ = os.Remove(filepath.Join(l.dir, livePrefix+strconv.Itoa(os.Getpid())))
		_ = syscall.Close(l.fd)
		l.fd = -1
	}
}

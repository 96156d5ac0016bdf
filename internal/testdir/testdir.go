// Package testdir provides directories for the files of tests. Only tests import it.
package testdir

import (
	"os"
	"testing"
)

// memoryRoot is the root of Linux's file system in memory.
const memoryRoot = "/dev/shm"

// Dir returns a directory that is removed after the test. It is in memory if the system has a file system there:
// on a disk under other load one fsync was seen to take 5 s, longer than the timeout of a coordinator's
// record, so tests whose outcome must not depend on the machine's disk keep their record here.
func Dir(t testing.TB) string {
	dir, err := os.MkdirTemp(memoryRoot, "aniseloft-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

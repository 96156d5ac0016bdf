package program

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInstanceLockDetectsOnlyRunningProcesses(t *testing.T) {
	dir := t.TempDir()
	ownLock := lockInstance(dir)
	require.False(t, ownLock.othersRunning(), "the process's own file is ignored")

	otherPath := filepath.Join(dir, instanceFilePrefix+"0")
	file, err := os.Create(otherPath)
	require.NoError(t, err)
	require.NoError(t, syscall.Flock(int(file.Fd()), syscall.LOCK_EX))
	require.True(t, ownLock.othersRunning(), "the other process holds its lock")
	require.FileExists(t, otherPath)

	require.NoError(t, file.Close())
	require.False(t, ownLock.othersRunning(), "the other process has ended")
	require.NoFileExists(t, otherPath)
	ownLock.release()
	require.NoFileExists(t, ownLock.path())
}

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
	own := lockInstance(dir)
	require.False(t, own.othersRunning(), "the process's own file is ignored")

	other := filepath.Join(dir, instanceFilePrefix+"0")
	file, err := os.Create(other)
	require.NoError(t, err)
	require.NoError(t, syscall.Flock(int(file.Fd()), syscall.LOCK_EX))
	require.True(t, own.othersRunning(), "the other process holds its lock")
	require.FileExists(t, other)

	require.NoError(t, file.Close())
	require.False(t, own.othersRunning(), "the other process has ended")
	require.NoFileExists(t, other)
	own.release()
	require.NoFileExists(t, own.path())
}

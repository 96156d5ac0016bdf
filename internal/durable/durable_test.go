package durable

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWriteFileReplacesContentAndLeavesNoTemporaryFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fences.json")
	require.NoError(t, WriteFile(path, []byte("old")))
	require.NoError(t, WriteFile(path, []byte("new")))
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "new", string(content))
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, fs.FileMode(0o600), info.Mode().Perm())
	entries, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	require.Len(t, entries, 1)
}

func TestWriteFileToMissingDirectoryFails(t *testing.T) {
	require.ErrorIs(t, WriteFile(filepath.Join(t.TempDir(), "missing", "fences.json"), nil), fs.ErrNotExist)
}

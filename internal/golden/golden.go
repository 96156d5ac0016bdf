// Package golden compares the output of a test with a file that an earlier build wrote. Only tests import it.
//
// The files hold data that other programs or later versions must be able to read: messages, settings and stored data.
// With -update a test rewrites its files; use it only if the format is meant to change.
package golden

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Update is set if tests are to rewrite the files with the output of this build.
var Update = flag.Bool("update", false, "rewrite the golden files with the output of this build")

// Equal compares bytes with the file at path.
func Equal(t testing.TB, path string, got []byte) {
	t.Helper()
	if *Update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
		return
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), path)
}

// JSON compares a value, written as JSON, with the file at path.
func JSON(t testing.TB, path string, got any) {
	t.Helper()
	text, err := json.MarshalIndent(got, "", " ")
	require.NoError(t, err)
	Equal(t, path, append(text, '\n'))
}

package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runCommand executes a command line and returns its exit code and its output.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, log bytes.Buffer
	code = Run(args, &out, &log)
	return code, out.String(), log.String()
}

// commandCase is a command line with its expected exit code and a text that one of its output streams must contain.
type commandCase struct {
	args         []string
	wantCode     int
	wantContains string
}

func requireCommands(t *testing.T, cases []commandCase) {
	t.Helper()
	for _, tc := range cases {
		code, stdout, stderr := runCommand(tc.args...)
		require.Equal(t, tc.wantCode, code, "%v: %s", tc.args, stderr)
		require.Contains(t, stdout+stderr, tc.wantContains, tc.args)
	}
}

// writeTestFile writes a file in a new temporary directory and returns its path.
func writeTestFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func readTestFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(content)
}

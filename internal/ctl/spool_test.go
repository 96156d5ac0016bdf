package ctl

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/spool"
	"aniseloft/internal/spool/ledger"
)

func TestSpoolCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "spool")
	directory, err := spool.OpenDirectory(dir)
	require.NoError(t, err)
	twoDaysAgo := float64(time.Now().Add(-48 * time.Hour).UnixMilli())
	nowMS := twoDaysAgo
	store, _, err := spool.Open(directory, spool.Options{SegmentBytes: 4096, NowMS: func() float64 { return nowMS },
		Limits: ledger.Limits{Total: 1 << 30, RetentionMS: 1e12, MaxRetentionMS: 1e12}})
	require.NoError(t, err)
	for i := range 6 {
		if i == 3 {
			nowMS = float64(time.Now().UnixMilli())
		}
		writer, err := store.Begin(fmt.Sprint("result", i), "planner", "ridership-report", 0)
		require.NoError(t, err)
		for p := range 3 {
			require.NoError(t, writer.WritePage(bytes.Repeat([]byte{byte('a' + i), byte('0' + p)}, 500)))
		}
		if i != 5 {
			require.NoError(t, writer.Seal())
		}
	}
	code, out, _ := runCommand("spool", "ls", dir)
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `result4 +planner +ridership-report +sealed +3 +3000`, out)
	require.Contains(t, out, "open")
	code, out, _ = runCommand("spool", "show", dir, "result2", "--page", "1")
	require.Equal(t, ExitOK, code)
	require.Equal(t, string(bytes.Repeat([]byte("c1"), 500)), out)
	code, _, log := runCommand("spool", "show", dir, "result2", "--page", "3")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, log, "the result has 3 pages")
	code, _, log = runCommand("spool", "gc", dir)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, log, "in use", "a spool in use is not collected")
	require.NoError(t, store.Close())
	require.NoError(t, directory.Close())

	code, out, log = runCommand("spool", "gc", dir, "--keep", "24h")
	require.Equal(t, ExitOK, code, log)
	require.Contains(t, out, "3 expired and 1 incomplete results deleted, 2 kept")
	code, out, log = runCommand("spool", "verify", dir)
	require.Equal(t, ExitOK, code, log)
	require.Contains(t, out, "no damage")
	segments, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	require.NoError(t, err)
	corruptedCount := 0
	for _, f := range segments {
		b, err := os.ReadFile(f)
		require.NoError(t, err)
		if matchOffset := bytes.Index(b, []byte("d2d2d2")); matchOffset > 0 {
			b[matchOffset] ^= 4
			corruptedCount++
			require.NoError(t, os.WriteFile(f, b, 0o600))
		}
	}
	require.Equal(t, 1, corruptedCount)
	code, _, log = runCommand("spool", "verify", dir)
	require.Equal(t, ExitFailed, code)
	require.Regexp(t, `result result3: segment [0-9a-f]{16}, offset \d+, page 2: the page's bytes are corrupt`, log)
	code, _, log = runCommand("spool", "verify", filepath.Join(dir, "none"))
	require.Equal(t, ExitUsage, code, log)
}

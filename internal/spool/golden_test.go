package spool

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
	"aniseloft/internal/spool/ledger"
	"aniseloft/internal/testdir"
)

// recordedDirectory is a shared directory that commit d9ce9f6 wrote, with the spool of coordinator n0. This rewrites it:
//
//	go test ./internal/spool -run Recorded -update
const recordedDirectory = "testdata/shared"

func recordedOptions(now float64) Options {
	return Options{SegmentBytes: 2000, Compress: true, NowMS: func() float64 { return now },
		Limits: ledger.Limits{Total: 1 << 20, PerOwner: 1 << 19, RetentionMS: 3600e3, MaxRetentionMS: 3600e3, RetryAfterMS: 100}}
}

// recordedPage returns page n of a result. Page 0 is too short to be compressed, longer pages are compressed.
func recordedPage(n int) []byte {
	var b []byte
	for range 1 + 40*n {
		b = append(b, "1\tvienna\t17.5\n"...)
	}
	return b
}

func writeRecorded(t *testing.T) {
	require.NoError(t, os.RemoveAll(recordedDirectory))
	require.NoError(t, os.MkdirAll(recordedDirectory, 0o755))
	dir, err := OpenDirectory(CoordinatorDirectory(recordedDirectory, "n0"))
	require.NoError(t, err)
	st, _, err := Open(dir, recordedOptions(1e12))
	require.NoError(t, err)
	for _, name := range []string{"sealed", "dropped", "open"} {
		w, err := st.Begin(name, "ana", "trip-lookup", 100)
		require.NoError(t, err)
		for n := range 3 {
			require.NoError(t, w.WritePage(recordedPage(n)))
		}
		if name != "open" {
			require.NoError(t, w.Seal())
		}
	}
	require.NoError(t, st.Drop("dropped"))
	require.NoError(t, st.Close())
	require.NoError(t, dir.Close())
	require.NoError(t, RunFenced(recordedDirectory, "collect-spool", 7, "n0", func() error { return nil }))
}

func TestRecordedSpoolIsServed(t *testing.T) {
	if *golden.Update {
		writeRecorded(t)
	}
	root := testdir.Dir(t)
	require.NoError(t, os.CopyFS(root, os.DirFS(recordedDirectory)))
	dir, err := OpenDirectory(CoordinatorDirectory(root, "n0"))
	require.NoError(t, err)
	inspection, err := Inspect(dir, true)
	require.NoError(t, err)
	golden.JSON(t, "testdata/inspection.golden", inspection)
	st, recovery, err := Open(dir, recordedOptions(1e12+1))
	require.NoError(t, err)
	require.Equal(t, Recovery{Sealed: 1, Discarded: 1}, recovery)
	for n := range 3 {
		b, isLast, err := st.Read("sealed", n)
		require.NoError(t, err)
		require.Equal(t, string(recordedPage(n)), string(b))
		require.Equal(t, n == 2, isLast)
	}
	_, _, err = st.Read("dropped", 0)
	require.ErrorIs(t, err, ErrNotFound)
	golden.JSON(t, "testdata/usage.golden", st.Usage())
	require.NoError(t, st.Close())
	require.NoError(t, dir.Close())
	require.Error(t, RunFenced(root, "collect-spool", 6, "n1", func() error { return nil }), "the fence is below the stored one")
	require.NoError(t, RunFenced(root, "collect-spool", 7, "n0", func() error { return nil }))
}

func TestSegmentIsWrittenAsRecorded(t *testing.T) {
	root := testdir.Dir(t)
	dir, err := OpenDirectory(root)
	require.NoError(t, err)
	options := recordedOptions(1e12)
	options.Compress, options.SegmentBytes = false, 1<<20
	st, _, err := Open(dir, options)
	require.NoError(t, err)
	for _, name := range []string{"kept", "dropped"} {
		w, err := st.Begin(name, "ana", "trip-lookup", 100)
		require.NoError(t, err)
		require.NoError(t, w.WritePage(recordedPage(0)))
		require.NoError(t, w.Seal())
	}
	require.NoError(t, st.Drop("dropped"))
	require.NoError(t, st.Close())
	require.NoError(t, dir.Close())
	files, err := filepath.Glob(filepath.Join(root, "*"+segmentSuffix))
	require.NoError(t, err)
	require.Len(t, files, 1)
	raw, err := os.ReadFile(files[0])
	require.NoError(t, err)
	golden.Equal(t, "testdata/segment.golden", raw)
}

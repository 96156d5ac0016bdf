package spool

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/spool/ledger"
)

// BenchmarkAgainstCopy compares spooling and sealing a result of 64 MB with writing and syncing
// the same bytes to a plain file. Only the ratio of the two within one run is meaningful.
func BenchmarkAgainstCopy(b *testing.B) {
	const pageCount, pageBytes = 256, 256 << 10
	page := make([]byte, pageBytes)
	for i := range page {
		page[i] = byte(i * 7)
	}
	b.Run("copy", func(b *testing.B) {
		b.SetBytes(pageCount * pageBytes)
		for range b.N {
			f, err := os.Create(filepath.Join(b.TempDir(), "plain"))
			require.NoError(b, err)
			for range pageCount {
				_, err := f.Write(page)
				require.NoError(b, err)
			}
			require.NoError(b, f.Sync())
			require.NoError(b, f.Close())
		}
	})
	b.Run("spool", func(b *testing.B) {
		b.SetBytes(pageCount * pageBytes)
		for range b.N {
			d, err := OpenDirectory(b.TempDir())
			require.NoError(b, err)
			st, _, err := Open(d, Options{SegmentBytes: 16 << 20, NowMS: func() float64 { return 0 },
				Limits: ledger.Limits{Total: 1 << 30, RetentionMS: 1, MaxRetentionMS: 1}})
			require.NoError(b, err)
			w, err := st.Begin("a", "x", "report", 0)
			require.NoError(b, err)
			for range pageCount {
				require.NoError(b, w.WritePage(page))
			}
			require.NoError(b, w.Seal())
			require.NoError(b, st.Close())
			require.NoError(b, d.Close())
		}
	})
}

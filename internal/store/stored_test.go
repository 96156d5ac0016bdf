package store

import (
	"database/sql"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
	"aniseloft/internal/testdir"
)

// testdata/fences.db was written by the release before the stored types were first renamed, with
//
//	go test ./internal/store -run TestStoredFencesAndLeases -update-fences
var updateFences = flag.Bool("update-fences", false, "rewrite the fixtures")

const fencesFixture = "testdata/fences.db"

func writeStoredFences(t *testing.T) {
	t.Helper()
	path := filepath.Join(testdir.Dir(t), "record.db")
	s, err := Open(t.Context(), path)
	require.NoError(t, err)
	require.NoError(t, s.CreateLeaseTable(t.Context()))
	for _, fence := range []lease.Fence{3, 3, 5} {
		_, err = s.DeleteExpiredFenced(t.Context(), time.Now(), fence, "n1/7f3a")
		require.NoError(t, err)
	}
	_, err = s.AcquireLease(t.Context(), lease.JobPruneRecord, "n1/7f3a", 1000, true)
	require.NoError(t, err)
	require.NoError(t, s.RaiseFence(t.Context(), lease.JobCollectSpool, 9))
	_, err = s.database.Exec(`UPDATE fence SET since_ms = 1700000000000 + fence; UPDATE lease SET until_ms = 4100000000000 WHERE holder <> ''`)
	require.NoError(t, err)
	_, err = s.database.Exec(`PRAGMA wal_checkpoint(TRUNCATE); PRAGMA journal_mode=DELETE`)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(fencesFixture, raw, 0o644))
}

// Fences and leases of an earlier release must be read completely, and later writes must keep the form of the rows.
func TestStoredFencesAndLeasesAreReadAndWrittenUnchanged(t *testing.T) {
	if *updateFences {
		writeStoredFences(t)
	}
	raw, err := os.ReadFile(fencesFixture)
	require.NoError(t, err)
	path := filepath.Join(testdir.Dir(t), "record.db")
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	s, err := Open(t.Context(), path)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	want := []FenceRow{{Job: lease.JobPruneRecord, Fence: 3, Holder: "n1/7f3a", SinceMS: 1700000000003, Acts: 2},
		{Job: lease.JobPruneRecord, Fence: 5, Holder: "n1/7f3a", SinceMS: 1700000000005, Acts: 1}}
	rows, err := s.Fences(t.Context())
	require.NoError(t, err)
	require.Equal(t, want, rows)
	for _, c := range []struct {
		job  string
		want LeaseRow
	}{
		{lease.JobPruneRecord, LeaseRow{Fence: 1, Holder: "n1/7f3a"}},
		{lease.JobCollectSpool, LeaseRow{Fence: 9, Free: true}},
		{lease.JobReadJournal, LeaseRow{Free: true}},
	} {
		row, err := s.AcquireLease(t.Context(), c.job, "n2/1", 1000, false)
		require.NoError(t, err)
		require.Equal(t, c.want, row, c.job)
	}

	_, err = s.DeleteExpiredFenced(t.Context(), time.Now(), 5, "n1/7f3a")
	require.NoError(t, err)
	row, err := s.AcquireLease(t.Context(), lease.JobCollectSpool, "n2/1", 1000, true)
	require.NoError(t, err)
	require.Equal(t, LeaseRow{Fence: 10, Holder: "n2/1"}, row)
	db, err := sql.Open("sqlite", path)
	require.NoError(t, err)
	t.Cleanup(func() { _ = db.Close() })
	var job, holder string
	var fence, since, acts int64
	require.NoError(t, db.QueryRow(`SELECT job, fence, holder, since_ms, acts FROM fence ORDER BY fence DESC LIMIT 1`).Scan(&job, &fence, &holder, &since, &acts))
	require.Equal(t, []any{"prune-record", int64(5), "n1/7f3a", int64(1700000000005), int64(2)}, []any{job, fence, holder, since, acts})
	require.NoError(t, db.QueryRow(`SELECT job, fence, holder FROM lease WHERE job = 'collect-spool'`).Scan(&job, &fence, &holder))
	require.Equal(t, []any{"collect-spool", int64(10), "n2/1"}, []any{job, fence, holder})
}

package store

import (
	"database/sql"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/testdir"
)

// Coordinators that start together create the same file. Open must retry, rather than fail, if another coordinator
// has locked the file for longer than a statement waits, and so must FailUnfinished.
func TestOpenRetriesWhileTheRecordIsBusy(t *testing.T) {
	path := filepath.Join(testdir.Dir(t), "record.db")
	first, err := sql.Open("sqlite", path) // a new file, whose journal mode has not been switched yet
	require.NoError(t, err)
	first.SetMaxOpenConns(1)
	_, err = first.Exec("BEGIN EXCLUSIVE; CREATE TABLE making (x TEXT)")
	require.NoError(t, err)
	time.AfterFunc(1500*time.Millisecond, func() { _, _ = first.Exec("COMMIT"); _ = first.Close() })
	second, err := Open(t.Context(), path)
	require.NoError(t, err)
	// A process is suspended during a write while another one, which starts, fails the queries that were left running.
	suspended, err := Open(t.Context(), path)
	require.NoError(t, err)
	_, err = suspended.database.Exec("BEGIN IMMEDIATE")
	require.NoError(t, err)
	time.AfterFunc(1500*time.Millisecond, func() { _, _ = suspended.database.Exec("COMMIT"); _ = suspended.Close() })
	_, err = second.FailUnfinished(t.Context(), "n1")
	require.NoError(t, err)
	require.NoError(t, second.Close())
}

// A record of a release in which coordinators could not share one is upgraded. A restart fails only the queries of
// its own coordinator and those from before the upgrade.
func TestOldRecordIsUpgradedAndOthersQueriesKeepRunning(t *testing.T) {
	path := filepath.Join(testdir.Dir(t), "record.db")
	s, err := Open(t.Context(), path)
	require.NoError(t, err)
	_, err = s.database.Exec("ALTER TABLE query DROP COLUMN node")
	require.NoError(t, err)
	_, err = s.database.Exec(`INSERT INTO query VALUES ('old', 's', 'o', NULL, 'd', 'c', 'running', '', 0, 0)`)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	s, err = Open(t.Context(), path)
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	for _, coordinator := range []string{"n1", "n2"} {
		_, err = s.Begin(t.Context(), Query{ID: coordinator, Slug: "s", Class: "c", Owner: "o", Coordinator: coordinator, ExpiresAt: time.Now()})
		require.NoError(t, err)
	}
	n, err := s.FailUnfinished(t.Context(), "n1")
	require.NoError(t, err)
	require.EqualValues(t, 2, n, "n1's own query, and the one from before the upgrade")
	q, err := s.Get(t.Context(), "n2")
	require.NoError(t, err)
	require.Equal(t, StateRunning, q.State)
}

package spool

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
	"aniseloft/internal/spool/ledger"
	"aniseloft/internal/testdir"
)

// Expired results of coordinators that are gone are collected, directories in use are left to their own coordinators,
// and a holder with a stale fence collects nothing.
func TestUnownedDirectoriesAreCollectedUnderAFence(t *testing.T) {
	root, now := testdir.Dir(t), 1000.0
	options := Options{SegmentBytes: 1 << 20, NowMS: func() float64 { return now },
		Limits: ledger.Limits{Total: 1 << 20, RetentionMS: 500, MaxRetentionMS: 500, RetryAfterMS: 10}}
	createSpool := func(name, result string) (closeSpool func()) {
		d, err := OpenDirectory(CoordinatorDirectory(root, name))
		require.NoError(t, err)
		st, _, err := Open(d, options)
		require.NoError(t, err)
		w, err := st.Begin(result, "o", "c", 100)
		require.NoError(t, err)
		require.NoError(t, w.WritePage([]byte("a\tb\tc\n")))
		require.NoError(t, w.Seal())
		return func() {
			require.NoError(t, st.Close())
			require.NoError(t, d.Close())
		}
	}
	closeGone, closeHere := createSpool("gone", "r1"), createSpool("here", "r2")
	closeGone()
	collect := func(fence lease.Fence, holder string) (c Collection, err error) {
		err = RunFenced(root, lease.JobCollectSpool, fence, holder, func() error {
			c, err = CollectUnowned(root, "mine", options)
			return err
		})
		return c, err
	}
	c, err := collect(4, "n1/1")
	require.NoError(t, err)
	require.Equal(t, Collection{Unowned: 1, InUse: 1}, c, "the result's retention is not over")
	now += 10000
	for _, stale := range []struct {
		fence  lease.Fence
		holder string
	}{{3, "n2/1"}, {4, "n2/1"}} {
		_, err = collect(stale.fence, stale.holder)
		require.ErrorAs(t, err, new(lease.StaleFenceError))
	}
	require.DirExists(t, CoordinatorDirectory(root, "gone"))
	c, err = collect(5, "n2/1")
	require.NoError(t, err)
	require.Equal(t, Collection{Unowned: 1, InUse: 1, Expired: 1, Removed: 1}, c)
	require.NoDirExists(t, CoordinatorDirectory(root, "gone"))
	_, err = collect(4, "n1/1")
	require.ErrorAs(t, err, new(lease.StaleFenceError), "the highest fence is stored in the directory")
	closeHere()
	require.NoError(t, os.WriteFile(filepath.Join(root, fencesFileName), []byte("{"), 0o600))
	_, err = collect(6, "n2/1")
	require.ErrorContains(t, err, "move it away")
}

// A holder that is suspended during its operation delays a later holder, which must not run its operation concurrently.
func TestLaterHolderWaitsForAnOperationInProgress(t *testing.T) {
	root := testdir.Dir(t)
	earlierBegun, resumeEarlier, endedOperations := make(chan struct{}), make(chan struct{}), make(chan string, 2)
	go func() {
		_ = RunFenced(root, "job", 1, "a", func() error {
			close(earlierBegun)
			<-resumeEarlier
			endedOperations <- "earlier"
			return nil
		})
	}()
	<-earlierBegun
	laterDone := make(chan error, 1)
	go func() {
		laterDone <- RunFenced(root, "job", 2, "b", func() error { endedOperations <- "later"; return nil })
	}()
	select {
	case err := <-laterDone:
		t.Fatal("the later operation ended while the earlier one was in progress", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(resumeEarlier)
	require.NoError(t, <-laterDone)
	require.Equal(t, "earlier", <-endedOperations)
	require.Equal(t, "later", <-endedOperations)
}

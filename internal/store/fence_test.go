package store

import (
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
	"aniseloft/internal/testdir"
)

// A holder that is suspended past the end of its lease must change nothing when it resumes: its fence is checked in the
// transaction of its operation.
func TestStaleFenceChangesNothing(t *testing.T) {
	path, now := filepath.Join(testdir.Dir(t), "record.db"), time.Now()
	openStore := func() *Store {
		s, err := Open(t.Context(), path)
		require.NoError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	s, otherStore := openStore(), openStore()
	insertExpired := func(id string) {
		_, err := s.Begin(t.Context(), Query{ID: id, Slug: "s", Class: "c", Owner: "o", ExpiresAt: now.Add(-time.Hour)})
		require.NoError(t, err)
		require.NoError(t, s.Finish(t.Context(), id, StateSucceeded, nil, 0, now.Add(-time.Hour)))
	}
	insertExpired("a")
	deletedCount, err := s.DeleteExpiredFenced(t.Context(), now, 3, "n1/1")
	require.NoError(t, err)
	require.EqualValues(t, 1, deletedCount)
	insertExpired("b")
	for _, attempt := range []struct {
		fence  lease.Fence
		holder string
	}{{2, "n2/1"}, {3, "n2/1"}, {0, "n1/1"}} {
		_, err = otherStore.DeleteExpiredFenced(t.Context(), now, attempt.fence, attempt.holder)
		var stale lease.StaleFenceError
		require.ErrorAs(t, err, &stale)
		require.EqualValues(t, 3, stale.Highest)
		_, err = s.Get(t.Context(), "b")
		require.NoError(t, err, "a rejected operation has deleted a row")
	}
	deletedCount, err = otherStore.DeleteExpiredFenced(t.Context(), now, 5, "n2/1")
	require.NoError(t, err)
	require.EqualValues(t, 1, deletedCount)
	_, err = s.DeleteExpiredFenced(t.Context(), now, 3, "n1/1")
	require.Error(t, err)
	rows, err := s.Fences(t.Context())
	require.NoError(t, err)
	require.Len(t, rows, 2, "rejected operations leave no row")
	require.Equal(t, "n1/1", rows[0].Holder)
	require.EqualValues(t, 1, rows[0].Acts)
	require.EqualValues(t, 5, rows[1].Fence)
}

// Two holders act concurrently on separate connections: after the first operation of the later one, every operation
// of the earlier one must be rejected.
func TestFenceHoldsBetweenConnections(t *testing.T) {
	path := filepath.Join(testdir.Dir(t), "record.db")
	var mu sync.Mutex
	var laterHolderActedAt time.Time // when the first operation of the later grant had returned
	var holders sync.WaitGroup
	for fence := lease.Fence(1); fence <= 2; fence++ {
		s, err := Open(t.Context(), path)
		require.NoError(t, err)
		holders.Go(func() {
			defer func() { _ = s.Close() }()
			time.Sleep(time.Duration(fence-1) * 20 * time.Millisecond)
			for range 40 {
				calledAt := time.Now()
				_, err := s.DeleteExpiredFenced(t.Context(), calledAt, fence, "holder")
				mu.Lock()
				if err == nil && fence == 2 && laterHolderActedAt.IsZero() {
					laterHolderActedAt = time.Now()
				}
				if err == nil && fence == 1 && !laterHolderActedAt.IsZero() && calledAt.After(laterHolderActedAt) {
					t.Error("the earlier holder acted after the later one")
				}
				mu.Unlock()
			}
		})
	}
	holders.Wait()
	require.False(t, laterHolderActedAt.IsZero())
}

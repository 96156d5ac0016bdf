package store

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
	"aniseloft/internal/lease"
	"aniseloft/internal/testdir"
)

// recordedFile is a record that commit d9ce9f6 wrote. This rewrites it:
//
//	go test ./internal/store -run Recorded -update
const recordedFile = "testdata/record.db"

// recordedExpiry is in the year 2100, so that the queries of the record do not expire.
var recordedExpiry = time.UnixMilli(4102444800000)

// recordedQueries returns the queries of the record, one for each state.
func recordedQueries() []Query {
	template := Query{Class: "trip-lookup", Owner: "ana", ExpiresAt: recordedExpiry}
	var queries []Query
	for i, state := range []State{StateRunning, StateSucceeded, StateRejected, StateFailed, StateCanceled} {
		q := template
		q.ID, q.Slug, q.Digest, q.State = "q-"+string(state), "s-"+string(state), "d-"+string(state), state
		if q.IdempotencyKey = "k-" + string(state); i%2 == 1 {
			q.IdempotencyKey = ""
		}
		switch state {
		case StateSucceeded:
			q.Pages = []byte("1\tvienna\t17.5\n")
		case StateRejected:
			q.RetryAfter = 1200 * time.Millisecond
		}
		queries = append(queries, q)
	}
	return queries
}

func writeRecorded(t *testing.T) {
	ctx := context.Background()
	require.NoError(t, os.RemoveAll(recordedFile))
	s, err := Open(ctx, recordedFile)
	require.NoError(t, err)
	for _, q := range recordedQueries() {
		q.Coordinator = "n0"
		existing, err := s.Begin(ctx, q)
		require.NoError(t, err)
		require.Nil(t, existing)
		if q.State != StateRunning {
			require.NoError(t, s.Finish(ctx, q.ID, q.State, q.Pages, q.RetryAfter, q.ExpiresAt))
		}
	}
	_, err = s.DeleteExpiredFenced(ctx, time.UnixMilli(0), 7, "n0")
	require.NoError(t, err)
	require.NoError(t, s.CreateLeaseTable(ctx))
	_, err = s.AcquireLease(ctx, lease.JobPruneRecord, "n0", -1000, true) // expires at once
	require.NoError(t, err)
	require.NoError(t, s.RaiseFence(ctx, lease.JobCollectSpool, 9))
	require.NoError(t, s.Close())
}

func TestRecordedQueriesAreReadWhole(t *testing.T) {
	if *golden.Update {
		writeRecorded(t)
	}
	ctx, path := context.Background(), filepath.Join(testdir.Dir(t), "record.db")
	raw, err := os.ReadFile(recordedFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	s, err := Open(ctx, path)
	require.NoError(t, err)
	for _, want := range recordedQueries() {
		got, err := s.Get(ctx, want.ID)
		require.NoError(t, err)
		if want.State == StateRejected {
			want.IdempotencyKey = "" // a rejected query releases its key
		}
		if want.Pages == nil {
			want.Pages = []byte{}
		}
		require.Equal(t, &want, got)
	}
	fences, err := s.Fences(ctx)
	require.NoError(t, err)
	golden.JSON(t, "testdata/fences.golden", fences)
	require.NoError(t, s.CreateLeaseTable(ctx))
	row, err := s.AcquireLease(ctx, lease.JobPruneRecord, "n1", 1000, false)
	require.NoError(t, err)
	require.Equal(t, LeaseRow{Fence: 1, Holder: "n0", Free: true}, row)
	row, err = s.AcquireLease(ctx, lease.JobCollectSpool, "n1", 1000, true)
	require.NoError(t, err)
	require.Equal(t, LeaseRow{Fence: 10, Holder: "n1"}, row)
	n, err := s.FailUnfinished(ctx, "n0")
	require.NoError(t, err)
	require.EqualValues(t, 1, n, "the running query of this coordinator")
	require.NoError(t, s.Close())
}

package spool

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
	"aniseloft/internal/testdir"
)

// testdata/fences.json was written by the release before the stored types were first renamed, with
//
//	go test ./internal/spool -run TestStoredFences -update-fences
var updateFences = flag.Bool("update-fences", false, "rewrite the fixtures")

// The fences file of an earlier release must be honoured, and this release must write the same bytes.
func TestStoredFencesAreReadAndWrittenUnchanged(t *testing.T) {
	fixture := filepath.Join("testdata", fencesFileName)
	runFenced := func(root, job string, fence lease.Fence) error {
		return RunFenced(root, job, fence, "n1/7f3a", func() error { return nil })
	}
	root := testdir.Dir(t)
	require.NoError(t, runFenced(root, lease.JobCollectSpool, 4))
	require.NoError(t, runFenced(root, "another-job", 9))
	written, err := os.ReadFile(filepath.Join(root, fencesFileName))
	require.NoError(t, err)
	if *updateFences {
		require.NoError(t, os.WriteFile(fixture, written, 0o644))
	}
	stored, err := os.ReadFile(fixture)
	require.NoError(t, err)
	require.Equal(t, string(stored), string(written))

	root = testdir.Dir(t)
	require.NoError(t, os.WriteFile(filepath.Join(root, fencesFileName), stored, 0o600))
	var stale lease.StaleFenceError
	require.ErrorAs(t, runFenced(root, lease.JobCollectSpool, 3), &stale)
	require.Equal(t, lease.StaleFenceError{Job: lease.JobCollectSpool, Fence: 3, Highest: 4}, stale)
	require.ErrorAs(t, runFenced(root, "another-job", 8), &stale)
	require.Equal(t, lease.StaleFenceError{Job: "another-job", Fence: 8, Highest: 9}, stale)
}

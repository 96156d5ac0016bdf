package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// The golden files were written by commit d9ce9f6. To update them: go test ./internal/experiment -update
func TestRecordedPlanIsReadCompletely(t *testing.T) {
	raw, err := os.ReadFile("testdata/plan.json")
	require.NoError(t, err)
	p, err := ParsePlan("testdata/plan.json", raw)
	require.NoError(t, err)
	golden.JSON(t, "testdata/plan.golden", p)
	golden.JSON(t, "testdata/cells.golden", p.Cells())
}

// testdata/results.jsonl holds the result of testdata/plan.json as commit d9ce9f6 stored it.
func TestRecordedResultsAreReadCompletely(t *testing.T) {
	if *golden.Update {
		require.NoError(t, os.RemoveAll(filepath.Join("testdata", resultsFile)))
		raw, err := os.ReadFile("testdata/plan.json")
		require.NoError(t, err)
		p, err := ParsePlan("testdata/plan.json", raw)
		require.NoError(t, err)
		require.NoError(t, Run(context.Background(), p, "testdata", func(int, int) {}))
	}
	want, err := os.ReadFile(filepath.Join("testdata", resultsFile))
	require.NoError(t, err)
	results, err := Load("testdata")
	require.NoError(t, err)
	require.Len(t, results, 1)
	got, err := json.Marshal(results[0])
	require.NoError(t, err)
	require.Equal(t, string(bytes.TrimSpace(want)), string(got))
}

// The golden files hold the output of these commands of commit d9ce9f6 for testdata:
// aniseloftctl experiment table DIR --json and aniseloftctl experiment compare DIR DIR --json
func TestTableAndComparisonJSONIsStable(t *testing.T) {
	results, err := Load("testdata")
	require.NoError(t, err)
	golden.JSON(t, "testdata/table.golden", Rows(results))
	golden.JSON(t, "testdata/compare.golden", Compare(results, results))
}

func TestLoadReportsTheInvalidLine(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, resultsFile)
	require.NoError(t, os.WriteFile(path, []byte("{}\n"), 0o600))
	_, err := Load(directory)
	var line LineError
	require.ErrorAs(t, err, &line)
	require.Equal(t, LineError{path, 1}, line)
	require.EqualError(t, err, path+": line 1: not a result; remove that line, and run the plan again")
}

func TestChartsWithoutResultsReturnError(t *testing.T) {
	_, err := Charts(nil, t.TempDir())
	require.ErrorIs(t, err, ErrNoResults)
}

package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
)

// A run that is known not to have started must not restrict retries, and expired runs are removed.
func TestRunHistoryForgetsUnstartedAndExpiredRuns(t *testing.T) {
	h := newRunHistory()
	keyOf := func(idempotencyKey string) requestKey { return requestKey{1, idempotencyKey} }
	h.record(keyOf("k"), decide.EarlierRun{StartedAt: 10}, 20)
	h.record(keyOf("k"), decide.EarlierRun{StartedAt: 15}, 25)
	require.Equal(t, 10.0, h.earlierRun(keyOf("k"), 19).StartedAt, "the first run is recorded")
	require.Nil(t, h.earlierRun(keyOf("k"), 20))
	require.Nil(t, h.earlierRun(requestKey{2, "k"}, 19), "a key of another class")
	h.forget(keyOf("k"), 15)
	require.NotNil(t, h.earlierRun(keyOf("k"), 19))
	h.forget(keyOf("k"), 10)
	require.Nil(t, h.earlierRun(keyOf("k"), 19))
	h.record(keyOf(""), decide.EarlierRun{StartedAt: 10}, 20)
	require.Empty(t, h.runs)
	for i := range 3 * maxRecordedRuns {
		h.record(keyOf(fmt.Sprint(i)), decide.EarlierRun{StartedAt: 30}, 1e9+float64(i))
		require.LessOrEqual(t, len(h.runs), maxRecordedRuns)
	}
	require.NotNil(t, h.earlierRun(keyOf(fmt.Sprint(3*maxRecordedRuns-1)), 31), "the latest run is kept")
	h.record(keyOf("last"), decide.EarlierRun{StartedAt: 2e9}, 3e9)
	require.Len(t, h.runs, 1, "all other runs have expired")
	require.Len(t, h.startOrder, 1)
	h.record(keyOf("last"), decide.EarlierRun{StartedAt: 3e9}, 4e9)
	require.Equal(t, 3e9, h.earlierRun(keyOf("last"), 3e9).StartedAt, "an expired run is replaced")
}

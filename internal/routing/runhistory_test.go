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
	key := func(key string) requestKey { return requestKey{1, key} }
	h.record(key("k"), decide.EarlierRun{StartedAt: 10}, 20)
	h.record(key("k"), decide.EarlierRun{StartedAt: 15}, 25)
	require.Equal(t, 10.0, h.earlierRun(key("k"), 19).StartedAt, "the first run is recorded")
	require.Nil(t, h.earlierRun(key("k"), 20))
	require.Nil(t, h.earlierRun(requestKey{2, "k"}, 19), "a key of another class")
	h.forget(key("k"), 15)
	require.NotNil(t, h.earlierRun(key("k"), 19))
	h.forget(key("k"), 10)
	require.Nil(t, h.earlierRun(key("k"), 19))
	h.record(key(""), decide.EarlierRun{StartedAt: 10}, 20)
	require.Empty(t, h.runs)
	for i := range 3 * maxRecordedRuns {
		h.record(key(fmt.Sprint(i)), decide.EarlierRun{StartedAt: 30}, 1e9+float64(i))
		require.LessOrEqual(t, len(h.runs), maxRecordedRuns)
	}
	require.NotNil(t, h.earlierRun(key(fmt.Sprint(3*maxRecordedRuns-1)), 31), "the latest run is kept")
	h.record(key("last"), decide.EarlierRun{StartedAt: 2e9}, 3e9)
	require.Len(t, h.runs, 1, "all other runs have expired")
	require.Len(t, h.order, 1)
	h.record(key("last"), decide.EarlierRun{StartedAt: 3e9}, 4e9)
	require.Equal(t, 3e9, h.earlierRun(key("last"), 3e9).StartedAt, "an expired run is replaced")
}

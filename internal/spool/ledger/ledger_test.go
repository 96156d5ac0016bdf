package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var testLimits = Limits{Total: 100, PerOwner: 60, PerClass: map[string]int64{"report": 80}, RetentionMS: 10, MaxRetentionMS: 50, RetryAfterMS: 40}

func begin(t *testing.T, l *Ledger, now float64, name, owner, class string, n int64) Decision {
	d, err := l.Begin(now, name, owner, class, n)
	require.NoError(t, err)
	return d
}

func TestRejectionNamesTheExhaustedQuota(t *testing.T) {
	l, err := New(testLimits)
	require.NoError(t, err)
	require.Equal(t, Reserved, begin(t, l, 0, "a", "x", "report", 60).Verdict)
	require.Equal(t, "the owner's share of the spool is full", begin(t, l, 0, "b", "x", "trip", 1).Reason)
	require.Equal(t, "the class's share of the spool is full", begin(t, l, 0, "b", "y", "report", 21).Reason)
	d := begin(t, l, 0, "b", "y", "trip", 41)
	require.Equal(t, Rejected, d.Verdict)
	require.Equal(t, 40.0, d.RetryAfterMS)
	require.Equal(t, Reserved, begin(t, l, 0, "b", "y", "trip", 40).Verdict)
	_, err = l.Begin(0, "a", "x", "report", 1)
	require.Error(t, err, "a name exists once")
}

func TestRetainedResultIsNotEvicted(t *testing.T) {
	l, _ := New(testLimits)
	begin(t, l, 0, "a", "x", "trip", 60)
	_, _ = l.Grow(0, "a", 60)
	require.NoError(t, l.Seal(0, "a"))
	d := begin(t, l, 9, "b", "y", "trip", 50)
	require.Equal(t, Rejected, d.Verdict)
	require.Equal(t, 1.0, d.RetryAfterMS, "until the retention ends")
	require.True(t, l.BeginRead(9.9, "a"))
	require.Equal(t, Rejected, begin(t, l, 10, "b", "y", "trip", 50).Verdict, "the result is being read")
	l.EndRead(10, "a", false)
	require.False(t, l.BeginRead(20, "a"), "the retention is over at its end")
	d = begin(t, l, 20, "b", "y", "trip", 50)
	require.Equal(t, MustEvict, d.Verdict)
	require.Equal(t, []string{"a"}, d.Evict)
	require.True(t, l.Drop("a"))
	require.False(t, l.Drop("a"), "the bytes of a result are freed once")
	require.Equal(t, Reserved, begin(t, l, 20, "b", "y", "trip", 50).Verdict)
}

// Two growing results fill the spool. If both waited they would deadlock: the younger waits and the older is rejected.
func TestOldestOpenResultIsRejectedRatherThanWaiting(t *testing.T) {
	l, _ := New(testLimits)
	begin(t, l, 0, "a", "x", "trip", 50)
	begin(t, l, 0, "b", "y", "trip", 50)
	for _, name := range []string{"a", "b"} {
		_, err := l.Grow(0, name, 50)
		require.NoError(t, err)
	}
	a, _ := l.Grow(0, "a", 1)
	b, _ := l.Grow(0, "b", 1)
	require.Equal(t, Rejected, a.Verdict)
	require.Equal(t, MustWait, b.Verdict)
	c, _ := l.Grow(0, "b", 11)
	require.Equal(t, Rejected, c.Verdict, "the result exceeds its quota by itself")
}

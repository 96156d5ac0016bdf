package clients

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against closing the connection of a client that reads at once, as others that read slowly have used up the memory
// for unread answers.
func TestConnectionThatReadsSlowestPaysForUnreadAnswers(t *testing.T) {
	m := NewOutputMemory(1000, 10)
	closed := map[string]int{}
	open := func(name string) *connOutput { return m.forConn(func() { closed[name]++ }) }
	slowest, slow, prompt, small := open("slowest"), open("slow"), open("prompt"), open("small")
	start := time.Now()
	require.True(t, small.add(m.quota, start.Add(-time.Minute)), "within its quota, for however long")
	require.True(t, slow.add(300, start.Add(-time.Second)))
	require.True(t, slowest.add(300, start.Add(-2*time.Second)))
	for range 4 {
		require.True(t, prompt.add(150, start))
	}
	require.Equal(t, map[string]int{"slowest": 1}, closed)
	require.False(t, slowest.add(1, start))
	slowest.remove(300) // its writer ends; what it held was given back by the eviction
	require.Equal(t, "quota=100 used=1000 limit=1000 closed=1", m.String())

	slow.begin(start.Add(-time.Second / 2))
	require.True(t, prompt.add(1, start))
	require.Equal(t, map[string]int{"slowest": 1, "slow": 1}, closed)
	prompt.remove(601)
	small.remove(m.quota)
	require.Equal(t, "quota=100 used=0 limit=1000 closed=2", m.String())
	require.Empty(t, m.holding)
}

// Who exceeds the memory alone is closed.
func TestConnectionAboveTheMemoryIsClosed(t *testing.T) {
	m := NewOutputMemory(1000, 10)
	isClosed := false
	o := m.forConn(func() { isClosed = true })
	require.True(t, o.add(1000, time.Now()))
	require.False(t, o.add(1, time.Now()))
	require.True(t, isClosed)
	require.Equal(t, "quota=100 used=0 limit=1000 closed=1", m.String())
}

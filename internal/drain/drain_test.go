package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPauseRejectsAfterAdmissionPeriodUntilResume(t *testing.T) {
	var d Drain
	start := time.Unix(1000, 0)
	require.True(t, d.Admit(start, 0))
	require.False(t, d.Draining())
	require.False(t, d.Pause(start))
	require.True(t, d.Pause(start.Add(time.Second)), "a second PAUSE")
	require.True(t, d.Admit(start.Add(PauseAdmissionPeriod-time.Millisecond), 0), "the second PAUSE does not restart the admission period")
	require.False(t, d.Admit(start.Add(PauseAdmissionPeriod), 0))
	require.True(t, d.Draining())
	require.True(t, d.Resume())
	require.False(t, d.Resume(), "RESUME without PAUSE")
	require.True(t, d.Admit(start.Add(time.Hour), 0))
	require.False(t, d.Draining())
	require.True(t, d.AnswerAllAt().IsZero())
}

func TestTerminateIsFinalAndAnswersBeforeKill(t *testing.T) {
	var d Drain
	start := time.Unix(1000, 0)
	d.Pause(start)
	d.Terminate(start.Add(time.Second))
	d.Terminate(start.Add(2 * time.Second)) // a second SIGTERM has no effect
	require.False(t, d.Resume() && d.Admit(start.Add(time.Hour), 0), "RESUME does not undo SIGTERM")
	require.True(t, d.Draining())
	require.Equal(t, start.Add(time.Second+MaxAnswerAllAfter), d.AnswerAllAt())
	shortDuration, longDuration := ExpectedDuration(80, 1, 500), ExpectedDuration(4000, 4, 1500)
	require.Equal(t, 170*time.Millisecond, shortDuration)
	require.Equal(t, 1550*time.Millisecond, longDuration)
	require.Equal(t, 1500*time.Millisecond, ExpectedDuration(0, 4, 1500), "no estimate: the latency objective")
	require.True(t, d.Admit(d.AnswerAllAt().Add(-shortDuration), shortDuration), "expected to end in time")
	require.False(t, d.Admit(d.AnswerAllAt().Add(-shortDuration), longDuration), "not expected to end in time")
	require.Less(t, MaxAnswerAllAfter, 3700*time.Millisecond, "before the earliest kill")
}

// With short deadlines the kill comes earlier. Requests that are open at the kill get no answer, so all
// must be answered before it.
func TestShortDeadlinesAreAnsweredBeforeEarlierKill(t *testing.T) {
	for deadline, killAfter := range map[time.Duration]time.Duration{ // the earliest time of the platform's kill after SIGTERM, by the longest deadline
		500 * time.Millisecond: 1200 * time.Millisecond,
		2 * time.Second:        2700 * time.Millisecond,
		3 * time.Second:        3700 * time.Millisecond,
		25 * time.Second:       3700 * time.Millisecond,
	} {
		d := Drain{LongestDeadline: deadline}
		start := time.Unix(1000, 0)
		d.Terminate(start)
		require.WithinRange(t, d.AnswerAllAt(), start.Add(killAfter-500*time.Millisecond), start.Add(killAfter-200*time.Millisecond), deadline)
		require.False(t, d.Admit(d.AnswerAllAt(), time.Millisecond), deadline)
	}
}

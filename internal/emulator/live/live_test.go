package live_test

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/live"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/scenarios"
)

// outputLog collects the output of coordinators.
type outputLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *outputLog) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.text.String() }

func (l *outputLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// buildCoordinator builds the coordinator's program and returns its path.
func buildCoordinator(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "aniseloft")
	out, err := exec.Command("go", "build", "-o", program, "aniseloft/cmd/aniseloft").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// sumClasses returns the number of first tries and of those served, over all classes.
func sumClasses(r *observer.Report) (first, served int) {
	for _, c := range r.Classes {
		first, served = first+c.First, served+c.Served
	}
	return first, served
}

// The features that tournament-sunday enables work over sockets: idempotency keys of loads, progress reports, load reports in
// answers, gossip datagrams and a retry budget.
func TestRehearsalOfTournamentSunday(t *testing.T) {
	s, err := scenarios.Load("tournament-sunday")
	require.NoError(t, err)
	fixed := func(x float64) scenario.Range { return scenario.Range{Min: x, Max: x} }
	s.DurationMS, s.Load.PerSecond, s.Engines.Count, s.Engines.ProgressMS, s.Engines.ErrorRate = 4000, 25, 4, 300, 0
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMS, s.Classes[i].DeadlineMS, s.Classes[i].WorkMS = 20000, 20000, fixed(float64(60+600*i))
	}
	s.Clients.Habits = []scenario.Habit{{Frequency: 1, Retries: 3, WaitMS: fixed(300)}}
	s.Discovery.DetectionMS, s.FrontProxy.DetectionMS = fixed(200), fixed(300)
	s.Faults = []scenario.Fault{
		{Kind: scenario.FaultReplace, AtMS: fixed(500), DurationMS: fixed(500), Engines: []int{0}},
		{Kind: scenario.FaultNoisyNeighbour, AtMS: fixed(1000), DurationMS: fixed(2000), AffectedRatio: fixed(0.5), Magnitude: fixed(0.5), IntervalMS: fixed(500)},
		{Kind: scenario.FaultReportsDelayed, AtMS: fixed(1500), DurationMS: fixed(1500), MagnitudeMS: fixed(1500)},
		{Kind: scenario.FaultCoordinatorCrash, AtMS: fixed(2000), DurationMS: fixed(800), Coordinators: []int{1}},
	}
	var output outputLog
	r, err := live.Run(context.Background(), s, live.Options{Seed: 3, Coordinator: buildCoordinator(t), Log: &output})
	require.NoError(t, err)
	require.Empty(t, r.Rules, output.String())
	first, served := sumClasses(r)
	require.Greater(t, first, 50)
	require.GreaterOrEqual(t, served, first*9/10, output.String())
	require.Regexp(t, `counters peers sent=[1-9]\d* unsent=\d+ heard=[1-9]\d* stranger=0 oversize=0 unreadable=0`, output.String())
	require.NotContains(t, output.String(), "panicked")
}

// An engine drains, another crashes and a coordinator is killed, without a violation. The day is short and light and its
// clients have long deadlines, so that the result does not depend on the machine's load.
func TestRehearsalWithRealCoordinators(t *testing.T) {
	program := buildCoordinator(t)
	s, err := scenarios.Load("calm-weekday")
	require.NoError(t, err)
	fixed := func(x float64) scenario.Range { return scenario.Range{Min: x, Max: x} }
	s.DurationMS, s.Load.PerSecond, s.Engines.Count, s.Coordinators.Count, s.Engines.ErrorRate = 5000, 25, 4, 2, 0
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMS, s.Classes[i].DeadlineMS = 20000, 20000
		s.Classes[i].WorkMS = fixed(60)
	}
	s.Clients.Habits = []scenario.Habit{{Frequency: 1, Retries: 3, WaitMS: fixed(300)}}
	s.Discovery.DetectionMS, s.FrontProxy.DetectionMS = fixed(200), fixed(300)
	s.Faults = []scenario.Fault{
		{Kind: scenario.FaultDrain, AtMS: fixed(500), DurationMS: fixed(2000), Engines: []int{0}},
		{Kind: scenario.FaultCrash, AtMS: fixed(1000), DurationMS: fixed(1500), Engines: []int{1}},
		{Kind: scenario.FaultCoordinatorCrash, AtMS: fixed(2000), DurationMS: fixed(800), Coordinators: []int{1}},
	}
	var output outputLog
	r, err := live.Run(context.Background(), s, live.Options{Seed: 3, Coordinator: program, Log: &output})
	require.NoError(t, err)
	require.Empty(t, r.Rules, output.String())
	first, served := sumClasses(r)
	require.Greater(t, first, 60)
	require.GreaterOrEqual(t, served, first*9/10, "clients retry, so that a killed process costs a few loads at most")
	require.InEpsilon(t, r.Totals.WorkIn, r.Totals.Served+r.Totals.Wasted+r.Totals.Dropped+r.Totals.Left, 1e-3)
	require.NotContains(t, output.String(), "panicked")
}

// A rehearsal checks the rules on real sockets: a program that never answers requests violates the rule of one answer.
func TestUnansweredRequestsViolateRuleOfOneAnswer(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "mute")
	out, err := exec.Command("go", "build", "-o", program, "./testdata/mute").CombinedOutput()
	require.NoError(t, err, string(out))
	s, err := scenarios.Load("calm-weekday")
	require.NoError(t, err)
	s.DurationMS, s.Load.PerSecond, s.Coordinators.Count = 1000, 10, 1
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMS, s.Classes[i].DeadlineMS = 300, 300
	}
	r, err := live.Run(context.Background(), s, live.Options{Seed: 3, Coordinator: program, Log: &outputLog{}})
	require.NoError(t, err)
	require.Len(t, r.Rules, 1)
	require.Equal(t, observer.RuleOneAnswer, r.Rules[0].Rule)
	require.Zero(t, r.Service)
}

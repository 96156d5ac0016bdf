package observer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

const (
	deadline = 1000.0 // ms
	slack    = 70.0   // ms: AnswerSlackMS of the default rules plus the extraMS of 50 that this test passes to New
)

// fixture is an observer and one request that a coordinator received.
type fixture struct {
	*observer.Observer
	request *observer.Request
}

func observe(t *testing.T) fixture {
	t.Helper()
	s := scenario.Default()
	s.DurationMS, s.Zones = 5000, []string{"zone"}
	s.Classes = []scenario.Class{{Name: "look-up", DeadlineMS: deadline, Idempotency: "repeatable"}}
	require.Equal(t, slack, s.Rules.AnswerSlackMS+50)
	o := fixture{observer.New(s, 50), &observer.Request{Name: "request 1.1", Until: deadline}}
	o.EndpointNotified(0, 0, 1, decide.EndpointReady)
	o.RequestReceived(0, 0, o.request)
	return o
}

func (o fixture) sent(at float64)     { o.AttemptSent(at, 0, o.request, 1, 0) }
func (o fixture) answered(at float64) { o.AnswerReceived(at, 0, o.request, observer.Served) }
func (o fixture) left(at float64)     { o.ClientDisconnected(at, 0, o.request) }

// violations ends the run and returns the violations of RuleOneAnswer, the only rule that may be violated.
func (o fixture) violations(t *testing.T) (count int, first string) {
	t.Helper()
	o.Finish(5000)
	for _, rule := range o.Report().Rules {
		require.Equal(t, observer.RuleOneAnswer, rule.Rule)
		count, first = rule.Count, rule.First
	}
	return count, first
}

// Events may be recorded late and out of order. The observer must judge them by the times at which they happened.
func TestEventsAreJudgedByTimeNotByRecordingOrder(t *testing.T) {
	for name, c := range map[string]struct {
		events func(o fixture)
		count  int
		first  string
	}{
		"an attempt before the answer":                    {func(o fixture) { o.sent(10); o.answered(20) }, 0, ""},
		"an attempt before the answer, recorded after":    {func(o fixture) { o.answered(20); o.sent(10) }, 0, ""},
		"an attempt after the answer":                     {func(o fixture) { o.answered(20); o.sent(25) }, 1, "request 1.1: sent 5.000 ms after its answer, at 20.000 ms"},
		"an attempt after the answer, recorded before":    {func(o fixture) { o.sent(25); o.answered(20) }, 1, "request 1.1: sent 5.000 ms after its answer, at 20.000 ms"},
		"an attempt at the time of the answer":            {func(o fixture) { o.answered(20); o.sent(20) }, 1, "request 1.1: sent 0.000 ms after its answer, at 20.000 ms"},
		"an attempt after the client has left":            {func(o fixture) { o.left(20); o.sent(120) }, 1, "request 1.1: sent 100.000 ms after its client had left, at 20.000 ms"},
		"an attempt that crosses the client's departure":  {func(o fixture) { o.left(20); o.sent(119) }, 0, ""},
		"answered twice":                                  {func(o fixture) { o.answered(20); o.answered(30) }, 1, "request 1.1: answered twice"},
		"answered by its deadline":                        {func(o fixture) { o.answered(deadline + slack) }, 0, ""},
		"answered late":                                   {func(o fixture) { o.answered(deadline + slack + 1) }, 1, "request 1.1: answered 71.0 ms after its deadline"},
		"not answered when its client leaves":             {func(o fixture) { o.left(deadline + slack + 1) }, 1, "request 1.1: not answered by its deadline"},
		"answered in time, read after its client left":    {func(o fixture) { o.left(deadline + slack + 1); o.answered(deadline) }, 0, ""},
		"answered late, read after its client left":       {func(o fixture) { o.left(deadline + slack + 2); o.answered(deadline + slack + 1) }, 1, "request 1.1: answered 71.0 ms after its deadline"},
		"an answer that crosses the client's departure":   {func(o fixture) { o.left(deadline + slack + 1); o.answered(deadline + slack + 2) }, 1, "request 1.1: not answered by its deadline"},
		"read late, and an attempt between":               {func(o fixture) { o.left(deadline + slack + 1); o.sent(deadline + 5); o.answered(deadline) }, 1, "request 1.1: sent 5.000 ms after its answer, at 1000.000 ms"},
		"read late, and an attempt after its client left": {func(o fixture) { o.left(deadline + slack + 1); o.sent(deadline + slack + 102); o.answered(deadline) }, 1, "request 1.1: sent 101.000 ms after its client had left, at 1071.000 ms"},
		"never answered":                                  {func(fixture) {}, 1, "request 1.1: never answered"},
	} {
		t.Run(name, func(t *testing.T) {
			o := observe(t)
			c.events(o)
			count, first := o.violations(t)
			require.Equal(t, c.count, count, first)
			require.Equal(t, c.first, first)
		})
	}
}

// The report names the violation that happened first, whichever was recorded first.
func TestReportNamesTheEarliestViolation(t *testing.T) {
	o := observe(t)
	o.Violate(observer.RuleOneAnswer, 200, "later")
	o.Violate(observer.RuleOneAnswer, 100, "earlier")
	o.answered(10)
	count, first := o.violations(t)
	require.Equal(t, 2, count)
	require.Equal(t, "earlier", first)
}

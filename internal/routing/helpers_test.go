package routing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/memory"
)

// waitTimeout limits every wait for an expected event. No test result depends on how soon the event occurs.
const waitTimeout = 20 * time.Second

// fakeAttempt is an attempt at a fakeUpstream. It sends nothing; the test ends it by calling end.
type fakeAttempt struct {
	AttemptSpec
	ctx     context.Context
	results chan Result
}

func (a *fakeAttempt) end(outcome decide.Outcome) {
	a.results <- Result{Outcome: outcome, Body: []byte("a\tb\tc\n")}
}

// fakeUpstream is the Upstream of all endpoints. It passes the attempts to the test.
type fakeUpstream struct{ attempts chan *fakeAttempt }

func (u *fakeUpstream) Run(ctx context.Context, spec AttemptSpec) Result {
	attempt := &fakeAttempt{spec, ctx, make(chan Result)}
	u.attempts <- attempt
	return <-attempt.results
}

func (u *fakeUpstream) Prioritize(context.Context, string, int) error { return nil }

func (u *fakeUpstream) Probe(context.Context) (decide.Outcome, *decide.LoadReport) {
	return decide.OutcomeSucceeded, nil
}

func (u *fakeUpstream) Connections() (busy, idle int)  { return 0, 0 }
func (u *fakeUpstream) Close()                         {}
func (u *fakeUpstream) Upstream(Endpoint) Upstream     { return u }
func (u *fakeUpstream) next(t *testing.T) *fakeAttempt { return receive(t, u.attempts) }

// receive returns the next value of c, or fails the test after waitTimeout.
func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(waitTimeout):
		require.FailNow(t, "nothing received within the timeout")
	}
	return v
}

// answerRecorder is a Responder that records its answers.
type answerRecorder struct{ answers chan Answer }

func (a *answerRecorder) Respond(answer Answer) { a.answers <- answer }

// Indexes of the classes of testSettings.
const (
	idempotentClass = 0
	keyedClass      = 1
)

// testSettings returns settings with an idempotent class and one with idempotency keys and the given deduplication window.
func testSettings(cancellationEnabled bool, dedupWindow decide.Millis) decide.Settings {
	return decide.Settings{
		Balancers: 1, TickInterval: 5, MaxAttempts: 3, CancellationEnabled: cancellationEnabled, MaxRetryAfter: 100,
		Kinds: []decide.EndpointKind{{Cores: 16}}, KindNames: []string{"std"}, ZoneNames: []string{"a"},
		Classes: []decide.Class{
			{Name: "look", LatencyObjective: 8000, Deadline: 10000, Threads: 1, PriorityWeight: 1},
			{Name: "load", LatencyObjective: 8000, Deadline: 10000, Threads: 1, PriorityWeight: 1, Idempotency: decide.IdempotentByKey, DedupWindow: dedupWindow},
		},
	}
}

// startDispatcher runs a dispatcher with testSettings and one fake endpoint, which listEndpoint adds to the endpoint list.
func startDispatcher(t *testing.T, cancellationEnabled bool, dedupWindow decide.Millis) (d *Dispatcher, upstream *fakeUpstream, listEndpoint func()) {
	d, upstream = startDispatcherWith(t, testSettings(cancellationEnabled, dedupWindow))
	return d, upstream, func() {
		d.UpdateEndpoints(decide.UpdateSnapshot, []Endpoint{{Name: "a", Address: "127.0.0.1:1", EndpointInfo: decide.EndpointInfo{ID: 1, State: decide.EndpointReady}}})
	}
}

func startDispatcherWith(t *testing.T, settings decide.Settings) (*Dispatcher, *fakeUpstream) {
	upstream := &fakeUpstream{attempts: make(chan *fakeAttempt, 8)}
	d, err := NewDispatcher(settings, 1, upstream, slog.New(slog.DiscardHandler), memory.NewBudget(1<<20, 4))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	runEnded := make(chan struct{})
	go func() { defer close(runEnded); d.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-runEnded })
	return d, upstream
}

// flush waits until the dispatcher has handled all events that were posted before.
func flush(t *testing.T, d *Dispatcher) {
	done := make(chan struct{})
	d.post(func() { close(done) })
	receive(t, done)
}

// attemptCount returns the number of attempts of an open request, or -1 if the request is not open.
func attemptCount(t *testing.T, d *Dispatcher, callID string) int {
	attemptCounts := make(chan int, 1)
	d.post(func() {
		for _, r := range d.requests {
			if r.query.CallID == callID {
				attemptCounts <- len(r.attempts)
				return
			}
		}
		attemptCounts <- -1
	})
	return receive(t, attemptCounts)
}

// onlyRequest returns the ID of the only open request. It must be called on the dispatcher's goroutine.
func onlyRequest(d *Dispatcher) decide.RequestID {
	for id := range d.requests {
		return id
	}
	return ""
}

// submit submits a request and returns the recorder of its answers and its ticket.
func submit(d *Dispatcher, callID string, class int, key string) (*answerRecorder, Ticket) {
	recorder := &answerRecorder{make(chan Answer, 2)}
	return recorder, d.Submit(Query{StatementOwner: d.NewStatementOwner(), CallID: callID, Class: class, Statement: []byte("x"), Deadline: time.Now().Add(waitTimeout), IdempotencyKey: key}, recorder)
}

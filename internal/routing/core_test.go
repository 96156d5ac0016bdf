package routing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
)

// patience bounds every wait for something that must come; no verdict hangs on how soon.
const patience = 20 * time.Second

// run is one attempt at an engine that is played by the test: it stands just before its first byte.
type run struct {
	Attempt
	ctx  context.Context
	ends chan Result
}

// played is an engine whose every move is the test's.
type played struct{ runs chan *run }

func (p *played) Run(ctx context.Context, a Attempt) Result {
	r := &run{a, ctx, make(chan Result)}
	p.runs <- r
	return <-r.ends
}
func (p *played) Prioritize(context.Context, string, int) error { return nil }
func (p *played) Probe(context.Context) (decide.Outcome, *decide.Load) {
	return decide.OutcomeServed, nil
}
func (p *played) Connections() (busy, idle int) { return 0, 0 }
func (p *played) Close()                        {}
func (p *played) Engine(Member) Engine          { return p }
func (p *played) next(t *testing.T) *run        { return receive(t, p.runs) }
func (r *run) end(o decide.Outcome)             { r.ends <- Result{Outcome: o, Body: []byte("a\tb\tc\n")} }

func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		require.FailNow(t, "nothing came")
	}
	return v
}

// asker is a front that waits for its one answer.
type asker struct{ answers chan Answer }

func (a *asker) Answer(to Answer) { a.answers <- to }

// coreOf runs a core over one played engine, which is listed only by list; class 0 is safe to repeat, class 1 is
// keyed with the given window, in milliseconds.
func coreOf(t *testing.T, mayCancel bool, window decide.Millis) (c *Core, p *played, list func()) {
	set := decide.Settings{Gateways: 1, Tick: 5, MaxAttempts: 3, MayCancel: mayCancel, MaxComeBack: 100, Kinds: []decide.Kind{{Cores: 16}},
		KindNames: []string{"std"}, Zones: []string{"a"},
		Classes: []decide.Class{{Name: "look", Aim: 8000, Deadline: 10000, Threads: 1, Worth: 1},
			{Name: "load", Aim: 8000, Deadline: 10000, Threads: 1, Worth: 1, Repeat: decide.RepeatKeyed, RepeatWindow: window}}}
	p = &played{runs: make(chan *run, 8)}
	c, err := NewCore(set, 1, p, slog.New(slog.DiscardHandler), 1<<20)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan struct{})
	go func() { defer close(over); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-over })
	return c, p, func() {
		c.List(decide.ListFull, []Member{{Name: "a", Addr: "127.0.0.1:1", EngineEntry: decide.EngineEntry{ID: 1, State: decide.EngineReady}}})
	}
}

// settled waits until the core has handled all that was posted before.
func settled(t *testing.T, c *Core) {
	done := make(chan struct{})
	c.post(func() { close(done) })
	receive(t, done)
}

func ask(c *Core, call string, class int, key string) (*asker, Ticket) {
	a := &asker{make(chan Answer, 2)}
	return a, c.Submit(Query{Call: call, Class: class, Statement: []byte("x"), Deadline: time.Now().Add(patience), Key: key}, a)
}

// A dial takes up to a second, and where the settings let no attempt be called off the module says nothing: what had
// not begun as its client left began all the same.
func TestNothingBeginsForAClientThatLeftDuringTheDial(t *testing.T) {
	for _, mayCancel := range []bool{false, true} {
		c, p, list := coreOf(t, mayCancel, 5000)
		list()
		_, ticket := ask(c, "one", 0, "")
		r := p.next(t)
		require.True(t, r.Ready(), "it would begin")
		c.Gone(ticket)
		require.False(t, r.Ready(), "from the moment that its front knows")
		r.end(decide.OutcomeNotSent)
		settled(t, c)
		require.Empty(t, p.runs)
		require.Zero(t, c.Open())
	}
}

// Who waited for a request under the same key took over its run with its call: a request whose client had left was sent.
func TestWhoWaitsBehindAnUnsentRequestIsSentUnderItsOwnCall(t *testing.T) {
	c, p, list := coreOf(t, true, 5000)
	_, first := ask(c, "one", 1, "k") // no engine is listed: it waits in the module
	second, _ := ask(c, "two", 1, "k")
	third, _ := ask(c, "three", 1, "k")
	c.Gone(first)
	settled(t, c)
	list()
	r := p.next(t)
	require.Equal(t, "two", r.Call)
	r.end(decide.OutcomeServed)
	require.Equal(t, Served, receive(t, second.answers).Kind)
	require.Equal(t, Served, receive(t, third.answers).Kind, "one run for all that wait")
	settled(t, c)
	require.Empty(t, p.runs)
	require.Zero(t, c.Open())
}

// The run of a client that left goes on for who waits for it, but a further attempt is not its any more.
func TestAFurtherAttemptGoesUnderTheCallOfWhoStillWaits(t *testing.T) {
	c, p, list := coreOf(t, true, 5000)
	list()
	first, one := ask(c, "one", 1, "k")
	r := p.next(t)
	second, _ := ask(c, "two", 1, "k")
	third, three := ask(c, "three", 1, "k")
	c.Gone(one)
	c.Gone(three)
	settled(t, c)
	require.NoError(t, r.ctx.Err(), "it is not called off: the second waits for it")
	r.end(decide.OutcomeError)
	again := p.next(t)
	require.Equal(t, "two", again.Call)
	again.end(decide.OutcomeServed)
	require.Equal(t, Served, receive(t, second.answers).Kind)
	settled(t, c)
	require.Empty(t, first.answers)
	require.Empty(t, third.answers)
	require.Empty(t, p.runs)
	require.Zero(t, c.Open())
}

// A run whose own client left and whose last follower leaves too is given up, and only then.
func TestARunIsGivenUpWithTheLastThatWaits(t *testing.T) {
	c, p, list := coreOf(t, true, 5000)
	list()
	_, one := ask(c, "one", 1, "k")
	r := p.next(t)
	_, two := ask(c, "two", 1, "k")
	c.Gone(one)
	settled(t, c)
	require.NoError(t, r.ctx.Err())
	c.Gone(two)
	settled(t, c)
	require.Error(t, r.ctx.Err())
	r.end(decide.OutcomeCancelled)
	settled(t, c)
	require.Empty(t, p.runs)
	require.Zero(t, c.Open())
	served, _ := ask(c, "three", 1, "k")
	last := p.next(t)
	require.Equal(t, "three", last.Call, "the key is free")
	last.end(decide.OutcomeServed)
	require.Equal(t, Served, receive(t, served.answers).Kind)
}

// Engines drop repeats for a while that begins with the first send. A further attempt that was decided inside it and
// began after a dial outside it ran twice.
func TestAFurtherAttemptDoesNotBeginOutsideItsWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	c, p, list := coreOf(t, true, float64(window.Milliseconds()))
	list()
	asked, _ := ask(c, "one", 1, "k")
	first := p.next(t)
	require.True(t, first.Ready())
	sent := time.Now() // the window began before
	first.end(decide.OutcomeLost)
	var second *run
	select {
	case second = <-p.runs:
	case a := <-asked.answers: // a machine that stood still: the window had passed before the decision
		require.Equal(t, Refused, a.Kind)
		return
	}
	require.Equal(t, "one", second.Call)
	for time.Since(sent) < window { // the dial
		time.Sleep(time.Millisecond)
	}
	require.False(t, second.Ready())
	second.end(decide.OutcomeNotSent)
	require.Equal(t, Refused, receive(t, asked.answers).Kind, "answered at once")
	settled(t, c)
	require.Empty(t, p.runs)
}

// Whether another attempt may be out beside one is the settings' word, and their silence is a no.
func TestAttemptsAreAloneWhereTheSettingsSaySo(t *testing.T) {
	for _, may := range []bool{false, true} {
		c, p, list := coreOf(t, true, 5000)
		c.set.MayDuplicate = may
		list()
		_, _ = ask(c, "one", 0, "")
		r := p.next(t)
		require.Equal(t, !may, r.Alone)
		r.end(decide.OutcomeServed)
	}
}

// The list moves on while an attempt is dialled: its engine drains, is gone, restarts under its id, or its address goes to
// another. Nothing may begin there any more.
func TestNothingBeginsWhereTheListMovedOnDuringTheDial(t *testing.T) {
	entry := func(id decide.EngineID, state decide.EngineState, started decide.Millis, addr string) Member {
		return Member{Name: string(rune('a' + id - 1)), Addr: addr, EngineEntry: decide.EngineEntry{ID: id, State: state, Started: started}}
	}
	for name, moved := range map[string]struct {
		kind    decide.ListKind
		members []Member
	}{
		"drains":            {decide.ListDelta, []Member{entry(1, decide.EngineDraining, 0, "127.0.0.1:1")}},
		"gone":              {decide.ListDelta, []Member{entry(1, decide.EngineGone, 0, "")}},
		"left out":          {decide.ListFull, []Member{entry(2, decide.EngineReady, 0, "127.0.0.1:2")}},
		"restarted":         {decide.ListDelta, []Member{entry(1, decide.EngineReady, now(), "127.0.0.1:1")}},
		"moved":             {decide.ListDelta, []Member{entry(1, decide.EngineReady, 0, "127.0.0.1:9")}},
		"another's address": {decide.ListDelta, []Member{entry(1, decide.EngineGone, 0, ""), entry(2, decide.EngineReady, 0, "127.0.0.1:1")}},
	} {
		c, p, list := coreOf(t, true, 5000)
		list()
		ask(c, "one", 0, "")
		r := p.next(t)
		require.True(t, r.Ready(), name)
		c.List(moved.kind, moved.members)
		settled(t, c)
		require.False(t, r.Ready(), name)
		r.end(decide.OutcomeNotSent)
	}
}

// An attempt is called off as its answer comes: the answer is the answer, and no second attempt goes out.
func TestAnAnswerThatCrossesItsCancelIsTheAnswer(t *testing.T) {
	c, p, list := coreOf(t, true, 5000)
	list()
	asked, _ := ask(c, "one", 0, "")
	r := p.next(t)
	c.post(func() { c.perform(decide.Cancel{ID: asked1(c), Attempt: 0}) })
	settled(t, c)
	require.Error(t, r.ctx.Err(), "it is called off")
	r.end(decide.OutcomeServed)
	require.Equal(t, Served, receive(t, asked.answers).Kind)
	settled(t, c)
	require.Empty(t, p.runs)
	require.Empty(t, asked.answers, "one answer")
}

// asked1 is the id of the only request.
func asked1(c *Core) decide.RequestID {
	for id := range c.requests {
		return id
	}
	return ""
}

package routing

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/memory"
	"aniseloft/internal/millis"
)

// inboxSize is the maximum number of queued events. It is small, so that an event waits for a fraction of a second at most:
// while the inbox is full, those who post events wait, such as readers of clients' messages, and leave the processor to
// the dispatcher.
const inboxSize = 128

// Dispatcher owns the balancer and all open requests.
//
// The goroutine of Run owns all fields except the atomics, the channels, and the overrides and the
// memory of statements, which have their own lock. Other goroutines access the state by posting events. The dispatcher starts
// one goroutine for each attempt, priority change and probe. Each of them is bounded by its own timeout;
// attempts and probes post their result. Timers post events as well.
//
// The inbox carries closures rather than typed events: each event has one sender and one handler,
// so an event type and a switch case for each would only repeat the parameter lists. The events of
// the decision module are typed, see decide.Event.
type Dispatcher struct {
	settings  decide.Settings
	balancer  *decide.Balancer
	upstreams UpstreamFactory
	log       *slog.Logger

	inbox          chan func()   // queued events, handled by Run
	done           chan struct{} // closed when Run ends
	deferredEvents []func()      // events that Run handles right after the current one

	requests         map[decide.RequestID]*request
	openCallIDs      map[string]struct{} // call IDs of the open requests, by which endpoints identify them
	coalescer        *coalescer
	runHistory       *runHistory
	endpoints        map[decide.EndpointID]*listedEndpoint
	openRequestLimit int            // maximum number of open requests
	statements       *memory.Budget // for the statements of all submitted requests

	processEnding    bool          // AnswerAllOpen was called: further requests are rejected
	endingRetryAfter time.Duration // retry delay of these rejections

	lastRequestNumber atomic.Uint64
	openRequestCount  atomic.Int64
	lastSubmittedAt   atomic.Int64 // time of the latest Submit, in Unix milliseconds
	overrides         *overrideTable

	Counters   *Counters
	PeerSender PeerSender // set before Run; nil: no gossip
}

// NewDispatcher returns a dispatcher whose event loop is not running yet. statements limits the total size of the
// statements of all requests from Submit until no attempt of them is running.
func NewDispatcher(settings decide.Settings, seed uint64, upstreams UpstreamFactory, log *slog.Logger, statements *memory.Budget) (*Dispatcher, error) {
	balancer, err := decide.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Dispatcher{
		settings: settings, balancer: balancer, upstreams: upstreams, log: log,
		inbox: make(chan func(), inboxSize), done: make(chan struct{}),
		requests: map[decide.RequestID]*request{}, openCallIDs: map[string]struct{}{},
		coalescer: newCoalescer(), runHistory: newRunHistory(), endpoints: map[decide.EndpointID]*listedEndpoint{},
		openRequestLimit: maxOpenRequests, statements: statements,
		overrides: newOverrideTable(), Counters: newCounters(settings),
	}
	if settings.MaxOpenRequests > 0 {
		d.openRequestLimit = min(settings.MaxOpenRequests, maxOpenRequests)
	}
	return d, nil
}

// NewStatementOwner returns the account of a client for the statements of its requests.
func (d *Dispatcher) NewStatementOwner() *memory.Account { return d.statements.NewAccount() }

// StatementMemory returns the budget for the statements of all requests.
func (d *Dispatcher) StatementMemory() *memory.Budget { return d.statements }

// Settings returns the settings that the dispatcher was created with.
func (d *Dispatcher) Settings() decide.Settings { return d.settings }

// ClassIndex returns the index of the class with the given name.
func (d *Dispatcher) ClassIndex(name string) (int, bool) {
	for i, class := range d.settings.Classes {
		if class.Name == name {
			return i, true
		}
	}
	return 0, false
}

// OpenRequests returns the number of requests without a final answer.
func (d *Dispatcher) OpenRequests() int64 { return d.openRequestCount.Load() }

// LastSubmitted returns the time at which the latest request was submitted.
func (d *Dispatcher) LastSubmitted() time.Time { return time.UnixMilli(d.lastSubmittedAt.Load()) }

// Run handles events until ctx is cancelled, and then cancels all attempts.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	for {
		select {
		case event := <-d.inbox:
			event()
			d.runDeferred()
		case <-ctx.Done():
			d.cancelAllAttempts()
			return
		}
	}
}

// post queues an event for Run's goroutine. It blocks while the inbox is full. Once Run has ended, events are dropped.
func (d *Dispatcher) post(event func()) {
	select {
	case d.inbox <- event:
	case <-d.done:
	}
}

// afterEvent defers an event until the current one has been handled. Run's goroutine uses it instead
// of post, as it must never wait for its own inbox.
func (d *Dispatcher) afterEvent(event func()) { d.deferredEvents = append(d.deferredEvents, event) }

func (d *Dispatcher) runDeferred() {
	for len(d.deferredEvents) > 0 {
		var event func()
		event, d.deferredEvents = d.deferredEvents[0], d.deferredEvents[1:]
		event()
	}
}

// handle passes an event to the balancer and performs the resulting actions.
func (d *Dispatcher) handle(event decide.Event) {
	for _, action := range d.decide(event) {
		d.perform(action)
	}
}

// decide returns the balancer's actions for an event. It recovers from a panic of the balancer, which
// must not end the process and with it all open requests; the deadline timer answers the request that
// the event was about.
func (d *Dispatcher) decide(event decide.Event) (actions []decide.Action) {
	defer func() {
		if p := recover(); p != nil {
			d.Counters.panics.Add(1)
			d.log.Error("decision module panicked", "event", fmt.Sprintf("%T", event), "panic", p, "stack", string(debug.Stack()))
		}
	}()
	return d.balancer.Handle(millis.Now(), event)
}

func (d *Dispatcher) perform(action decide.Action) {
	switch a := action.(type) {
	case decide.StartAttempt:
		d.startAttempt(a)
	case decide.CancelAttempt:
		d.cancelAttempt(a)
	case decide.SetAttemptResources:
		d.setResources(a)
	case decide.Reject:
		d.finish(a.ID, Answer{Kind: Rejected, RetryAfter: millis.Duration(a.RetryAfter), Reason: reasonRejected})
	case decide.Fail:
		d.finish(a.ID, Answer{Kind: Failed, Reason: reasonFailed})
	case decide.StartTimer:
		d.startTimer(a)
	case decide.Probe:
		d.probe(a.Endpoint)
	case decide.SendGossip:
		d.sendGossip(a)
	case decide.Log:
		d.logDecision(a)
	case decide.Subscribe:
		// Nothing to do: the watcher of package discovery maintains the subscription itself.
	}
}

func (d *Dispatcher) startTimer(a decide.StartTimer) {
	time.AfterFunc(millis.Duration(a.After), func() {
		d.post(func() { d.handle(decide.TimerFired{Token: a.Token}) })
	})
}

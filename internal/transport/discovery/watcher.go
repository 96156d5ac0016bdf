// Package discovery watches the discovery service (the journal service of the protocol) by long polling
// and passes its endpoint list to the dispatcher. One coordinator may watch for all and publish the list.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/netconn"
)

const (
	// pollWaitMS is how long the service may hold a poll, in ms. The protocol allows more, but a stopped
	// service whose connection stays open must be detected soon: an event counts as known to
	// coordinators 2 s after the end of the wait, whether or not it was received.
	pollWaitMS = 1000
	// answerSlack is how long after the end of its wait the answer to a poll may take.
	answerSlack = 600 * time.Millisecond
	// maxAnswerSlack is the limit to which Watcher.slack grows for a list whose first bytes arrive in
	// time: an event counts as known to coordinators 7 s after it happened, and the service may have
	// held the poll for 1 s before it sent the event.
	maxAnswerSlack = 6 * time.Second
	// minBackoff and maxBackoff limit the pause after a lost connection. The pause is short because the
	// time allowed for a drain counts from when the service announces it.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// emptyAnswerPause is the minimum time between polls without new events, so that a service that
	// answers at once does not overload the dispatcher. It is also how often a coordinator that
	// relies on another coordinator's watch checks whether it can still rely on it.
	emptyAnswerPause = 50 * time.Millisecond
	connectTimeout   = 500 * time.Millisecond
)

var (
	// errWatchedElsewhere ends this coordinator's own watch where another coordinator watches for all.
	errWatchedElsewhere = errors.New("another coordinator watches the journal service for all")
	errClosedByService  = errors.New("closed by the journal service")
)

// Watcher follows the endpoint list of the discovery service. Run owns the connection and the
// position in the list. Redirect and Calls may be used from any goroutine.
type Watcher struct {
	// Calls is the number of polls.
	Calls atomic.Int64

	settings   decide.Settings
	dispatcher *routing.Dispatcher
	log        *slog.Logger
	shared     *SharedList // the list that one coordinator reads for all; nil: each coordinator reads it itself
	position   int64       // position of the latest event that was merged
	// slack is the time that an answer may currently take after the end of its poll's wait. It starts at
	// answerSlack and is doubled, up to maxAnswerSlack, while lists are not complete in time, as otherwise
	// each try would be cut off at the same point as the one before.
	slack time.Duration

	mu        sync.Mutex         // guards the fields below
	addr      string             // address of the service
	interrupt context.CancelFunc // cancels the poll at addr
}

// NewWatcher returns a watcher of the service at addr that passes endpoints to the dispatcher.
func NewWatcher(addr string, dispatcher *routing.Dispatcher, log *slog.Logger) *Watcher {
	return &Watcher{addr: addr, settings: dispatcher.Settings(), dispatcher: dispatcher, log: log, slack: answerSlack}
}

// Share makes the watcher use a shared list, so that one coordinator watches for all. It must be called before
// Run.
func (w *Watcher) Share(l *SharedList) { w.shared, l.deliver = l, w.deliverShared }

// LoadCached passes a batch of events that is known at the start to the dispatcher, as a list that may be
// stale. It must be called before Run.
func (w *Watcher) LoadCached(b journal.Batch) {
	_, listed := w.mergeEvents(b.Events)
	w.position = max(w.position, b.Position)
	w.shared.Update(true, listed)
	endpoints := w.endpoints(listed)
	w.dispatcher.UpdateEndpoints(decide.UpdateCached, slices.DeleteFunc(endpoints, func(e routing.Endpoint) bool { return e.State == decide.EndpointRemoved }))
}

// Redirect moves the watch to another address at once. The old service announces no more events, so waiting for
// the current poll to end there would delay the announcement of a drain.
func (w *Watcher) Redirect(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = addr
	if w.interrupt != nil {
		w.interrupt()
	}
}

// currentService returns the address to poll, and a context that ends when the address changes.
func (w *Watcher) currentService(ctx context.Context) (string, context.Context, context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	pollCtx, cancel := context.WithCancel(ctx)
	w.interrupt = cancel
	return w.addr, pollCtx, cancel
}

// Run polls the service until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if w.shared.WatchedElsewhere() { // the end of the other coordinator's watch is noticed within one pause
			pause(ctx, emptyAnswerPause)
			continue
		}
		backoff = w.watch(ctx, backoff)
	}
}

// watch polls one address until the connection is lost or the address changes. After a loss it waits for the
// backoff. It returns the next backoff.
func (w *Watcher) watch(ctx context.Context, backoff time.Duration) time.Duration {
	addr, ctx, cancel := w.currentService(ctx)
	defer cancel()
	answered, err := w.pollUntilError(ctx, addr)
	if errors.Is(err, errWatchedElsewhere) {
		return backoff
	}
	if ctx.Err() == nil {
		w.log.Info("discovery connection lost", "err", err)
		if answered {
			backoff = minBackoff
		}
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	if ctx.Err() != nil {
		return minBackoff
	}
	return backoff
}

// pause waits for the given duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// pollUntilError polls on one connection until it fails or ctx ends; answered reports whether any
// poll was answered.
func (w *Watcher) pollUntilError(ctx context.Context, addr string) (answered bool, err error) {
	d := net.Dialer{Timeout: connectTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	c := netconn.New(raw, netconn.PageBuffer)
	stopCloser := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() { stopCloser(); _ = c.Close() }()
	// Coordinators that lose the service at the same time reconnect at the same time. A random first wait
	// keeps their polls from reaching the service in step from then on.
	waitMS := 1 + rand.IntN(pollWaitMS)
	for pollParser := journal.NewPollParser(); ; answered = true {
		if w.shared.WatchedElsewhere() {
			return true, errWatchedElsewhere
		}
		batch, reusable, err := w.poll(ctx, c, pollParser, addr, waitMS)
		if err != nil {
			return answered, err
		}
		waitMS = pollWaitMS
		w.slack = answerSlack
		previousPosition := w.position
		w.apply(batch)
		if !reusable {
			return true, errClosedByService
		}
		if w.position <= previousPosition {
			pause(ctx, emptyAnswerPause)
		}
	}
}

// poll makes one call, which the service may hold for waitMS ms, and reads its answer. reusable reports whether
// the connection can be used for another call.
func (w *Watcher) poll(ctx context.Context, c *netconn.Conn, p *journal.PollParser, addr string, waitMS int) (batch journal.Batch, reusable bool, err error) {
	w.Calls.Add(1)
	if err := c.Write(ctx, journal.EncodePoll(addr, w.position, waitMS), time.Now().Add(answerSlack)); err != nil {
		return batch, false, err
	}
	deadline := time.Now().Add(time.Duration(waitMS)*time.Millisecond + w.slack)
	for answerBegun := false; ; answerBegun = true {
		b, err := w.read(ctx, c, deadline)
		if err != nil {
			if answerBegun && netconn.IsTimeout(err) {
				w.slack = min(2*w.slack, maxAnswerSlack)
			}
			return batch, false, err
		}
		answer, reusable, err := p.Feed(b)
		if err != nil {
			return batch, false, err
		}
		if answer != nil {
			return *answer, reusable, nil
		}
	}
}

// read waits for bytes of an answer. Until the deadline of the poll it publishes heartbeats to the coordinators
// that rely on this one's watch.
func (w *Watcher) read(ctx context.Context, c *netconn.Conn, deadline time.Time) ([]byte, error) {
	if w.shared == nil {
		return c.Read(ctx, deadline)
	}
	for {
		w.shared.PublishHeartbeat()
		nextHeartbeat := time.Now().Add(heartbeatInterval)
		b, err := c.Read(ctx, netconn.Earlier(nextHeartbeat, deadline))
		if err == nil || !netconn.IsTimeout(err) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return b, err
		}
	}
}

// apply passes the events of a poll to the shared list and the dispatcher.
func (w *Watcher) apply(b journal.Batch) {
	snapshot, listed := w.mergeEvents(b.Events)
	w.shared.Update(snapshot, listed)
	endpoints := w.endpoints(listed)
	if snapshot {
		w.dispatcher.UpdateEndpoints(decide.UpdateSnapshot, endpoints)
	} else if len(endpoints) > 0 {
		w.dispatcher.UpdateEndpoints(decide.UpdateIncremental, endpoints)
	}
}

// deliverShared passes changes that another coordinator has read to the dispatcher.
func (w *Watcher) deliverShared(listed []journal.Endpoint) {
	if endpoints := w.endpoints(listed); len(endpoints) > 0 {
		w.dispatcher.UpdateEndpoints(decide.UpdateIncremental, endpoints)
	}
}

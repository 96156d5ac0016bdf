package transport

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/routing"
)

const (
	// The service allows more, but one that stopped while staying open must show soon: its
	// news counts as told 2 s after the end of the wait, heard or not.
	journalWait  = 1000 // ms
	journalSlack = 600 * time.Millisecond
	journalRetry = 50 * time.Millisecond
	journalMost  = 500 * time.Millisecond // backoff stays short: the drain rule counts from what is told
	reconnectIn  = 250 * time.Millisecond
)

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Roster follows the journal service.
type Roster struct {
	mu   sync.Mutex
	addr string             // of the journal service
	cut  context.CancelFunc // ends what is under way at that address
	set  decide.Settings
	tail int64
	core *routing.Core
	log  *slog.Logger
}

// NewRoster returns a follower of the journal service at addr.
func NewRoster(addr string, core *routing.Core, log *slog.Logger) *Roster {
	return &Roster{addr: addr, set: core.Settings(), core: core, log: log}
}

// Known takes the events of the start: together they are one list, possibly old.
func (r *Roster) Known(b journal.Batch) {
	_, members := r.fold(b.Entries)
	r.tail = max(r.tail, b.Pos)
	r.core.List(decide.ListCached, slices.DeleteFunc(members, func(m routing.Member) bool { return m.State == decide.EngineGone }))
}

// fold takes events in their order, each once, as one change: of an engine that several
// name the last word counts, so a replay never brings one back that is gone.
func (r *Roster) fold(entries []journal.Entry) (full bool, members []routing.Member) {
	last := map[string]journal.Server{}
	var order []string
	for _, e := range entries {
		if e.Pos <= r.tail {
			continue
		}
		if e.Pos > r.tail+1 && !e.Hosts.Full {
			r.log.Warn("journal events missing", "after", r.tail, "next", e.Pos)
			r.tail = 0 // the first event holds the whole list
			break
		}
		if r.tail = e.Pos; e.Hosts.Full {
			clear(last)
			full, order = true, nil
		}
		for _, s := range e.Hosts.Servers {
			if _, ok := last[s.ID]; !ok {
				order = append(order, s.ID)
			}
			last[s.ID] = s
		}
	}
	for _, id := range order {
		if m, ok := r.member(last[id]); ok {
			members = append(members, m)
		}
	}
	return full, members
}

// Move goes on at another address at once. The old service tells nothing more, so
// a poll that waits there would leave a drain unheard until its end.
func (r *Roster) Move(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addr = addr
	if r.cut != nil {
		r.cut()
	}
}

// here is the address to ask, and a context that ends once it is another.
func (r *Roster) here(ctx context.Context) (string, context.Context, context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, cut := context.WithCancel(ctx)
	r.cut = cut
	return r.addr, at, cut
}

// Run keeps a long poll up until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	wait := journalRetry
	for ctx.Err() == nil {
		addr, here, cut := r.here(ctx)
		heard, err := r.connection(here, addr)
		if here.Err() == nil {
			r.log.Info("journal connection lost", "err", err)
			if heard {
				wait = journalRetry
			}
			select {
			case <-here.Done():
			case <-time.After(wait/2 + rand.N(wait)):
			}
			wait = min(2*wait, journalMost)
		}
		if here.Err() != nil {
			wait = journalRetry
		}
		cut()
	}
}

// connection polls on one connection until it fails or ctx ends.
func (r *Roster) connection(ctx context.Context, addr string) (heard bool, err error) {
	d := net.Dialer{Timeout: reconnectIn * 2}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	l := newLink(c, pageBuffer)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() { stop(); _ = c.Close() }()
	for poll := journal.NewPoll(); ; heard = true {
		if err := l.write(ctx, journal.Ask(addr, r.tail, journalWait), time.Now().Add(journalSlack)); err != nil {
			return heard, err
		}
		deadline := time.Now().Add(journalWait*time.Millisecond + journalSlack)
		var batch *journal.Batch
		keep := false
		for batch == nil {
			b, err := l.read(ctx, deadline)
			if err != nil {
				return heard, err
			}
			if batch, keep, err = poll.Feed(b); err != nil {
				return heard, err
			}
		}
		was := r.tail
		r.take(*batch)
		if !keep {
			return true, errors.New("closed by the journal service")
		}
		if r.tail <= was { // a service that answers at once with nothing new must not fill the core
			select {
			case <-ctx.Done():
			case <-time.After(journalRetry):
			}
		}
	}
}

// take hands on what a batch brings.
func (r *Roster) take(b journal.Batch) {
	full, members := r.fold(b.Entries)
	if full {
		r.core.List(decide.ListFull, members)
	} else if len(members) > 0 {
		r.core.List(decide.ListDelta, members)
	}
}

func (r *Roster) member(s journal.Server) (routing.Member, bool) {
	states := map[string]decide.EngineState{"active": decide.EngineReady, "leaving": decide.EngineDraining, "left": decide.EngineGone}
	state, ok := states[s.State]
	if !ok || s.ID == "" {
		r.log.Warn("journal line unreadable", "id", s.ID, "state", s.State)
		return routing.Member{}, false
	}
	if state != decide.EngineGone {
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			r.log.Warn("journal line unreadable", "id", s.ID, "err", err)
			return routing.Member{}, false
		}
	}
	return routing.Member{Name: s.ID, Addr: s.Addr, EngineEntry: decide.EngineEntry{ID: number(s.ID),
		Zone: place(r.set.Zones, s.Zone), Kind: place(r.set.KindNames, s.Kind), Cell: s.Cell, State: state, Started: s.Started}}, true
}

// place is the index of a name; one that is not known is like the first.
func place(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return 0
}

// number is the module's number for an engine. It hangs on the name alone, so that all
// coordinators hash alike and nothing is kept of engines that are gone.
func number(name string) decide.EngineID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return decide.EngineID(h.Sum64())
}

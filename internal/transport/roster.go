package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/routing"
)

const (
	journalWait  = 2000        // ms; the service allows more, but a silent connection must show soon:
	journalSlack = time.Second // what is told counts as told 7 s later, heard or not
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
	ids  map[string]decide.EngineID
	by   map[decide.EngineID]string
}

// NewRoster returns a follower of the journal service at addr.
func NewRoster(addr string, core *routing.Core, log *slog.Logger) *Roster {
	return &Roster{addr: addr, set: core.Settings(), core: core, log: log,
		ids: map[string]decide.EngineID{}, by: map[decide.EngineID]string{}}
}

// Known takes the events of the start: together they are one list, possibly old.
func (r *Roster) Known(b journal.Batch) {
	byID := map[string]journal.Server{}
	var order []string
	for _, e := range b.Entries {
		if e.Hosts.Full {
			clear(byID)
			order = nil
		}
		for _, s := range e.Hosts.Servers {
			if _, ok := byID[s.ID]; !ok {
				order = append(order, s.ID)
			}
			byID[s.ID] = s
		}
		r.tail = max(r.tail, e.Pos)
	}
	r.tail = max(r.tail, b.Pos)
	var members []routing.Member
	for _, id := range order {
		if m, ok := r.member(byID[id]); ok && m.State != decide.EngineGone {
			members = append(members, m)
		}
	}
	r.core.List(decide.ListCached, members)
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
	l := newLink(c)
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
		r.take(*batch)
		if !keep {
			return true, errors.New("closed by the journal service")
		}
	}
}

// take hands events on in their order, each once.
func (r *Roster) take(b journal.Batch) {
	for _, e := range b.Entries {
		if e.Pos <= r.tail {
			continue
		}
		if e.Pos > r.tail+1 && !e.Hosts.Full {
			r.log.Warn("journal events missing", "after", r.tail, "next", e.Pos)
			r.tail = 0 // the first event holds the whole list
			return
		}
		r.tail = e.Pos
		kind := decide.ListDelta
		if e.Hosts.Full {
			kind = decide.ListFull
		}
		var members []routing.Member
		for _, s := range e.Hosts.Servers {
			if m, ok := r.member(s); ok {
				members = append(members, m)
			}
		}
		r.core.List(kind, members)
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
	return routing.Member{Name: s.ID, Addr: s.Addr, EngineEntry: decide.EngineEntry{ID: r.id(s.ID),
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

// id is the module's number for an engine: the hex digits of its id, so that
// all coordinators hash alike, or else a hash of the whole.
func (r *Roster) id(name string) decide.EngineID {
	if id, ok := r.ids[name]; ok {
		return id
	}
	id, err := strconv.ParseUint(name[strings.LastIndexByte(name, '-')+1:], 16, 64)
	if err != nil {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, name)
		id = uint64(binary.BigEndian.Uint32(h.Sum(nil)))
	}
	for r.by[decide.EngineID(id)] != "" {
		id++ // two names, one number: the later takes the next
	}
	r.ids[name], r.by[decide.EngineID(id)] = decide.EngineID(id), name
	return decide.EngineID(id)
}

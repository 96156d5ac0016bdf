package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errWithdrawn says that an attempt may not begin at an engine, as a withdrawal under its call may yet
// come to be read there.
var errWithdrawn = errors.New("an earlier attempt's withdrawal may still reach the engine")

// withdrawals orders the attempts of a call at an address behind the withdrawals of earlier ones: engines
// know an attempt by its call alone, so one that is read late would end the attempt that came after it.
// They go by address, as an engine may have that of one that is gone.
type withdrawals struct {
	mu sync.Mutex
	of map[withdrawal]*pending
}

type withdrawal struct{ addr, call string }

// pending is a withdrawal that was not answered yet, or never was.
type pending struct {
	over  chan struct{} // closed once it is answered or given up
	until time.Time     // no attempt of its request can come later
}

// begin notes a withdrawal that is about to be sent, for a request whose time ends then. The func
// tells what became of it.
func (w *withdrawals) begin(addr, call string, until time.Time) (end func(err error)) {
	key, p := withdrawal{addr, call}, &pending{make(chan struct{}), until}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for k, old := range w.of { // few: those of the latest seconds
		if now.After(old.until) {
			delete(w.of, k)
		}
	}
	w.of[key] = p
	return func(err error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		// Unanswered it may lie unread at the engine; what could not even connect does not.
		if w.of[key] == p && (err == nil || errors.Is(err, errNoDescriptor) || isDial(err)) {
			delete(w.of, key)
		}
		close(p.over)
	}
}

// wait waits for the end of what withdraws an earlier attempt of a call at an address. The error is
// errWithdrawn where that was never answered, or the end of ctx.
func (w *withdrawals) wait(ctx context.Context, addr, call string) error {
	key := withdrawal{addr, call}
	for {
		w.mu.Lock()
		p := w.of[key]
		w.mu.Unlock()
		if p == nil {
			return nil
		}
		select {
		case <-p.over:
		case <-ctx.Done():
			return ctx.Err()
		}
		w.mu.Lock()
		same := w.of[key] == p
		w.mu.Unlock()
		if same {
			return errWithdrawn
		}
	}
}

// isDial tells whether an error is that of a connection that never stood.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

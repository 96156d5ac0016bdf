package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"aniseloft/internal/transport/netconn"
)

// errCancelPending is returned where an attempt must not start at an endpoint, as the endpoint may still read
// the cancellation of an earlier attempt of the same call.
var errCancelPending = errors.New("the cancellation of an earlier attempt may still reach the engine")

// cancellations delays an attempt of a call at an address until the cancellations of earlier attempts of the
// call have ended. Endpoints identify an attempt by its call alone, so a cancellation that is read late would end
// a later attempt. Cancellations are kept by address, as a new endpoint may have the address of a removed
// endpoint. It is safe for concurrent use.
type cancellations struct {
	mu      sync.Mutex
	pending map[cancelKey]*pendingCancel // cancellations in progress, or given up without an answer
}

// cancelKey is the address of an endpoint and the id of a call.
type cancelKey struct{ addr, call string }

// pendingCancel is a cancellation that is in progress, or that was given up without an answer.
type pendingCancel struct {
	done   chan struct{} // closed once the cancellation is answered or given up
	expiry time.Time     // the request's deadline, after which it has no attempts
}

func newCancellations() *cancellations {
	return &cancellations{pending: map[cancelKey]*pendingCancel{}}
}

// begin records a cancellation that is about to be sent. expiry is the deadline of the call's request. The caller
// must call done once, with the error of the cancellation or nil.
func (t *cancellations) begin(addr, call string, expiry time.Time) (done func(error)) {
	key, p := cancelKey{addr, call}, &pendingCancel{make(chan struct{}), expiry}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(time.Now())
	t.pending[key] = p
	return func(err error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		// The endpoint may still read an unanswered cancellation, unless no connection was established to send it.
		neverSent := errors.Is(err, errNoDescriptors) || netconn.IsDialError(err)
		if t.pending[key] == p && (err == nil || neverSent) {
			delete(t.pending, key)
		}
		close(p.done)
	}
}

// dropExpired deletes the cancellations whose requests have expired. There are few cancellations, so it checks
// all. The caller holds t.mu.
func (t *cancellations) dropExpired(now time.Time) {
	for key, p := range t.pending {
		if now.After(p.expiry) {
			delete(t.pending, key)
		}
	}
}

// wait waits until the cancellations of earlier attempts of a call at an address have ended. It returns
// errCancelPending where a cancellation was given up without an answer, or the error of ctx.
func (t *cancellations) wait(ctx context.Context, addr, call string) error {
	key := cancelKey{addr, call}
	for {
		p := t.find(key)
		if p == nil {
			return nil
		}
		select {
		case <-p.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if t.find(key) == p {
			return errCancelPending
		}
	}
}

func (t *cancellations) find(key cancelKey) *pendingCancel {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending[key]
}

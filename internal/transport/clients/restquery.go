package clients

import (
	"context"
	"errors"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/millis"
	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/routing"
	"aniseloft/internal/spool"
	"aniseloft/internal/spool/ledger"
	"aniseloft/internal/store"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/netconn"
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	// pageSize is the maximum size of a result page's text, in bytes.
	pageSize = 6000
	// clientCheckInterval is how often a connection that waits for memory, or for the first answer to its
	// statement, is checked for a disconnect: nothing may be started for a client that left more than 100 ms ago.
	clientCheckInterval = 25 * time.Millisecond
	// spoolRetryInterval is how often the write of a page is retried while the spool has no space.
	spoolRetryInterval = 20 * time.Millisecond
)

// restQuery is a query that has not ended. The dispatcher answers it by calling Respond. With a spool, the
// result is written by the methods of routing.ResultSink.
type restQuery struct {
	server     *RESTServer
	id         string
	idempotent bool          // a query of its class may run twice
	hasKey     bool          // the client sent an idempotency key, by which it can come back for the result
	spool      *spool.Writer // stores the pages of the result; nil: the query record stores them
	ended      chan struct{} // closed once the query's end has been written to the query record, or that has failed
	endOnce    sync.Once

	mu        sync.Mutex      // guards the fields below
	ticket    *routing.Ticket // identifies the query at the dispatcher; nil until it is submitted
	cancelled bool            // the query must not be submitted any more
}

// cancel withdraws a query at its client's request.
func (q *restQuery) cancel() {
	q.mu.Lock()
	q.cancelled = true
	if q.ticket != nil {
		q.server.Dispatcher.Withdraw(*q.ticket)
	}
	q.mu.Unlock()
	q.end(store.StateCanceled, nil, 0)
}

// clientLeft handles the disconnect of the query's client. Without an idempotency key the result can't be
// fetched, so the query is cancelled. With a key the client may come back: a running query continues,
// and one that has not been sent to an endpoint is rejected, which frees the key.
func (q *restQuery) clientLeft() {
	if !q.hasKey {
		q.cancel()
		return
	}
	q.mu.Lock()
	ticket := q.ticket
	q.cancelled = q.cancelled || ticket == nil
	q.mu.Unlock()
	if ticket != nil {
		q.server.Dispatcher.Detach(*ticket)
	} else {
		q.end(store.StateRejected, nil, q.server.maxRetryAfter())
	}
}

// watchClient checks whether the query's client left while the query was being recorded, and then
// watches for a disconnect on a separate goroutine until stop is called.
func (q *restQuery) watchClient(c *listener.Conn) (stop func()) {
	if netconn.PeerClosed(c.Conn) {
		q.clientLeft()
		return func() {}
	}
	stopped := make(chan struct{})
	go func() {
		t := time.NewTicker(clientCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-t.C:
				if netconn.PeerClosed(c.Conn) {
					q.clientLeft()
					return
				}
			}
		}
	}()
	return func() { close(stopped) }
}

// Respond receives the dispatcher's final answer. The query record is written on a separate goroutine, so
// that the dispatcher's goroutine is not blocked. Clients get the answer only after that write.
func (q *restQuery) Respond(a routing.Answer) { go q.finish(a) }

// endStates maps the kinds of the dispatcher's answers to the states in the query record.
var endStates = map[routing.AnswerKind]store.State{
	routing.Succeeded: store.StateSucceeded,
	routing.Rejected:  store.StateRejected,
	routing.Failed:    store.StateFailed,
}

func (q *restQuery) finish(a routing.Answer) {
	state := endStates[a.Kind]
	var pages []byte
	if a.Kind == routing.Succeeded {
		var err error
		if pages, err = q.storeResult(a.Body, a.Streamed); err != nil {
			q.server.Log.Warn("result not stored", "query", q.id, "err", err)
			// The query ran. If it is idempotent the client may retry it, else the query has failed.
			if state = store.StateFailed; q.idempotent {
				state, a.RetryAfter = store.StateRejected, q.server.retryAfter(err)
			}
		}
	}
	q.end(state, pages, a.RetryAfter)
}

// storeResult writes a result to the spool or, without a spool, returns its pages for the record.
func (q *restQuery) storeResult(body []byte, streamed bool) (pages []byte, err error) {
	if q.spool == nil {
		return codec.Marshal(rest.ParsePages(body, pageSize))
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if !streamed {
		err = q.spoolBody(ctx, body)
	} else {
		err = q.spoolEmptyPage()
	}
	if err != nil {
		return nil, err
	}
	return nil, q.spool.Seal()
}

// spoolBody writes a result that was received as a whole, after removing any pages of an earlier attempt.
func (q *restQuery) spoolBody(ctx context.Context, body []byte) error {
	if err := q.spool.Reset(); err != nil {
		return err
	}
	for _, p := range rest.SplitPages(body, pageSize) {
		if err := q.WritePage(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// spoolEmptyPage writes an empty page for a streamed result without rows: a result has at least one page.
func (q *restQuery) spoolEmptyPage() error {
	if n, _, err := q.server.Spool.Pages(q.id); err != nil || n > 0 {
		return nil
	}
	return q.spool.WritePage(nil)
}

// Reset drops the pages that an unsuccessful attempt has written.
func (q *restQuery) Reset() error { return q.spool.Reset() }

// WritePage stores a page. While the spool has no space but other results are expected to free some, it
// waits until ctx ends; the endpoint's connection is not read meanwhile.
func (q *restQuery) WritePage(ctx context.Context, rows []byte) error {
	for {
		err := q.spool.WritePage(rows)
		var capacityErr spool.CapacityError
		if !errors.As(err, &capacityErr) || capacityErr.Verdict != ledger.MustWait {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(spoolRetryInterval):
		}
	}
}

// end writes the end of the query to the query record. Where that fails, the client is not told of a
// success: a query of an idempotent class is reported as rejected and any other as failed, as after a
// restart.
func (q *restQuery) end(state store.State, pages []byte, retryAfter time.Duration) {
	q.endOnce.Do(func() {
		if q.spool != nil && state != store.StateSucceeded {
			_ = q.spool.Abort() // frees the reserved space at once
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := q.server.Record.Finish(ctx, q.id, state, pages, retryAfter, time.Now().Add(q.server.Retention)); err != nil {
			q.server.Log.Warn("query end not recorded", "query", q.id, "err", err)
		}
		close(q.ended)
		q.server.removeLive(q.id)
	})
}

// maxRetryAfter returns the longest Retry-After that clients obey.
func (s *RESTServer) maxRetryAfter() time.Duration {
	return millis.Duration(s.Dispatcher.Settings().MaxRetryAfter)
}

// retryAfter returns the Retry-After for a result that could not be stored: the time until space is
// expected to be free, if err states one, but at most maxRetryAfter.
func (s *RESTServer) retryAfter(err error) time.Duration {
	var capacityErr spool.CapacityError
	if errors.As(err, &capacityErr) && capacityErr.RetryAfterMS > 0 {
		return min(millis.Duration(capacityErr.RetryAfterMS), s.maxRetryAfter())
	}
	return s.maxRetryAfter()
}

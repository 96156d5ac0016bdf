package clients

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"aniseloft/internal/drain"
	"aniseloft/internal/memory"
	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/routing"
	"aniseloft/internal/spool"
	"aniseloft/internal/store"
	"aniseloft/internal/transport/leasebackend"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/netconn"
)

const (
	restIdleTimeout  = time.Minute     // how long a connection without open requests is kept
	restWriteTimeout = 5 * time.Second // how long a client may take to read an answer before it is disconnected
	// recordTimeout limits one operation on the query record, the SQL store of REST queries.
	recordTimeout = 2 * time.Second
	// badRequestLinger is how long a connection is kept after a malformed request, so that a client that
	// is still sending can read the error answer.
	badRequestLinger = time.Second
)

// RESTServer serves the paged REST protocol. The state of a query is stored in the query record, which
// outlives the process. The result is stored in the spool or, without a spool, in the record.
type RESTServer struct {
	Dispatcher    *routing.Dispatcher
	Record        *store.Store
	Spool         *spool.Store // stores results; nil: the record stores the pages of results
	Drain         DrainPolicy
	Input         *InputMemory         // for incomplete and unhandled requests of all clients
	Retention     time.Duration        // how long an ended query can be read and its idempotency key is kept
	Node          string               // name of this coordinator in the record, which several coordinators may share
	PurgeInterval time.Duration        // time between two purges; 0: defaultPurgeInterval
	Fleet         leasebackend.Backend // nil or without lease.JobPruneRecord: each coordinator purges the record
	// CollectSpool removes results that departed coordinators left in a shared spool; nil: they are not removed.
	CollectSpool func() error
	Log          *slog.Logger

	mu          sync.Mutex            // guards liveQueries
	liveQueries map[string]*restQuery // queries whose end is not yet in the record, by id
}

// Live returns the number of queries whose end is not yet in the record.
func (s *RESTServer) Live() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.liveQueries)
}

func (s *RESTServer) addLive(q *restQuery) {
	s.mu.Lock()
	s.liveQueries[q.id] = q
	s.mu.Unlock()
}

func (s *RESTServer) removeLive(id string) {
	s.mu.Lock()
	delete(s.liveQueries, id)
	s.mu.Unlock()
}

// findLive returns the query with an id while it has not ended on this coordinator, or nil.
func (s *RESTServer) findLive(id string) *restQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveQueries[id]
}

// restConn is one connection. Only its reader, the goroutine of Serve, uses it.
type restConn struct {
	*listener.Conn
	buffered   *netconn.Conn
	input      *connInput      // memory for requests that are incomplete or unhandled
	statements *memory.Account // for the statements of the client's queries
}

// Serve serves one client until it disconnects or ctx ends. It answers one request after the other.
func (s *RESTServer) Serve(ctx context.Context, listenerConn *listener.Conn) {
	c := &restConn{Conn: listenerConn, buffered: netconn.New(listenerConn, netconn.SmallBuffer), input: s.Input.forConn(listenerConn),
		statements: s.Dispatcher.NewStatementOwner()}
	stopInterrupt := context.AfterFunc(ctx, func() { netconn.InterruptRead(c) })
	defer stopInterrupt()
	parser := rest.NewRequestParser()
	defer c.input.release()
	for {
		b, readAt, err := c.ReadBytes(ctx, c.buffered, restIdleTimeout, s.Drain.Draining)
		if err != nil {
			return
		}
		if err := c.input.reserve(parser.BufferedSize()+len(b), inputMaxWait); err != nil {
			s.rejectUnread(ctx, c, err)
			return
		}
		messages, err := parser.Feed(b)
		c.RecordRead(len(messages) > 0, parser.BufferedSize() > 0)
		for i, msg := range messages {
			messages[i] = nil // its statement is not kept while the client waits for the result
			if closeAfter, ok := s.exchange(ctx, c, msg, readAt); !ok || closeAfter && err == nil {
				return
			}
		}
		c.input.shrink(parser.BufferedSize())
		if err != nil {
			c.input.release()
			netconn.Linger(c.Conn.Conn, badRequestLinger)
			return
		}
	}
}

// rejectUnread rejects a request for which there is no memory. Its connection can't be used any more, as the rest of the
// request is not read.
func (s *RESTServer) rejectUnread(ctx context.Context, c *restConn, err error) {
	s.Log.Debug("client connection closed", "err", err)
	if !errors.Is(err, errInputMemoryInUse) {
		return
	}
	c.input.memory.rejected.Add(1)
	answer := rejection(newToken(), s.maxRetryAfter())
	if c.buffered.Write(context.WithoutCancel(ctx), answer, time.Now().Add(restWriteTimeout)) == nil {
		netconn.Linger(c.Conn.Conn, badRequestLinger)
	}
}

// exchange answers one request. closeAfter reports whether the connection is to be closed after the answer. ok
// is false where the connection must be closed at once.
func (s *RESTServer) exchange(ctx context.Context, c *restConn, msg rest.Request, receivedAt time.Time) (closeAfter, ok bool) {
	if _, startsQuery := msg.(rest.SubmitRequest); startsQuery && netconn.PeerClosed(c.Conn.Conn) {
		return false, false // the client disconnected while an earlier request was answered
	}
	if !c.BeginRequest() { // the connection is being closed: the client sends the request again
		return false, false
	}
	defer c.EndRequest()
	answer, closeAfter := s.answer(context.WithoutCancel(ctx), c, msg, receivedAt)
	err := c.buffered.Write(context.WithoutCancel(ctx), answer, time.Now().Add(restWriteTimeout))
	return closeAfter, err == nil
}

func (s *RESTServer) answer(ctx context.Context, c *restConn, msg rest.Request, receivedAt time.Time) (encodedAnswer []byte, closeAfter bool) {
	switch m := msg.(type) {
	case rest.SubmitRequest:
		closeAfter = m.Close
		return s.startQuery(ctx, c, m, receivedAt), closeAfter
	case rest.PageRequest:
		return s.page(ctx, m), m.Close
	case rest.CancelRequest:
		return s.cancel(ctx, m), m.Close
	case rest.InfoRequest:
		return rest.EncodeInfo(!s.Drain.Ready()), m.Close
	case rest.InvalidRequest:
		return m.Response, m.Close
	}
	return rest.EncodeText(500, "not understood"), true
}

// errorAnswer encodes the answer to a request that the server rejects without the dispatcher.
func (s *RESTServer) errorAnswer(err error) []byte {
	var invalid invalidEstimateError
	switch {
	case errors.Is(err, errUnknownClass):
		return rest.EncodeText(400, "X-Trino-Source names no class of queries")
	case errors.As(err, &invalid):
		return rest.EncodeText(400, invalid.Error())
	case errors.Is(err, errKeyRequired):
		return rest.EncodeText(400, rest.HeaderIdempotencyKey+" is needed: this class must not run twice")
	case errors.Is(err, errKeyReused):
		return rest.EncodeText(409, rest.HeaderIdempotencyKey+" was used with another statement")
	case errors.Is(err, errDraining):
		return rejection(newToken(), drain.RetryAfter)
	case errors.Is(err, errQueryNotFound):
		return rest.EncodeText(404, "no such query")
	case errors.Is(err, errPageNotFound):
		return rest.EncodeText(404, "no such page")
	case errors.Is(err, errRecordCorrupt):
		return rest.EncodeText(500, "the record can't be read")
	}
	return rest.EncodeText(500, "the record can't be read; ask again")
}

// minRetryAfter is the shortest Retry-After of this protocol, which states it in whole seconds.
const minRetryAfter = time.Second

// rejection encodes the answer for a query that was not accepted or did not run: the client may retry it.
func rejection(id string, retryAfter time.Duration) []byte {
	e := rest.ErrorRejected
	return rest.EncodeResults(429, rest.QueryResults{ID: id, Stats: rest.Stats{State: "FAILED"}, Error: &e}, max(retryAfter, minRetryAfter))
}

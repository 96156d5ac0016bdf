// Package upstream runs attempts at endpoints. It has a pool of connections within a budget of
// descriptors, and a client for each protocol that endpoints speak.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/violations"
)

// errNoDescriptors is returned where the pool's budget of file descriptors is used up.
var errNoDescriptors = errors.New("no descriptor left for a connection to an engine")

// pooledConn is a connection to an endpoint. It is owned by one call or, while idle, by the pool.
type pooledConn struct {
	*netconn.Conn
	idleSince   time.Time // end of the latest call
	syncPending bool      // an engine.Step's SyncCall was written, and its answer has not been read
	// The latest query on the connection, by which a late duplicate of its end is recognized; zero values: none.
	lastResult  engine.ResultDigest
	lastQueryID string // at an endpoint of the REST protocol
}

// isReusable reports whether an idle connection can carry another call: it is open, and no answer is due on it.
func (c *pooledConn) isReusable() bool {
	if c.syncPending && !c.readSyncAnswer() {
		return false
	}
	return netconn.IsReusable(c.Raw())
}

// readSyncAnswer reports whether the answer to the SyncCall has arrived, and nothing else before it. It does not wait.
func (c *pooledConn) readSyncAnswer() bool {
	if !netconn.HasUnread(c.Raw()) {
		return false
	}
	b, err := c.Read(context.Background(), time.Now().Add(protocolSlack))
	c.syncPending = false
	return err == nil && engine.IsSyncAnswer(b)
}

// Pool holds the connections to all endpoints within a budget of descriptors. It is safe for
// concurrent use.
type Pool struct {
	maxOpen        int           // maximum number of open connections
	connectTimeout time.Duration // time limit to establish a connection
	maxIdleTime    time.Duration // how long a connection is kept idle
	log            *slog.Logger
	// counts holds the numbers of dialled connections, of reused ones, of idle connections closed to give
	// their descriptor to another endpoint (stolen), after maxIdleTime (expired) or as unusable (stale), of
	// dials that found no descriptor (exhausted), and of new connections to resume a query (resumed).
	counts          struct{ dialled, reused, stolen, expired, stale, exhausted, resumed atomic.Int64 }
	invalidReports  violations.Counter // load reports with an invalid field
	invalidProgress violations.Counter // progress of queries that can't be used
	cancellations   *cancellations

	// mu guards the fields below and the state of each endpointPool.
	mu        sync.Mutex
	openCount int // number of connections, idle or in use
	endpoints map[*endpointPool]struct{}
}

// NewPool returns a pool of at most limit connections. A connection must be established within
// connectTimeout and is kept idle for at most maxIdleTime.
func NewPool(limit int, connectTimeout, maxIdleTime time.Duration, log *slog.Logger) *Pool {
	return &Pool{maxOpen: limit, connectTimeout: connectTimeout, maxIdleTime: maxIdleTime, log: log,
		endpoints: map[*endpointPool]struct{}{}, cancellations: newCancellations()}
}

// String returns the line of counters for operators.
func (p *Pool) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.counts
	return fmt.Sprintf("counters engine_connections open=%d limit=%d dialled=%d reused=%d stolen=%d expired=%d stale=%d spent=%d resumed=%d odd_reports=%d odd_notes=%d\n",
		p.openCount, p.maxOpen, c.dialled.Load(), c.reused.Load(), c.stolen.Load(), c.expired.Load(), c.stale.Load(), c.exhausted.Load(), c.resumed.Load(),
		p.invalidReports.Count(), p.invalidProgress.Count())
}

// endpoint adds an empty pool for one endpoint and returns it.
func (p *Pool) endpoint(name, addr string) *endpointPool {
	e := &endpointPool{pool: p, name: name, addr: addr}
	p.mu.Lock()
	p.endpoints[e] = struct{}{}
	p.mu.Unlock()
	return e
}

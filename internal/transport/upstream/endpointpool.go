package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/violations"
)

const (
	// protocolSlack is added to each time limit of the protocol for the delays of sockets.
	protocolSlack = 50 * time.Millisecond
	// minIdleTime is how long a connection stays unused between two calls. A duplicate of an answer may
	// arrive late; on a connection in use it would be taken for the result of the next query. Bytes that
	// arrive on an unused connection cause it to be closed.
	minIdleTime = protocolSlack
	// maxRedials is how often a connection is dialled again that was reset while it was established.
	maxRedials = 2
	// schedulingLag is the delay beyond which a connect timeout counts as noticed late, for lack of CPU
	// time.
	schedulingLag = 20 * time.Millisecond
	// descriptorRetryInterval is the time between two attempts to get a file descriptor from the
	// budget, and between two tries of a cancellation that must be answered.
	descriptorRetryInterval = 10 * time.Millisecond
)

// errUnreachable is returned where no new connection to an endpoint could be established to resume a query.
var errUnreachable = errors.New("engine unreachable")

// endpointPool holds the connections of one endpoint. A new endpoint may get the address of a removed one, so
// connections belong to an endpoint and not to an address. Pool.mu guards the state.
type endpointPool struct {
	pool *Pool
	name string // name of the endpoint, for the log
	addr string

	idleConns []*pooledConn // idle connections, the most recently used last
	openCount int           // number of connections, idle or in use
	isClosed  bool          // close was called: connections in use are dropped after their calls
}

// recordViolation counts a protocol violation of the endpoint.
func (e *endpointPool) recordViolation(c *violations.Counter, kind string) {
	c.Record(e.pool.log, "protocol violation of an endpoint, not used; more of the kind are only counted", kind, e.name)
}

// connections returns the numbers of connections in use and of idle ones.
func (e *endpointPool) connections() (busy, idle int) {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	return e.openCount - len(e.idleConns), len(e.idleConns)
}

// get returns an idle connection that is still usable, or a new one.
func (e *endpointPool) get(ctx context.Context) (*pooledConn, error) {
	if c := e.reuse(); c != nil {
		return c, nil
	}
	return e.dial(ctx)
}

// reuse returns an idle connection that is still usable, or nil.
func (e *endpointPool) reuse() *pooledConn {
	for {
		c := e.popIdle()
		if c == nil {
			return nil
		}
		switch {
		case time.Since(c.idleSince) >= e.pool.maxIdleTime:
			e.pool.counts.expired.Add(1)
		case !c.isReusable():
			e.pool.counts.stale.Add(1)
		default:
			e.pool.counts.reused.Add(1)
			return c
		}
		e.drop(c)
	}
}

// popIdle removes and returns the most recently used connection that has been idle for at least minIdleTime, or nil.
func (e *endpointPool) popIdle() *pooledConn {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	for i := len(e.idleConns) - 1; i >= 0; i-- {
		if c := e.idleConns[i]; time.Since(c.idleSince) >= minIdleTime {
			e.idleConns = slices.Delete(e.idleConns, i, i+1)
			return c
		}
	}
	return nil
}

// reserve takes a descriptor from the budget. If none is left, it closes an idle connection of any endpoint to
// get its descriptor. It returns false where no connection is idle either.
func (e *endpointPool) reserve() bool {
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount < p.maxOpen {
		p.openCount++
		e.openCount++
		return true
	}
	for other := range p.endpoints {
		if len(other.idleConns) > 0 {
			_ = other.idleConns[0].Close()
			other.idleConns = other.idleConns[1:]
			other.openCount--
			e.openCount++
			p.counts.stolen.Add(1)
			return true
		}
	}
	p.counts.exhausted.Add(1)
	return false
}

// release returns a descriptor to the budget.
func (e *endpointPool) release() {
	e.pool.mu.Lock()
	e.pool.openCount--
	e.openCount--
	e.pool.mu.Unlock()
}

// dial opens a connection. It fails where opening takes longer than the pool's connectTimeout.
func (e *endpointPool) dial(ctx context.Context) (*pooledConn, error) {
	if !e.reserve() {
		return nil, errNoDescriptors
	}
	dialStart := time.Now()
	c, err := e.connect(ctx)
	if netconn.IsTimeout(err) && time.Since(dialStart) > e.pool.connectTimeout+schedulingLag {
		// The timeout was noticed late: the process may have lacked the CPU time to notice the connection.
		c, err = e.connectOnce(ctx)
	}
	e.pool.log.Debug("endpoint dialled", "endpoint", e.name, "latency_ms", time.Since(dialStart).Milliseconds(), "err", err)
	if err != nil {
		e.release()
		return nil, err
	}
	e.pool.counts.dialled.Add(1)
	return &pooledConn{Conn: netconn.New(c, netconn.PageBuffer)}, nil
}

// connect opens a connection. It retries after a reset, which does not show that the endpoint refuses connections.
func (e *endpointPool) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.pool.connectTimeout)
	defer cancel()
	c, err := e.dialTCP(ctx)
	for redialCount := 0; redialCount < maxRedials && netconn.IsReset(err); redialCount++ {
		c, err = e.dialTCP(ctx)
	}
	return c, err
}

func (e *endpointPool) connectOnce(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.pool.connectTimeout)
	defer cancel()
	return e.dialTCP(ctx)
}

func (e *endpointPool) dialTCP(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1} // each read has its own deadline, and setting keep-alive costs system calls
	return d.DialContext(ctx, "tcp", e.addr)
}

// redial opens a new connection to resume a query that may be running. It waits for a descriptor until ctx
// ends: a running query is not given up for lack of a descriptor.
func (e *endpointPool) redial(ctx context.Context) (*pooledConn, error) {
	e.pool.counts.resumed.Add(1)
	for {
		c, err := e.dial(ctx)
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, errNoDescriptors) {
			return nil, fmt.Errorf("%w: %w", errUnreachable, err)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(descriptorRetryInterval):
		}
	}
}

// put returns a reusable connection to the pool, and drops connections that have been idle for too long.
func (e *endpointPool) put(c *pooledConn) {
	c.idleSince = time.Now()
	e.pool.mu.Lock()
	var connsToDrop []*pooledConn
	for len(e.idleConns) > 0 && time.Since(e.idleConns[0].idleSince) >= e.pool.maxIdleTime {
		connsToDrop, e.idleConns = append(connsToDrop, e.idleConns[0]), e.idleConns[1:]
	}
	if e.isClosed {
		connsToDrop = append(connsToDrop, c)
	} else {
		e.idleConns = append(e.idleConns, c)
	}
	e.pool.mu.Unlock()
	for _, connToDrop := range connsToDrop {
		e.drop(connToDrop)
	}
}

// drop closes a connection and releases its descriptor.
func (e *endpointPool) drop(c *pooledConn) {
	_ = c.Close()
	e.release()
}

// use runs a call on a connection and interrupts it when ctx ends. Afterwards the connection is returned to the
// pool if it is reusable and was not interrupted, and dropped otherwise.
func (e *endpointPool) use(ctx context.Context, c *pooledConn, call func() (reusable bool)) {
	stop := context.AfterFunc(ctx, c.Interrupt)
	reusable := call()
	if stop() && reusable {
		e.put(c)
	} else {
		e.drop(c)
	}
}

// close drops the idle connections. Connections in use are dropped when their calls end.
func (e *endpointPool) close() {
	e.pool.mu.Lock()
	idleConns := e.idleConns
	e.idleConns, e.isClosed = nil, true
	delete(e.pool.endpoints, e)
	e.pool.mu.Unlock()
	for _, c := range idleConns {
		e.drop(c)
	}
}

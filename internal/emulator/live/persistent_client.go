package live

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// persistentClient uses the connections that it opened to one coordinator until they are closed, whatever becomes of the
// coordinator: with single and pipelined requests, messages in pieces, cancellations and closes of its own.
type persistentClient struct {
	rehearsal   *Rehearsal
	coordinator int
	rand        *rand.Rand
	pools       []*clientPool // of one connection each
	requests    sync.WaitGroup
	unanswered  func(call string) // told of requests whose connection ended first
}

const (
	persistentConnections = 4
	persistentInterval    = 10 * time.Millisecond // between two actions
	pipelinedRequests     = 3
	pieceGap              = 20 * time.Millisecond
)

// queryShape is what kind of query a persistent client sends.
type queryShape struct {
	class  int
	workMS float64
}

// The shapes: look-ups, and a report that outlives each shutdown.
var (
	shortQuery = queryShape{class: 0, workMS: 5}
	longQuery  = queryShape{class: 1, workMS: 60000}
)

// firstPersistentNumber is above the numbers of all queries of a scenario.
const firstPersistentNumber = 1 << 40

var lastPersistentNumber atomic.Int64

// newPersistentClient opens its connections. Those that can't be opened are left out.
func (d *Rehearsal) newPersistentClient(coordinator int, rng *rand.Rand, unanswered func(call string)) *persistentClient {
	c := &persistentClient{rehearsal: d, coordinator: coordinator, rand: rng, unanswered: unanswered}
	for range persistentConnections {
		pool := &clientPool{addr: d.coordinators[coordinator].listen}
		pool.mu.Lock()
		_, err := pool.connection()
		pool.mu.Unlock()
		if err == nil {
			pool.fixed = true
			c.pools = append(c.pools, pool)
		}
	}
	return c
}

// run uses the connections until stop is closed, then waits for the answers that are still due and closes what is open.
func (c *persistentClient) run(stop <-chan struct{}) {
	if len(c.pools) > 0 {
		c.request(c.pools[0], longQuery, 0)
	}
	ticker := time.NewTicker(persistentInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			c.requests.Wait()
			for _, pool := range c.pools {
				pool.close()
			}
			return
		case <-ticker.C:
			if len(c.pools) > 0 {
				c.act(c.pools[c.rand.IntN(len(c.pools))])
			}
		}
	}
}

// act does one thing on a connection; one that is closed by now is left alone.
func (c *persistentClient) act(pool *clientPool) {
	switch c.rand.IntN(8) {
	case 0:
		for range pipelinedRequests {
			c.request(pool, shortQuery, 0)
		}
	case 1:
		c.request(pool, shortQuery, pieceGap)
	case 2:
		if withdraw := c.request(pool, shortQuery, 0); withdraw != nil {
			withdraw()
		}
	default:
		c.request(pool, shortQuery, 0)
	}
}

// request sends a query, in two pieces where gap is not 0, and returns what cancels it; nil: it was not sent.
func (c *persistentClient) request(pool *clientPool, shape queryShape, gap time.Duration) (withdraw func()) {
	d := c.rehearsal
	now := d.clock.Now()
	class := d.scenario.Classes[shape.class]
	number := firstPersistentNumber + lastPersistentNumber.Add(1)
	cl := &client{rehearsal: d, tries: 1, query: scenario.Query{Number: int(number), Class: shape.class, DataSet: 1,
		Work: shape.workMS, EstimatedWork: shape.workMS, NeedMB: class.MemoryMB, EstimatedMB: class.MemoryMB}}
	until := now + class.DeadlineMS
	t := &try{client: cl, id: cl.tryID(), attempt: &attempt{query: cl.query, coordinator: c.coordinator,
		request: &observer.Request{Name: "persistent request " + cl.tryID(), Class: shape.class, Key: cl.query.DataSet, Until: until}}}
	d.requestSent(now, t)
	c.requests.Add(1)
	end := sync.OnceFunc(c.requests.Done)
	leave := func() {
		d.judge.with(func(o *observer.Observer) { o.ClientDisconnected(d.clock.Now(), c.coordinator, t.attempt.request) })
		end()
	}
	cancel, err := pool.sendInPieces(class.Name, cl.params(t.id, until), gap, func(a *answer, arrivedAt time.Time) {
		if a == nil {
			c.unanswered(t.id)
			leave()
			return
		}
		result, _ := a.outcome()
		d.requestAnswered(d.clock.Of(arrivedAt), t.attempt, result)
		end()
	})
	if err != nil {
		leave()
		return nil
	}
	withdraw = func() {
		cancel()
		leave()
	}
	d.clock.after(until+d.scenario.Rules.AnswerSlackMS+socketSlackMS+1, withdraw)
	return withdraw
}

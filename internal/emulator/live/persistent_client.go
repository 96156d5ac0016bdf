package live

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// persistentClient uses the connections that it opened to one coordinator until they are closed, also while the coordinator
// shuts down. It sends single and pipelined requests, messages in two pieces and cancellations.
type persistentClient struct {
	rehearsal   *Rehearsal
	coordinator int
	rand        *rand.Rand
	pools       []*clientPool // pools of one connection each
	requests    sync.WaitGroup
	unanswered  func(requestID string) // called for a request whose connection ended before its answer
}

const (
	persistentConnections = 4
	persistentInterval    = 10 * time.Millisecond // interval between two calls of act
	pipelinedRequests     = 3                     // number of requests that are sent without waiting for answers
	pieceGap              = 20 * time.Millisecond // pause between the two pieces of a message
)

// queryShape is the class and work of a persistent client's query.
type queryShape struct {
	class  int
	workMS float64
}

// The queries of persistent clients: a look-up, and a report that takes longer than any shutdown.
var (
	shortQuery = queryShape{class: 0, workMS: 5}
	longQuery  = queryShape{class: 1, workMS: 60000}
)

// firstPersistentNumber is the lowest number of a persistent client's query. It is above the numbers of all queries of
// a scenario.
const firstPersistentNumber = 1 << 40

// lastPersistentNumber counts the queries of all persistent clients.
var lastPersistentNumber atomic.Int64

// newPersistentClient returns a client with up to persistentConnections open connections, without those that failed to open.
func (d *Rehearsal) newPersistentClient(coordinator int, rng *rand.Rand, unanswered func(requestID string)) *persistentClient {
	c := &persistentClient{rehearsal: d, coordinator: coordinator, rand: rng, unanswered: unanswered}
	for range persistentConnections {
		pool := &clientPool{addr: d.coordinators[coordinator].listen}
		pool.mu.Lock()
		_, err := pool.connection()
		pool.mu.Unlock()
		if err == nil {
			pool.isFixed = true
			c.pools = append(c.pools, pool)
		}
	}
	return c
}

// run uses the connections until stop is closed, then waits until all requests have ended and closes the connections.
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

// act sends one or more requests in a randomly chosen pattern. If the connection is closed, nothing is sent.
func (c *persistentClient) act(pool *clientPool) {
	switch c.rand.IntN(8) {
	case 0:
		for range pipelinedRequests {
			c.request(pool, shortQuery, 0)
		}
	case 1:
		c.request(pool, shortQuery, pieceGap)
	case 2:
		if cancelRequest := c.request(pool, shortQuery, 0); cancelRequest != nil {
			cancelRequest()
		}
	default:
		c.request(pool, shortQuery, 0)
	}
}

// request sends a query, in two pieces if gap is not 0, and returns the function that cancels the
// request; nil: the request was not sent.
func (c *persistentClient) request(pool *clientPool, shape queryShape, gap time.Duration) (cancelRequest func()) {
	d := c.rehearsal
	now := d.clock.Now()
	class := d.scenario.Classes[shape.class]
	number := firstPersistentNumber + lastPersistentNumber.Add(1)
	cl := &client{rehearsal: d, tries: 1, query: scenario.Query{Number: int(number), Class: shape.class, DataSet: 1,
		Work: shape.workMS, EstimatedWork: shape.workMS, NeedMB: class.MemoryMB, EstimatedMB: class.MemoryMB}}
	until := now + class.DeadlineMS
	t := &try{client: cl, id: cl.tryID(), request: &clientRequest{query: cl.query, coordinator: c.coordinator,
		observed: &observer.Request{Name: "persistent request " + cl.tryID(), Class: shape.class, Key: cl.query.DataSet, Until: until}}}
	d.requestSent(now, t)
	c.requests.Add(1)
	end := sync.OnceFunc(c.requests.Done)
	disconnect := func() {
		d.sharedObserver.with(func(o *observer.Observer) { o.ClientDisconnected(d.clock.Now(), c.coordinator, t.request.observed) })
		end()
	}
	cancel, err := pool.sendInPieces(class.Name, cl.params(t.id, until), gap, func(a *answer, arrivedAt time.Time) {
		if a == nil {
			c.unanswered(t.id)
			disconnect()
			return
		}
		result, _ := a.outcome()
		d.requestAnswered(d.clock.FromWallTime(arrivedAt), t.request, result)
		end()
	})
	if err != nil {
		disconnect()
		return nil
	}
	cancelRequest = func() {
		cancel()
		disconnect()
	}
	d.clock.after(until+d.scenario.Rules.AnswerSlackMS+socketSlackMS+1, cancelRequest)
	return cancelRequest
}

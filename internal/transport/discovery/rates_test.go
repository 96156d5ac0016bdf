package discovery

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/memory"
	"aniseloft/internal/routing"
)

// countingService is a discovery service that counts connections and calls per 100 ms, and can be made to fail.
type countingService struct {
	mu          sync.Mutex
	addr        string
	start       time.Time
	dials       map[int]int       // connections by interval of 100 ms since start
	calls       map[int]int       // calls by interval of 100 ms since start
	closesConns bool              // the service accepts connections and closes them at once
	holdsCalls  bool              // the service accepts calls and does not answer
	conns       map[net.Conn]bool // open connections
}

// count adds 1 to the count of the current interval of 100 ms. The caller holds c.mu.
func (c *countingService) count(m map[int]int) {
	m[int(time.Since(c.start)/(100*time.Millisecond))]++
}

func newCountingService(t *testing.T) *countingService {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c := &countingService{addr: l.Addr().String(), start: time.Now(), dials: map[int]int{}, calls: map[int]int{}, conns: map[net.Conn]bool{}}
	stop := make(chan struct{})
	srv := &http.Server{ConnState: func(conn net.Conn, s http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch s {
		case http.StateNew:
			c.conns[conn] = true
			if c.count(c.dials); c.closesConns {
				_ = conn.Close()
			}
		case http.StateClosed:
			delete(c.conns, conn)
		}
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.count(c.calls)
		holdsCalls := c.holdsCalls
		wait, _ := strconv.Atoi(r.URL.Query().Get("max_wait"))
		c.mu.Unlock()
		if holdsCalls {
			<-r.Context().Done()
			return
		}
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-stop:
		}
		_, _ = io.WriteString(w, `{"pos":0,"entries":[]}`)
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { close(stop); _ = srv.Close() })
	return c
}

// set changes how the service fails, and closes its open connections.
func (c *countingService) set(closesConns, holdsCalls bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesConns, c.holdsCalls = closesConns, holdsCalls
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// between returns the sum of the counts between two times, and the largest count of an interval of 100 ms.
func (c *countingService) between(m map[int]int, from, to time.Time) (sum, peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, n := range m {
		begin := c.start.Add(time.Duration(at) * 100 * time.Millisecond)
		if !begin.Before(from) && begin.Before(to) {
			sum, peak = sum+n, max(peak, n)
		}
	}
	return sum, peak
}

// The load of 80 coordinators on the discovery service must not exceed the sum of their individual limits: one long poll each
// while it is healthy, and otherwise as many dials as the shortest waits of the backoff allow. The calls must be spread and not
// in step.
func TestEightyWatchersStayWithinRates(t *testing.T) {
	const n = 80
	c := newCountingService(t)
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	log := slog.New(slog.DiscardHandler)
	for range n {
		dispatcher, err := routing.NewDispatcher(decide.Settings{Balancers: 1, TickInterval: 5, MaxAttempts: 1, Kinds: []decide.EndpointKind{{Cores: 1}},
			Classes: []decide.Class{{LatencyObjective: 100, Deadline: 1000, Threads: 1}}}, 1, nil, log, memory.NewBudget(1<<20, 4))
		require.NoError(t, err)
		all.Go(func() { dispatcher.Run(ctx) })
		all.Go(func() { NewWatcher(c.addr, dispatcher, log).Run(ctx) })
	}
	defer func() { cancel(); all.Wait() }()
	allPolled := func() bool { sum, _ := c.between(c.calls, c.start, time.Now()); return sum >= n }
	require.Eventually(t, allPolled, 20*time.Second, 10*time.Millisecond)
	requireRate := func(name string, m map[int]int, span time.Duration, limit int) (peak int) {
		from := time.Now()
		time.Sleep(span)
		var sum int
		sum, peak = c.between(m, from, time.Now())
		// After a stall of the machine, overdue calls come all at once, so the limit is scaled by the time that has passed.
		bound := float64(limit) * float64(time.Since(from)) / float64(span)
		require.LessOrEqual(t, float64(sum), bound, name)
		t.Logf("%s: %d in %v, at most %.0f; largest count per 100 ms: %d", name, sum, time.Since(from).Round(time.Millisecond), bound, peak)
		return peak
	}
	// All watchers started at the same time, as after a common failure. An even spread is 8 per 100 ms.
	require.Less(t, requireRate("calls while the service is healthy", c.calls, 4*time.Second, n*5), n/2, "the polls are in step")
	requireRate("dials while the service is healthy", c.dials, time.Second, n/10)
	c.set(true, false)
	// Each watcher waits for at least half of its backoff: 25, 50, 100 and 200 ms, and 250 ms from then on.
	requireRate("dials while the service ends connections", c.dials, 2*time.Second, n*(4+2000/250+1))
	c.set(false, true)
	time.Sleep(time.Second)
	// A call without an answer ends after pollWaitMS and answerSlack.
	requireRate("calls while the service answers nothing", c.calls, 2*time.Second, n*(1+2000/(pollWaitMS+int(answerSlack/time.Millisecond))+1))
}

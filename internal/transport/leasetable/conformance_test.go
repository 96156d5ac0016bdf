package leasetable_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/pgtest"
	"aniseloft/internal/store"
	"aniseloft/internal/testdir"
	"aniseloft/internal/transport/coordination"
	"aniseloft/internal/transport/leasebackend"
	"aniseloft/internal/transport/leasetable"
)

const job = lease.JobPruneRecord

// backend is a lease backend under test. It starts coordinators of one installation and grants them leases.
type backend struct {
	start func(ctx context.Context, t *testing.T, name string) leasebackend.Backend
	// setDown makes the service that grants the leases unavailable or available again; nil: it cannot be stopped
	// separately.
	setDown func(down bool)
}

func monotonicClock() func() lease.Millis {
	start := time.Now()
	return func() lease.Millis { return float64(time.Since(start)) / float64(time.Millisecond) }
}

func recordBackend(dsn string, setDown func(bool)) backend {
	conf := fleetconf.Config{Installation: "here", Backend: fleetconf.BackendRecord, Jobs: []string{job}, LeaseMS: 600}
	return backend{setDown: setDown, start: func(ctx context.Context, t *testing.T, name string) leasebackend.Backend {
		record, err := store.Open(ctx, dsn)
		require.NoError(t, err)
		t.Cleanup(func() { _ = record.Close() })
		n, err := leasetable.New(ctx, conf, name, record, monotonicClock(), slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		return n
	}}
}

func consensusBackend(t *testing.T) backend {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	conf := fleetconf.Config{Installation: "here", Generation: 1, Jobs: []string{job}, LeaseMS: 600,
		Replicas: []fleetconf.Replica{{Name: "replica", Addr: l.Addr().String()}}}
	require.NoError(t, l.Close())
	start := func(_ context.Context, t *testing.T, name string) leasebackend.Backend {
		c := conf
		c.Directory = testdir.Dir(t)
		n, err := coordination.New(c, name, monotonicClock(), slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		return n
	}
	replica := start(t.Context(), t, "replica")
	replica.Drain() // this node only runs the group's replica, and takes no lease
	go replica.Run(t.Context())
	return backend{start: start}
}

var backends = map[string]func(t *testing.T) backend{
	"SQLite record": func(t *testing.T) backend { return recordBackend(filepath.Join(testdir.Dir(t), "record.db"), nil) },
	"PostgreSQL record": func(t *testing.T) backend {
		pg := pgtest.NewServer(t)
		return recordBackend(pg.DSN, func(down bool) { pg.Unavailable.Store(down) })
	},
	"PostgreSQL record with lost replies": func(t *testing.T) backend {
		pg := pgtest.NewServer(t)
		var n atomic.Int64
		pg.DropReply = func(statement string) bool { // after the commit, so that the client does not know the outcome
			return strings.Contains(statement, "lease") && strings.Contains(statement, "RETURNING") && n.Add(1)%3 == 0
		}
		return recordBackend(pg.DSN, func(down bool) { pg.Unavailable.Store(down) })
	},
	"consensus group": consensusBackend,
}

// target is the resource that the job's operations change. It checks the fence of each operation.
type target struct {
	mu     sync.Mutex
	record lease.FenceRecord
}

// operate lets a coordinator carry out one operation. It returns false if the coordinator may not begin one or the
// target refuses it.
func (x *target) operate(node leasebackend.Backend) bool {
	fence, holder, ok := node.Begin(job)
	if !ok {
		return false
	}
	defer node.End(job, fence)
	time.Sleep(rand.N(3 * time.Millisecond))
	x.mu.Lock()
	next, err := x.record.Admit(job, fence, holder)
	if err == nil {
		x.record = next
	}
	x.mu.Unlock()
	var stale lease.StaleFenceError
	if errors.As(err, &stale) {
		node.ReportStaleFence(job, stale)
	}
	return err == nil
}

func (x *target) highestFence() lease.Fence {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.record.Fence
}

// skipFences makes the target record a fence that the backend has not granted yet, as if the backend had lost its
// state.
func (x *target) skipFences(count lease.Fence) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.record = lease.FenceRecord{Fence: x.record.Fence + count, Holder: "former holder"}
}

// claimFence makes the target record its highest fence as accepted from another holder, as if a former backend had
// granted the same fence.
func (x *target) claimFence() (claimed lease.Fence) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.record.Holder = "former holder"
	return x.record.Fence
}

// cluster holds three coordinators that compete for the job.
type cluster struct {
	nodes  []leasebackend.Backend
	stops  []context.CancelFunc // one function per node, which stops it without a release of its lease, as in a crash
	target target
}

func startCluster(t *testing.T, b backend) *cluster {
	c := &cluster{}
	for n := range 3 {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		node := b.start(ctx, t, fmt.Sprint("n", n))
		c.nodes, c.stops = append(c.nodes, node), append(c.stops, cancel)
		go node.Run(ctx)
	}
	return c
}

// holder returns the index of the first coordinator that holds the job, or -1.
func (c *cluster) holder() int {
	return slices.IndexFunc(c.nodes, func(node leasebackend.Backend) bool { return node.Holds(job) })
}

// countDoubleHolders counts, until ctx ends, how often two coordinators hold the job at the same time.
func (c *cluster) countDoubleHolders(ctx context.Context, count *atomic.Int64) {
	for ctx.Err() == nil {
		first := c.holder()
		for n := first + 1; first >= 0 && n < len(c.nodes); n++ {
			if c.nodes[n].Holds(job) && c.nodes[first].Holds(job) && c.nodes[n].Holds(job) {
				count.Add(1)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// eventually waits for a condition. The timeout allows for a slow machine and is not a requirement on speed.
func eventually(t *testing.T, condition func() bool, msgAndArgs ...any) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond, msgAndArgs...)
}

func (c *cluster) eventuallyOperates(t *testing.T, n int) {
	t.Helper()
	eventually(t, func() bool { return c.target.operate(c.nodes[n]) })
}

// Every backend must grant the job to one coordinator at a time, under a higher fence each time: to another coordinator
// after the holder drains or crashes, under a fence above those that the target has recorded for any holder, and to no
// coordinator while the backend is down.
func TestBackendsConform(t *testing.T) {
	for name, newBackend := range backends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t)
			c := startCluster(t, b)
			var doubleHolders atomic.Int64
			go c.countDoubleHolders(t.Context(), &doubleHolders)
			eventually(t, func() bool { return c.holder() >= 0 })
			firstHolder := c.holder()
			c.eventuallyOperates(t, firstHolder)

			c.nodes[firstHolder].Drain()
			eventually(t, func() bool { n := c.holder(); return n >= 0 && n != firstHolder })
			secondHolder := c.holder()
			c.eventuallyOperates(t, secondHolder)

			c.stops[secondHolder]()                       // crash
			thirdHolder := 3 - firstHolder - secondHolder // the indexes of the three nodes add up to 3
			c.eventuallyOperates(t, thirdHolder)
			require.False(t, c.nodes[secondHolder].Holds(job) && c.nodes[thirdHolder].Holds(job))

			c.target.skipFences(1000)
			c.eventuallyOperates(t, thirdHolder)
			require.Greater(t, c.target.highestFence(), lease.Fence(1000))

			claimed := c.target.claimFence()
			c.eventuallyOperates(t, thirdHolder)
			require.Greater(t, c.target.highestFence(), claimed)

			if b.setDown != nil {
				b.setDown(true)
				eventually(t, func() bool { return c.holder() < 0 }, "a coordinator still holds the job while the backend is down")
				b.setDown(false)
				c.eventuallyOperates(t, thirdHolder)
			}
			require.Zero(t, doubleHolders.Load(), "two coordinators held the job at the same time")
		})
	}
}

package leasebackend

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"aniseloft/internal/lease"
)

// Client is a lease.Client that is safe for concurrent use and logs its events. A lease backend embeds it and
// exchanges the keep-alive messages.
type Client struct {
	// KeepAliveNow receives a value when the next keep-alive request is due at once. It buffers one value and is
	// never closed; the backend's goroutine receives from it.
	KeepAliveNow chan struct{}
	Clock        func() lease.Millis // the coordinator's monotonic clock
	Log          *slog.Logger

	mu          sync.Mutex // guards client
	client      *lease.Client
	self        lease.Holder
	jobs        []string     // jobs that one coordinator does for the whole fleet
	staleFences atomic.Int64 // number of operations that were refused because of a stale fence
}

// NewClient returns the client of a new incarnation of the named coordinator. The capacity is relative to that of other
// coordinators; 0 means 1.
func NewClient(name string, jobs []string, capacity, driftBound float64, clock func() lease.Millis, log *slog.Logger) *Client {
	if capacity == 0 {
		capacity = 1
	}
	self := lease.Holder{Name: name, Incarnation: rand.Uint64() >> 1}
	return &Client{KeepAliveNow: make(chan struct{}, 1), Clock: clock, Log: log, self: self, jobs: jobs,
		client: lease.NewClient(self, jobs, capacity, driftBound)}
}

// With runs f on the client under the lock, and logs the resulting events. f must not call methods of c.
func (c *Client) With(f func(*lease.Client)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.client)
	for _, e := range c.client.TakeEvents() {
		c.Log.Info(string(e.Kind), "job", e.Job, "fence", e.Fence, "holder", e.Holder, "reason", string(e.Reason))
		if e.Kind == lease.EventLost {
			c.RequestKeepAlive()
		}
	}
}

// RequestKeepAlive makes the next keep-alive request due at once. It does not block.
func (c *Client) RequestKeepAlive() {
	select {
	case c.KeepAliveNow <- struct{}{}:
	default:
	}
}

// Self identifies this incarnation of the coordinator.
func (c *Client) Self() lease.Holder { return c.self }

// HasJob reports whether the job is one that a single coordinator does for the whole fleet.
func (c *Client) HasJob(job string) bool { return slices.Contains(c.jobs, job) }

// Begin reports whether an operation of the job may begin, and under which fence and holder. Each Begin that succeeds
// needs an End.
func (c *Client) Begin(job string) (fence lease.Fence, holder string, ok bool) {
	c.With(func(client *lease.Client) { fence, ok = client.Begin(c.Clock(), job) })
	return fence, c.self.String(), ok
}

// End ends an operation that Begin has begun.
func (c *Client) End(job string, fence lease.Fence) {
	c.With(func(client *lease.Client) { client.End(c.Clock(), job, fence) })
}

// ReportStaleFence drops the lease on a job after the target, which the job's operations change, has refused an
// operation because of a stale fence.
func (c *Client) ReportStaleFence(job string, refusal lease.StaleFenceError) {
	c.staleFences.Add(1)
	c.Log.Warn("lease operation refused, fence is stale", "job", job, "fence", refusal.Fence, "highest_fence", refusal.Highest)
	c.With(func(client *lease.Client) { client.ObserveHigherFence(job, refusal) })
	c.RequestKeepAlive()
}

// Holds reports whether this coordinator holds the job now.
func (c *Client) Holds(job string) (held bool) {
	c.With(func(client *lease.Client) { _, held = client.Held(c.Clock(), job) })
	return held
}

// Drain releases every lease once its active operations have ended, and takes no new ones.
func (c *Client) Drain() {
	c.With(func(client *lease.Client) { client.Drain(c.Clock()) })
	c.RequestKeepAlive()
}

// Idle reports whether no lease is held and all releases are acknowledged.
func (c *Client) Idle() (idle bool) {
	c.With(func(client *lease.Client) { idle = client.Idle() })
	return idle
}

// String formats the counters: refused operations and held jobs with their fences.
func (c *Client) String() string {
	var held []string
	c.With(func(client *lease.Client) {
		for _, job := range c.jobs {
			if fence, ok := client.Held(c.Clock(), job); ok {
				held = append(held, fmt.Sprintf("%s:%d", job, fence))
			}
		}
	})
	return fmt.Sprintf("refused=%d owns=%s", c.staleFences.Load(), strings.Join(held, ","))
}

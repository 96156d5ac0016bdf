// Package leasetable grants the fleet's leases from rows of the shared REST record (an SQL database), by the clock of
// that database. It is the
// lease backend of installations that share a record and run no consensus group. While the record is down, leases
// expire and no coordinator holds a job; requests are still served.
package leasetable

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/store"
	"aniseloft/internal/transport/leasebackend"
)

// ErrImmutable is returned by Reload for a change that needs a restart.
var ErrImmutable = errors.New("fleet: the installation and the lease backend cannot change while the coordinator runs; restart it")

// Node is a coordinator's lease client that exchanges keep-alive messages with the record.
//
// The goroutine of Run owns the unexported state; the methods of the embedded client may be called from any goroutine.
type Node struct {
	*leasebackend.Client
	store     *store.Store
	conf      fleetconf.Config
	freeSince map[string]lease.Millis // time at which each free job was first seen free, by job

	polls, consecutiveFailures atomic.Int64 // keep-alive requests; failures since the latest success
}

// New creates the lease table if it is missing, and returns a node that Run starts.
func New(ctx context.Context, conf fleetconf.Config, name string, record *store.Store, clock func() lease.Millis, log *slog.Logger) (*Node, error) {
	if err := record.CreateLeaseTable(ctx); err != nil {
		return nil, fmt.Errorf("fleet: create the lease table: %w", err)
	}
	return &Node{Client: leasebackend.NewClient(name, conf.Jobs, conf.Capacity, conf.Timing().DriftBound, clock, log),
		store: record, conf: conf, freeSince: map[string]lease.Millis{}}, nil
}

// Run renews leases until ctx ends.
func (n *Node) Run(ctx context.Context) {
	interval := time.Duration(n.conf.Timing().LeaseTTL / lease.KeepAlivesPerLease * float64(time.Millisecond))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		n.poll(ctx, 2*interval)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.KeepAliveNow:
		}
	}
}

// poll carries out one keep-alive request on the record. If any part fails, the client gets no response, and its leases
// expire by its own clock.
func (n *Node) poll(ctx context.Context, timeout time.Duration) {
	var request lease.KeepAliveRequest
	n.With(func(client *lease.Client) { request = client.KeepAlive(n.Clock()) })
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n.polls.Add(1)
	response, err := n.execute(ctx, request)
	if err != nil {
		if n.consecutiveFailures.Add(1) == 1 {
			n.Log.Warn("lease table unavailable", "err", err)
		}
		return
	}
	if n.consecutiveFailures.Swap(0) > 0 {
		n.Log.Info("lease table available again")
	}
	n.With(func(client *lease.Client) { client.HandleResponse(n.Clock(), response) })
}

// execute raises fences, releases leases and then renews or takes leases. It continues after an error, and returns all
// errors joined.
func (n *Node) execute(ctx context.Context, request lease.KeepAliveRequest) (lease.KeepAliveResponse, error) {
	holder := request.Holder.String()
	var errs []error
	for _, id := range request.HigherFences {
		errs = append(errs, n.store.RaiseFence(ctx, id.Job, id.Fence))
		// If this client's own grant has the same fence, the target has accepted that fence from another holder. The
		// release frees the job, so that the next grant has a higher fence.
		errs = append(errs, n.store.ReleaseLease(ctx, id.Job, holder, id.Fence))
	}
	for _, id := range request.Released {
		errs = append(errs, n.store.ReleaseLease(ctx, id.Job, holder, id.Fence))
	}
	response := lease.KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt}
	for _, job := range n.conf.Jobs {
		mayTake := !request.Draining && n.mayTake(job, request.Holder.Name)
		row, err := n.store.AcquireLease(ctx, job, holder, n.conf.Timing().LeaseTTL, mayTake)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		n.observe(job, row)
		id := lease.GrantID{Job: job, Fence: row.Fence}
		response.Assignments = append(response.Assignments, lease.Assignment{GrantID: id, HolderName: row.Holder})
		if row.Holder == holder {
			response.Grants = append(response.Grants, lease.Grant{GrantID: id, TTL: n.conf.Timing().LeaseTTL})
		}
	}
	return response, errors.Join(errs...)
}

// observe records when a job was first seen free.
func (n *Node) observe(job string, row store.LeaseRow) {
	if !row.Free {
		delete(n.freeSince, job)
	} else if _, known := n.freeSince[job]; !known {
		n.freeSince[job] = n.Clock()
	}
}

// mayTake reports whether this coordinator may try to take a free job yet. Each coordinator waits for a fraction of the
// keep-alive interval that is derived from a hash of the job and its name, so that jobs are spread over the
// coordinators and not all of them try at once.
func (n *Node) mayTake(job, name string) bool {
	firstSeenFree, known := n.freeSince[job]
	fraction := float64(xxhash.Sum64String(job+"\x00"+name)>>11) / (1 << 53)
	return known && n.Clock()-firstSeenFree >= fraction*n.conf.Timing().LeaseTTL/lease.KeepAlivesPerLease
}

// Subscribe does nothing: the record carries no publications.
func (n *Node) Subscribe(func(leasebackend.Publication)) {}

// Publish does nothing: the record carries no publications.
func (n *Node) Publish(string, lease.Fence, uint64, []byte) {}

// Reload returns ErrImmutable if the new configuration changes the installation or the backend; other changes take
// effect after a restart.
func (n *Node) Reload(conf fleetconf.Config) error {
	if conf.Installation != n.conf.Installation || conf.Backend != n.conf.Backend {
		return ErrImmutable
	}
	return nil
}

// String formats the counters.
func (n *Node) String() string {
	return fmt.Sprintf("counters fleet asks=%d failing=%d %s\n", n.polls.Load(), n.consecutiveFailures.Load(), n.Client)
}

// Package leasebackend defines the interface to the service that grants this coordinator leases on fleet-wide jobs, and
// the code that its implementations share. There are two: internal/transport/coordination and
// internal/transport/leasetable.
package leasebackend

import (
	"context"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/lease"
)

// Backend tells this coordinator which jobs one coordinator does for the whole fleet and whether it may begin an
// operation of such a job, and carries the publications of job holders. It is safe for concurrent use.
type Backend interface {
	// HasJob reports whether the job is one that a single coordinator does for the whole fleet.
	HasJob(job string) bool
	// Holds reports whether this coordinator holds the job now. It is for display: use Begin before an operation.
	Holds(job string) bool
	// Begin reports whether an operation of the job may begin, and under which fence and holder. Each Begin that
	// succeeds needs an End.
	Begin(job string) (fence lease.Fence, holder string, ok bool)
	// End ends an operation that Begin has begun.
	End(job string, fence lease.Fence)
	// ReportStaleFence drops the lease on a job after the target, which the job's operations change, has refused an
	// operation because of a stale fence.
	ReportStaleFence(job string, refusal lease.StaleFenceError)
	// Publish sends data of the job to all coordinators, under a fence that Begin returned. Messages under one fence
	// are numbered from 1. Delivery is not guaranteed.
	Publish(job string, fence lease.Fence, sequence uint64, data []byte)
	// Subscribe sets the function that receives the publications of job holders. It must be called before Run.
	Subscribe(f func(Publication))
	// Drain releases every lease once its active operations have ended, and takes no new ones.
	Drain()
	// Idle reports whether no lease is held and all releases are acknowledged.
	Idle() bool
	// Run keeps the leases and delivers publications until ctx ends.
	Run(ctx context.Context)
	// String returns the line of counters for operators.
	String() string
}

// Publication is a message from the holder of a job to all coordinators. The embedded Assignment is the grant that it
// is sent under.
type Publication struct {
	lease.Assignment
	Seq  uint64              `json:"seq"` // sequence number, from 1 under each grant
	Data jsoniter.RawMessage `json:"data"`
}

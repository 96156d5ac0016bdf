// Package lease defines leases on jobs that one coordinator does for the whole fleet, and the client that holds them.
//
// A job has at most one holder at a time. Each grant carries a fencing token, [Fence], higher than those of all earlier grants; the target of
// the job's operations refuses a token below the highest that it has accepted ([FenceRecord]). A [Client] renews its
// leases with the leader that [LeaderResolver] selects and decides which operations may begin.
//
// The package is deterministic and does no I/O: callers pass in messages and times. Grants come from the consensus
// group (internal/consensus) or from rows of a shared SQL store, the record (internal/transport/leasetable).
// docs/leases.md argues why this is safe.
package lease

import "fmt"

// Millis is a time or a duration in milliseconds by one process's monotonic clock. Times of two processes are never
// compared.
type Millis = float64

// Fence is the fencing token of a grant. Each grant of a job has a higher token than all earlier ones; 0 means no
// grant.
type Fence uint64

// Holder identifies one incarnation of a client: a process that restarts is another holder.
type Holder struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"boot"` // drawn when the process starts
}

// String returns the name and incarnation, as logs and targets identify the holder.
func (h Holder) String() string { return fmt.Sprintf("%s/%x", h.Name, h.Incarnation) }

// GrantID identifies one grant of a job.
type GrantID struct {
	Job   string `json:"job"`
	Fence Fence  `json:"fence"`
}

// Grant is one lease that a keep-alive response grants or renews.
type Grant struct {
	GrantID
	TTL     Millis `json:"length"`           // counted from when the request was sent; by the granting side's clock
	Reclaim bool   `json:"return,omitempty"` // asks the holder to release the job
}

// Assignment tells all clients who holds a job.
type Assignment struct {
	GrantID
	HolderName string `json:"name,omitempty"` // client name without the incarnation; empty: the job is free
}

// Timing holds the intervals of leases and of the consensus group.
type Timing struct {
	Tick           Millis  // interval of the replicas' logical clock, in ms
	HeartbeatTicks int     // interval of the leader's heartbeats, in ticks
	ElectionTicks  int     // minimum election timeout; each timeout is drawn between this and twice this
	LeaseTTL       Millis  // lease duration, in ms
	DriftBound     float64 // upper bound on how far the rate of a clock differs from 1
}

// DefaultTiming returns the timing for replicas on one site. An election takes less time than a lease, so that holders
// keep their leases when the leader fails.
func DefaultTiming() Timing {
	return Timing{Tick: 50, HeartbeatTicks: 2, ElectionTicks: 10, LeaseTTL: 2000, DriftBound: 0.01}
}

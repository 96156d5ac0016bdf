// Package consensus implements the replicas that agree on who holds the lease on each fleet-wide job.
//
// A [Replica] wraps one node of go.etcd.io/raft and applies committed commands to a [StateMachine]. The leader renews
// leases on the keep-alive requests of clients, expires leases that were not renewed in time and grants free jobs.
//
// The package is deterministic and does no I/O: the caller passes in messages and times and carries out what
// [Replica.Ready] returns. The same code therefore runs over sockets (internal/transport/coordination) and in virtual
// time (internal/drill). docs/leases.md argues why this is safe.
package consensus

package coordination

import (
	"fmt"

	"aniseloft/internal/consensus"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
	"aniseloft/internal/transport/leasebackend"
)

// Subscribe sets the function that receives the publications of job holders. f is called once the fence of a
// publication is stored, from reader goroutines and from the replica goroutine, and must not block. It replaces an
// earlier subscriber.
func (n *Node) Subscribe(f func(leasebackend.Publication)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscriber = f
}

// Publish sends data to all clients of the leader under the grant of a job. seq is the publication's sequence number
// under that grant. Delivery is not guaranteed, so the publisher has to repeat its data.
func (n *Node) Publish(job string, fence lease.Fence, seq uint64, data []byte) {
	p := leasebackend.Publication{Assignment: lease.Assignment{GrantID: lease.GrantID{Job: job, Fence: fence}, HolderName: n.name}, Seq: seq, Data: data}
	payload, err := codec.Marshal(p)
	if err != nil {
		return
	}
	n.counters.publications.Add(1)
	n.mu.Lock()
	leaderName, leaderConn := n.resolver.Current(), n.leaderConn
	n.mu.Unlock()
	if leaderName == n.name {
		n.enqueue(func(*consensus.Replica) { n.replicaHost.broadcast(payload) })
	} else if leaderConn != nil {
		leaderConn.send(fleet.Append(nil, n.installation, fleet.Frame{Kind: fleet.Publication, Payload: payload}))
	}
}

// broadcast sends a publication to all clients of this replica.
func (h *replicaHost) broadcast(payload []byte) {
	frame := fleet.Append(nil, h.node.installation, fleet.Frame{Kind: fleet.Publication, Payload: payload})
	for _, c := range h.clientConns {
		if c == nil {
			_ = h.node.handlePublication(payload)
		} else {
			c.send(frame)
		}
	}
}

// handlePublication delivers a publication to the subscriber unless its fence is stale. A new fence is stored before
// the delivery, so that publications of a stale holder are dropped after a restart too.
func (n *Node) handlePublication(payload []byte) error {
	var p leasebackend.Publication
	if err := codec.Unmarshal(payload, &p); err != nil {
		return fmt.Errorf("%w: %w", fleet.ErrMalformed, err)
	}
	if !n.HasJob(p.Job) {
		return nil
	}
	var err error
	var latestAssignment lease.Assignment
	accepted := false
	n.With(func(client *lease.Client) {
		latestAssignment = client.LatestAssignment(p.Job)
		accepted = client.ObserveAssignment(p.Assignment)
		if accepted && (p.Fence > latestAssignment.Fence || p.HolderName != latestAssignment.HolderName) {
			err = n.storeFollowedFences(client)
		}
	})
	switch {
	case err != nil:
		n.Log.Error("fleet publication dropped, its fence cannot be stored", "err", err)
	case !accepted:
		n.counters.stalePublications.Add(1)
		n.Log.Warn("fleet publication dropped, its fence is stale", "job", p.Job, "holder", p.HolderName, "fence", p.Fence, "latest_fence", latestAssignment.Fence)
	default:
		n.deliver(p)
	}
	return nil
}

func (n *Node) deliver(p leasebackend.Publication) {
	n.counters.delivered.Add(1)
	n.mu.Lock()
	subscriber := n.subscriber
	n.mu.Unlock()
	if subscriber != nil {
		subscriber(p)
	}
}

package coordination

import (
	"context"
	"net"
	"time"

	"aniseloft/internal/consensus"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
)

// runClient sends keep-alive requests to the leader until ctx ends.
func (n *Node) runClient(ctx context.Context) {
	ticker := time.NewTicker(n.tickInterval())
	defer ticker.Stop()
	for {
		sendNow := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.KeepAliveNow:
			sendNow = true
		}
		n.keepAlive(ctx, sendNow)
	}
}

// keepAlive sends a keep-alive request if one is due or if sendNow is set.
func (n *Node) keepAlive(ctx context.Context, sendNow bool) {
	now := n.Clock()
	n.mu.Lock()
	if sendNow {
		n.resolver.SendNow(now)
	}
	replicaName, isDue := n.resolver.Due(now)
	n.mu.Unlock()
	if !isDue {
		return
	}
	var request lease.KeepAliveRequest
	n.With(func(client *lease.Client) { request = client.KeepAlive(now) })
	n.counters.keepAlives.Add(1)
	if replicaName == n.name {
		n.enqueue(func(r *consensus.Replica) {
			n.replicaHost.clientConns[request.Holder.String()] = nil
			r.HandleKeepAlive(n.Clock(), request)
		})
		return
	}
	if c := n.connToLeader(ctx, replicaName); c != nil {
		c.send(fleet.AppendJSON(nil, n.installation, fleet.KeepAliveRequest, request))
	}
}

// connToLeader returns the connection to the replica that the resolver takes for the leader. If there is none, it
// starts to dial and returns nil; the caller drops its request.
func (n *Node) connToLeader(ctx context.Context, replicaName string) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaderConn != nil && n.leaderConnName == replicaName && !n.leaderConn.isClosed() {
		return n.leaderConn
	}
	if n.dialingLeader {
		return nil
	}
	if n.leaderConn != nil {
		n.leaderConn.close()
		n.leaderConn = nil
	}
	n.dialingLeader = true
	go n.dialLeader(ctx, replicaName, n.conf.ReplicaAddr(replicaName))
	return nil
}

func (n *Node) dialLeader(ctx context.Context, replicaName, addr string) {
	socket, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialingLeader = false
	if err != nil {
		return // the resolver moves on to another replica
	}
	n.leaderConn, n.leaderConnName = n.serve(ctx, socket, n.handleFromLeader), replicaName
	n.resolver.SendNow(n.Clock())
}

// handleFromLeader handles a frame that arrives on the client's connection to the leader.
func (n *Node) handleFromLeader(_ *conn, f fleet.Frame) error {
	switch f.Kind {
	case fleet.KeepAliveResponse:
		var response lease.KeepAliveResponse
		if err := f.Decode(&response); err != nil {
			return err
		}
		n.handleResponse(response)
	case fleet.Publication:
		return n.handlePublication(f.Payload)
	}
	return nil
}

func (n *Node) handleResponse(response lease.KeepAliveResponse) {
	if response.Holder != n.Self() {
		return
	}
	n.counters.responses.Add(1)
	if response.Error != "" {
		n.Log.Warn("lease keep-alive rejected", "reason", response.Error)
	}
	now := n.Clock()
	n.mu.Lock()
	previousReplica := n.resolver.Current()
	n.resolver.HandleResponse(now, response)
	redirected := n.resolver.Current() != previousReplica
	n.mu.Unlock()
	n.With(func(client *lease.Client) { client.HandleResponse(now, response) })
	if redirected {
		n.RequestKeepAlive()
	}
}

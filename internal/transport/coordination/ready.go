package coordination

import (
	"context"
	"maps"

	"aniseloft/internal/consensus"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
)

// execute carries out the effects that the replica has requested. It persists state before it sends messages.
func (h *replicaHost) execute(ctx context.Context, ready consensus.Ready) {
	h.logEvents(ready.Events)
	if err := h.persist(ready); err != nil {
		h.node.Log.Error("consensus replica stopped, its disk failed", "err", err)
		h.stop()
		return
	}
	if ready.DiskRegressed {
		h.recreate(ctx)
		return
	}
	if ready.Failure != nil {
		h.node.Log.Error("consensus replica stopped", "reason", ready.Failure)
		h.stop()
		return
	}
	for _, m := range ready.Messages {
		frame := fleet.Frame{Kind: fleet.RaftMessage, GroupID: m.GroupID, Payload: consensus.EncodeMessage(m.Raft)}
		h.sendToPeer(ctx, m.Recipient, fleet.Append(nil, h.node.installation, frame))
	}
	if ready.Announce {
		h.announce(ctx)
	}
	for _, response := range ready.KeepAliveResponses {
		h.respondToClient(response)
	}
	for _, result := range ready.AdminResults {
		h.respondToAdmin(result)
	}
}

func (h *replicaHost) logEvents(events []consensus.Event) {
	for _, e := range events {
		if e.Job != "" {
			h.node.Log.Info(string(e.Kind), "job", e.Job, "fence", e.Fence, "holder", e.Holder, "reason", e.Reason)
		} else {
			h.node.Log.Info(string(e.Kind), "replica", e.Replica, "term", e.Term, "reason", e.Reason)
		}
	}
}

func (h *replicaHost) persist(ready consensus.Ready) error {
	if ready.Persist == nil {
		return nil
	}
	h.node.counters.persistedReadyStates.Add(1)
	h.disk.injectFault = h.node.diskFault
	return h.disk.save(ready.Persist, ready.CompactIndex)
}

// announce sends the announcement of this replica to all others, and removes closed connections.
func (h *replicaHost) announce(ctx context.Context) {
	maps.DeleteFunc(h.clientConns, func(_ string, c *conn) bool { return c != nil && c.isClosed() })
	maps.DeleteFunc(h.adminConns, func(_ uint64, c *conn) bool { return c.isClosed() })
	frame := fleet.AppendJSON(nil, h.node.installation, fleet.Announcement, h.replica.Announcement())
	for _, name := range h.node.config().ReplicaNames() {
		if name != h.node.name {
			h.sendToPeer(ctx, name, frame)
		}
	}
}

func (h *replicaHost) respondToClient(response lease.KeepAliveResponse) {
	if c := h.clientConns[response.Holder.String()]; c != nil {
		c.send(fleet.AppendJSON(nil, h.node.installation, fleet.KeepAliveResponse, response))
		return
	}
	h.node.handleResponse(response)
}

func (h *replicaHost) respondToAdmin(result consensus.AdminResult) {
	response := result.Response
	if result.Err != nil {
		response.Error = adminErrorText(result.Err)
	}
	if c := h.adminConns[response.ID]; c != nil {
		c.send(fleet.AppendJSON(nil, h.node.installation, fleet.AdminResponse, response))
		delete(h.adminConns, response.ID)
	}
}

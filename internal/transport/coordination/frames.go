package coordination

import (
	"slices"

	"aniseloft/internal/consensus"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
)

// handleFrame handles a frame that reaches this replica. It runs on the reader goroutine of the connection.
func (h *replicaHost) handleFrame(from *conn, f fleet.Frame) error {
	switch f.Kind {
	case fleet.Announcement:
		return h.handleAnnouncement(f)
	case fleet.RaftMessage:
		return h.handleRaftMessage(f)
	case fleet.KeepAliveRequest:
		return h.handleKeepAlive(from, f)
	case fleet.AdminRequest:
		return h.handleAdminRequest(from, f)
	case fleet.Publication:
		raw := slices.Clone(f.Payload)
		h.node.enqueue(func(*consensus.Replica) { h.broadcast(raw) })
	}
	return nil
}

func (h *replicaHost) handleAnnouncement(f fleet.Frame) error {
	var announcement lease.Announcement
	if err := f.Decode(&announcement); err != nil {
		return err
	}
	h.node.enqueue(func(r *consensus.Replica) { r.HandleAnnouncement(h.node.Clock(), announcement) })
	return nil
}

func (h *replicaHost) handleRaftMessage(f fleet.Frame) error {
	message, err := consensus.DecodeMessage(f.Payload)
	if err != nil {
		return err
	}
	h.node.counters.raftMessages.Add(1)
	h.node.enqueue(func(r *consensus.Replica) { r.Step(h.node.Clock(), f.GroupID, message) })
	return nil
}

func (h *replicaHost) handleKeepAlive(from *conn, f fleet.Frame) error {
	var request lease.KeepAliveRequest
	if err := f.Decode(&request); err != nil {
		return err
	}
	h.node.enqueue(func(r *consensus.Replica) {
		h.clientConns[request.Holder.String()] = from
		r.HandleKeepAlive(h.node.Clock(), request)
	})
	return nil
}

func (h *replicaHost) handleAdminRequest(from *conn, f fleet.Frame) error {
	var request lease.AdminRequest
	if err := f.Decode(&request); err != nil {
		return err
	}
	h.node.enqueue(func(r *consensus.Replica) {
		h.lastAdminID++
		request.ID = h.lastAdminID
		h.adminConns[request.ID] = from
		r.HandleAdmin(h.node.Clock(), request)
	})
	return nil
}

package consensus

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Reconfigure sets the configured replicas of the group. A leader changes the membership only if no configuration of a
// higher generation has been committed.
func (r *Replica) Reconfigure(replicas []string, generation uint64) {
	r.config.Replicas, r.config.Generation = replicas, generation
}

// reconcileMembership takes one step from the group's current members towards the configured ones. Only one change is
// in flight at a time; a change that has not been applied is proposed again after the duration of a lease.
func (r *Replica) reconcileMembership() {
	changeProposedAt := r.leaderState.membershipChangeAt
	if changeProposedAt > 0 && r.now-changeProposedAt < r.config.Timing.LeaseTTL || r.config.Generation < r.state.Generation {
		return
	}
	if r.config.Generation > r.state.Generation {
		r.propose(command{Kind: commandSetGeneration, Generation: r.config.Generation})
		r.leaderState.membershipChangeAt = r.now
		return
	}
	if r.removeReplica() || r.addReplica() {
		return
	}
	if !slices.Contains(r.config.Replicas, r.config.Name) {
		r.transferToAnyVoter()
	}
}

// removeReplica proposes to remove a voter that is no longer configured, or whose replica has returned under another
// ID.
func (r *Replica) removeReplica() (proposed bool) {
	for _, replicaID := range r.confState.GetVoters() {
		name := r.state.Replicas[replicaID]
		if slices.Contains(r.config.Replicas, name) && !r.hasLostDisk(replicaID, name) {
			continue
		}
		if replicaID == r.config.ReplicaID {
			continue // the leader does not remove itself, it transfers leadership first
		}
		r.proposeMembershipChange(raftpb.ConfChangeRemoveNode, replicaID, name)
		return true
	}
	return false
}

// hasLostDisk reports whether the replica of that name now announces an ID other than the voter's, as it does after it
// has lost its disk.
func (r *Replica) hasLostDisk(replicaID uint64, name string) bool {
	announcement, isFresh := r.freshAnnouncement(name)
	return isFresh && name != r.config.Name && announcement.ReplicaID != replicaID
}

// addReplica proposes to add a configured replica that announces itself and is not a voter yet.
func (r *Replica) addReplica() (proposed bool) {
	for _, name := range r.config.Replicas {
		announcement, isFresh := r.freshAnnouncement(name)
		if isFresh && !r.isVoter(announcement.ReplicaID) {
			r.proposeMembershipChange(raftpb.ConfChangeAddNode, announcement.ReplicaID, name)
			return true
		}
	}
	return false
}

func (r *Replica) transferToAnyVoter() {
	for _, replicaID := range r.confState.GetVoters() {
		if replicaID != r.config.ReplicaID {
			r.node.TransferLeader(replicaID)
			return
		}
	}
}

func (r *Replica) proposeMembershipChange(kind raftpb.ConfChangeType, replicaID uint64, name string) {
	change := &raftpb.ConfChange{Type: kind.Enum(), NodeId: new(replicaID), Context: []byte(name)}
	if r.node.ProposeConfChange(change) == nil {
		r.leaderState.membershipChangeAt = r.now
	}
}

// applyConfChange applies a committed membership change.
func (r *Replica) applyConfChange(entry *raftpb.Entry) error {
	var change raftpb.ConfChange
	if err := unmarshal(entry.GetData(), &change); err != nil {
		return err
	}
	r.confState = r.node.ApplyConfChange(&change)
	r.leaderState.membershipChangeAt = 0
	name := string(change.GetContext())
	if change.GetType() == raftpb.ConfChangeRemoveNode {
		delete(r.state.Replicas, change.GetNodeId())
		r.emit(Event{Kind: EventReplicaRemoved, Replica: name})
	} else {
		r.state.Replicas[change.GetNodeId()] = name
		r.emit(Event{Kind: EventReplicaAdded, Replica: name})
	}
	// A joining replica accepts only a snapshot whose configuration contains it.
	_, _ = r.storage.CreateSnapshot(r.appliedIndex, r.confState, r.state.encode())
	return nil
}

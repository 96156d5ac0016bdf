package consensus

import (
	"encoding/json"
	"slices"
	"strconv"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"aniseloft/internal/lease"
)

// Message is a raft message to another replica.
type Message struct {
	GroupID   uint64 // consensus group of the sender
	Recipient string // name of the replica to send the message to
	Raft      *raftpb.Message
}

// Ready is the work that the caller has to do after a call. Persist must be durable before the caller sends anything
// else that Ready contains.
type Ready struct {
	Persist      *PersistentState // changes to persist; nil: none
	CompactIndex uint64           // index up to which log entries may be deleted; 0: none
	Messages     []Message
	Announce     bool // send Announcement to all other replicas
	// DiskRegressed means that the disk lacks entries that this replica has acknowledged, for example because it was
	// restored from a copy. The replica has stopped: empty the disk and start a replica with a new ID.
	DiskRegressed bool
	// Failure is the error that has stopped the replica and wraps ErrRaftPanic; nil: none.
	Failure            error
	KeepAliveResponses []lease.KeepAliveResponse
	AdminResults       []AdminResult // outcomes of operators' requests
	Events             []Event
}

// Ready returns the work that has accumulated since the last call.
func (r *Replica) Ready() Ready {
	ready := r.pendingReady
	r.pendingReady = Ready{}
	return ready
}

// processReady runs raft's Ready loop: it collects the state to persist and the messages to send, and applies committed
// entries.
func (r *Replica) processReady() {
	for r.node.HasReady() {
		raftReady := r.node.Ready()
		r.persist(raftReady)
		for _, message := range raftReady.Messages {
			r.send(message)
		}
		r.trackLeadership()
		for _, entry := range raftReady.CommittedEntries {
			r.applyEntry(entry)
		}
		for _, s := range raftReady.ReadStates {
			r.handleReadState(s)
		}
		r.node.Advance(raftReady)
	}
	r.compact()
}

// pendingPersist returns the changes that the next Ready asks the caller to persist.
func (r *Replica) pendingPersist() *PersistentState {
	if r.pendingReady.Persist == nil {
		r.pendingReady.Persist = &PersistentState{}
	}
	return r.pendingReady.Persist
}

func (r *Replica) persist(raftReady raft.Ready) {
	if raftReady.Snapshot == nil && raftReady.HardState == nil && len(raftReady.Entries) == 0 {
		return
	}
	pendingState := r.pendingPersist()
	if s := raftReady.Snapshot; s != nil && !raft.IsEmptySnap(s) {
		if r.storage.ApplySnapshot(s) == nil && r.restore(s) == nil {
			pendingState.Snapshot, pendingState.Entries = s, nil
		}
	}
	if raftReady.HardState != nil && !raft.IsEmptyHardState(raftReady.HardState) {
		_ = r.storage.SetHardState(raftReady.HardState)
		pendingState.HardState = raftReady.HardState
	}
	_ = r.storage.Append(raftReady.Entries)
	pendingState.Entries = append(pendingState.Entries, raftReady.Entries...)
}

func (r *Replica) send(message *raftpb.Message) {
	if message.GetType() == raftpb.MsgVoteResp && !message.GetReject() {
		r.resetElectionTimeout() // gives the candidate that receives the vote time to become leader
	}
	if name, known := r.replicaName(message.GetTo()); known {
		r.pendingReady.Messages = append(r.pendingReady.Messages, Message{GroupID: r.groupID(), Recipient: name, Raft: message})
	}
	if message.GetType() == raftpb.MsgSnap { // a snapshot is one message, so the end of its transfer is not reported later
		r.node.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
	}
}

// replicaName looks up a replica in the state machine and then among the announcements, because a replica that is being
// added is not in the state machine yet.
func (r *Replica) replicaName(id uint64) (name string, known bool) {
	if name, known = r.state.Replicas[id]; known {
		return name, true
	}
	for announcer, a := range r.announcements {
		if a.ReplicaID == id {
			name, known = announcer, true
		}
	}
	return name, known
}

func (r *Replica) applyEntry(entry *raftpb.Entry) {
	r.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryConfChange:
		if r.applyConfChange(entry) != nil {
			return
		}
	case raftpb.EntryNormal:
		if len(entry.GetData()) > 0 { // the first entry of a new leader is empty
			r.applyCommand(entry)
		}
	}
	r.startServing(entry)
}

func (r *Replica) applyCommand(entry *raftpb.Entry) {
	var c command
	if json.Unmarshal(entry.GetData(), &c) != nil {
		return
	}
	err := r.state.apply(entry.GetIndex(), c)
	delete(r.leaderState.proposedAt, c.Job)
	if c.Kind == commandSetGeneration {
		r.leaderState.membershipChangeAt = 0
	}
	if !r.leaderState.serving {
		return
	}
	r.completeMoves(c)
	if err != nil || c.Job == "" {
		return
	}
	currentLease := r.state.jobLease(c.Job)
	r.emit(Event{Kind: commandEvents[c.Kind], Job: c.Job, Fence: currentLease.Fence, Holder: currentLease.holderName(), Reason: string(c.Reason)})
	if c.Kind == commandGrant {
		r.notifyGranted(c)
	}
}

// propose proposes a command for the replicated log. It returns false if raft refuses, because this replica no longer
// leads.
func (r *Replica) propose(c command) bool {
	raw, _ := json.Marshal(c) // cannot fail: the type has plain fields only
	if r.node.Propose(raw) != nil {
		return false
	}
	if c.Job != "" {
		r.leaderState.proposedAt[c.Job] = r.now
	}
	return true
}

func (r *Replica) handleReadState(s raft.ReadState) {
	id, _ := strconv.ParseUint(string(s.RequestCtx), 10, 64)
	if id == r.readIndexID && r.leaderState.serving {
		r.handleLeadershipConfirmed()
	}
}

// compactionThreshold is the number of applied log entries at which a snapshot replaces them.
const compactionThreshold = 512

// compact replaces the applied part of the log with a snapshot once it has compactionThreshold entries.
func (r *Replica) compact() {
	firstIndex, _ := r.storage.FirstIndex()
	if r.appliedIndex < firstIndex+compactionThreshold {
		return
	}
	snapshot, err := r.storage.CreateSnapshot(r.appliedIndex, r.confState, r.state.encode())
	if err != nil || r.storage.Compact(r.appliedIndex) != nil {
		return
	}
	pendingState := r.pendingPersist()
	pendingState.Snapshot, r.pendingReady.CompactIndex = snapshot, r.appliedIndex
	pendingState.Entries = slices.DeleteFunc(pendingState.Entries, func(entry *raftpb.Entry) bool { return entry.GetIndex() <= r.appliedIndex })
}

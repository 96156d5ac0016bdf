package drill

import (
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"aniseloft/internal/consensus"
)

const (
	maxPending     = 4096 // maximum number of queued inputs of a replica; further inputs are dropped, as by a full socket buffer
	maxDiskHistory = 400  // maximum number of stored states to which a disk may be rolled back
)

// openReplica opens the process's replica with the state on its disk.
func (p *process) openReplica() (err error) {
	s := p.sim
	if p.replicaID == 0 {
		p.replicaID = s.faultRand.Uint64()>>1 | 1
	}
	p.replica, err = consensus.NewReplica(consensus.Config{
		Name: p.name, ReplicaID: p.replicaID, Replicas: slices.Clone(s.replicas), Generation: s.generation,
		Jobs: s.drill.Jobs, Timing: s.timing, Rand: rand.New(rand.NewPCG(s.faultRand.Uint64(), 1)), State: p.disk,
	})
	if err != nil {
		s.logf("%s: %v", p.name, err)
	}
	return err
}

// step passes an input to the replica and handles the resulting output. The input is queued while the replica syncs or the
// process is paused.
func (p *process) step(input func()) {
	if !p.running || p.replica == nil {
		return
	}
	if p.syncing || p.paused {
		if len(p.pendingInputs) < maxPending {
			p.pendingInputs = append(p.pendingInputs, input)
		}
		return
	}
	input()
	p.handleReady(p.replica.Ready())
}

// drain processes the queued inputs until the next sync or pause.
func (p *process) drain() {
	for len(p.pendingInputs) > 0 && !p.syncing && !p.paused && p.running {
		input := p.pendingInputs[0]
		p.pendingInputs = p.pendingInputs[1:]
		input()
		if p.replica != nil {
			p.handleReady(p.replica.Ready())
		}
	}
}

// handleReady persists the state that the replica needs on the disk, and sends its messages only after that.
func (p *process) handleReady(ready consensus.Ready) {
	if ready.DiskRegressed || ready.Failure != nil {
		p.replaceReplica(ready)
		return
	}
	if ready.Persist == nil {
		p.dispatch(ready)
		return
	}
	incarnation := p.incarnation
	p.syncing = true
	p.sim.result.Syncs++
	p.sim.loop.After(p.syncDurationMS(), func() { p.synced(ready, incarnation) })
}

// replaceReplica ends a replica that can't continue. If the disk is behind the state that the replica has acknowledged, the
// process joins the consensus group again with a new disk.
func (p *process) replaceReplica(ready consensus.Ready) {
	p.sim.logf("%s: replica stopped: disk regressed %t, failure %v", p.name, ready.DiskRegressed, ready.Failure)
	p.replica, p.pendingInputs = nil, nil
	if ready.DiskRegressed {
		p.loseDisk()
		_ = p.openReplica() // the error is in the log
	}
}

// syncDurationMS draws the duration of a disk sync, unless a fault has set it.
func (p *process) syncDurationMS() float64 {
	duration := 0.2 + 2*p.sim.networkRand.Float64()
	if p.nextSyncMS > 0 {
		duration, p.nextSyncMS = p.nextSyncMS, 0
	}
	return duration
}

// synced handles the end of a disk sync.
func (p *process) synced(ready consensus.Ready, incarnation int) {
	if !p.alive(incarnation) {
		killedInSync := p.incarnation == incarnation
		if killedInSync && p.sim.faultRand.IntN(2) == 0 { // the interrupted sync may or may not have reached the disk
			p.persist(ready)
		}
		return
	}
	if p.diskFull { // a replica must not acknowledge unsynced state: it ends, and the process continues without it
		p.sim.logf("%s: disk full: leaves the consensus group", p.name)
		p.replica, p.pendingInputs, p.syncing = nil, nil, false
		return
	}
	p.persist(ready)
	p.syncing = false
	p.whenResumed(func() {
		p.dispatch(ready)
		p.drain()
	})
}

// persist writes the replica's state to the disk. If DisabledGuards.VoteSync is set, a write without log entries and
// snapshot leaves the term and the vote on the disk unchanged.
func (p *process) persist(ready consensus.Ready) {
	p.diskHistory = append(p.diskHistory, p.disk)
	if len(p.diskHistory) > maxDiskHistory {
		p.diskHistory = p.diskHistory[1:]
	}
	save := *ready.Persist
	onlyVote := save.HardState != nil && len(save.Entries) == 0 && save.Snapshot == nil
	if p.sim.disabled.VoteSync && onlyVote {
		before := p.disk.HardState
		save.HardState = &raftpb.HardState{Term: new(before.GetTerm()), Vote: new(before.GetVote()), Commit: save.HardState.Commit}
	}
	p.disk = p.disk.Merge(save, ready.CompactIndex)
}

// dispatch logs the events of the replica, and sends its messages and responses.
func (p *process) dispatch(ready consensus.Ready) {
	for _, event := range ready.Events {
		if event.Kind == consensus.EventLeaseGranted {
			p.sim.result.Grants++
		}
		p.logReplicaEvent(event)
	}
	for _, message := range ready.Messages {
		p.sendMessage(message)
	}
	if ready.Announce && p.replica != nil {
		p.announce()
	}
	for _, reply := range ready.KeepAliveResponses {
		for _, to := range p.sim.processes {
			if to.name == reply.Holder.Name {
				p.sim.send(p, to, func() { to.receiveReply(reply) })
			}
		}
	}
}

// logReplicaEvent logs an event with the fields that it has.
func (p *process) logReplicaEvent(event consensus.Event) {
	switch {
	case event.Job != "":
		p.sim.logf("%s: %s %s fence %d %s %s", p.name, event.Kind, event.Job, event.Fence, event.Holder, event.Reason)
	case event.Term != 0:
		p.sim.logf("%s: %s %s term %d", p.name, event.Kind, event.Replica, event.Term)
	default:
		p.sim.logf("%s: %s %s %s", p.name, event.Kind, event.Replica, event.Reason)
	}
}

// sendMessage sends a raft message in its encoded form.
func (p *process) sendMessage(message consensus.Message) {
	if p.faultAfterVote != nil && message.Raft.GetType() == raftpb.MsgVoteResp && !message.Raft.GetReject() {
		const afterSendMS = 0.01
		f := *p.faultAfterVote
		p.faultAfterVote = nil
		p.sim.loop.After(afterSendMS, func() { p.end(f) })
	}
	to := p.sim.find(message.Recipient)
	if to == nil {
		return
	}
	raw := consensus.EncodeMessage(message.Raft)
	p.sim.send(p, to, func() {
		received, err := consensus.DecodeMessage(raw)
		if err == nil {
			to.step(func() { to.replica.Step(to.clock(), message.GroupID, received) })
		}
	})
}

// announce sends the announcement of the replica to all other replicas.
func (p *process) announce() {
	announcement := p.replica.Announcement()
	for _, name := range p.sim.replicas {
		if to := p.sim.find(name); to != nil && to != p {
			p.sim.send(p, to, func() { to.step(func() { to.replica.HandleAnnouncement(to.clock(), announcement) }) })
		}
	}
}

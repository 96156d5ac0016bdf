package consensus

import (
	"cmp"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"aniseloft/internal/lease"
)

// receivedAnnouncement is the newest announcement of another replica.
type receivedAnnouncement struct {
	lease.Announcement
	receivedAt lease.Millis
}

// unknownGroupID is announced by a replica that has a log but does not yet know the ID of its group.
const unknownGroupID = 1

// Announcement returns the announcement that this replica sends to the others.
func (r *Replica) Announcement() lease.Announcement {
	announcement := lease.Announcement{Name: r.config.Name, ReplicaID: r.config.ReplicaID, GroupID: r.groupID()}
	if announcement.GroupID == 0 && !r.hasEmptyLog() {
		announcement.GroupID = unknownGroupID
	}
	return announcement
}

// HandleAnnouncement handles the announcement of another replica. It ignores replicas that are not configured.
func (r *Replica) HandleAnnouncement(now lease.Millis, announcement lease.Announcement) {
	r.now = now
	if announcement.Name == r.config.Name || !slices.Contains(r.config.Replicas, announcement.Name) {
		return
	}
	r.announcements[announcement.Name] = receivedAnnouncement{announcement, now}
	r.bootstrap()
}

// scheduleAnnouncement makes an announcement due once per minimum election timeout.
func (r *Replica) scheduleAnnouncement() {
	if r.now < r.nextAnnouncementAt {
		return
	}
	r.nextAnnouncementAt = r.now + r.config.Timing.Tick*float64(r.config.Timing.ElectionTicks)
	r.pendingReady.Announce = true
}

// freshAnnouncement returns a replica's newest announcement, and whether it is younger than a lease duration.
func (r *Replica) freshAnnouncement(name string) (receivedAnnouncement, bool) {
	announcement, isKnown := r.announcements[name]
	return announcement, isKnown && r.now-announcement.receivedAt < r.config.Timing.LeaseTTL
}

// groupID returns the ID of the group that this replica belongs to, or 0. It comes from the state machine or else from
// the raft messages that this replica has accepted.
func (r *Replica) groupID() uint64 { return cmp.Or(r.state.GroupID, r.acceptedGroupID) }

// hasEmptyLog reports whether the log has no entry and no snapshot, so that this replica was never part of a group.
func (r *Replica) hasEmptyLog() bool {
	lastIndex, _ := r.storage.LastIndex()
	return lastIndex == 0
}

// bootstrap creates a group with one member, to which the other replicas are then added one at a time. Only the first
// replica of the configuration does so, and only while every other replica announces that it is in no group. If the
// first replica has lost its disk, it therefore joins the existing group and does not create a second one.
func (r *Replica) bootstrap() {
	if !r.hasEmptyLog() || r.config.Replicas[0] != r.config.Name || !r.allOthersUngrouped() {
		return
	}
	machine := newStateMachine()
	machine.GroupID, machine.Generation = r.config.ReplicaID, r.config.Generation
	machine.Replicas[r.config.ReplicaID] = r.config.Name
	snapshot := &raftpb.Snapshot{Data: machine.encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)),
		ConfState: &raftpb.ConfState{Voters: []uint64{r.config.ReplicaID}}}}
	hardState := &raftpb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))}
	if r.storage.ApplySnapshot(snapshot) != nil || r.storage.SetHardState(hardState) != nil || r.restore(snapshot) != nil || r.startNode() != nil {
		return
	}
	r.pendingReady.Persist = &PersistentState{HardState: hardState, Snapshot: snapshot}
	r.emit(Event{Kind: EventBootstrapped, Replica: r.config.Name})
	_ = r.node.Campaign()
	r.advance()
}

func (r *Replica) allOthersUngrouped() bool {
	for _, name := range r.config.Replicas[1:] {
		announcement, isKnown := r.announcements[name]
		if !isKnown || announcement.GroupID != 0 || r.now-announcement.receivedAt > r.config.Timing.LeaseTTL {
			return false
		}
	}
	return true
}

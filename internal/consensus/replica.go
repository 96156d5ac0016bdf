package consensus

import (
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"aniseloft/internal/lease"
)

// ErrInvalidConfig is returned by NewReplica for a configuration that no replica can run with.
var ErrInvalidConfig = errors.New("consensus: invalid configuration")

// ErrRaftPanic says that the raft library found its log inconsistent. The replica has stopped.
var ErrRaftPanic = errors.New("consensus: raft panicked")

// Config is what a replica is started with.
type Config struct {
	Name       string
	ReplicaID  uint64   // drawn when the disk was first used: a replica that lost its disk comes back with another ID
	Replicas   []string // names of all replicas, in the order of the configuration file: the first may bootstrap
	Generation uint64   // of the configuration file
	Jobs       []string // jobs whose leases the group grants
	Timing     lease.Timing
	Rand       *rand.Rand // draws the election timeouts
	State      PersistentState
}

// Replica is one member of the consensus group.
//
// A Replica is owned by one goroutine and is not safe for concurrent use. Every method that takes a time expects the
// caller's monotonic clock in milliseconds. After each call the caller carries out what Ready returns.
type Replica struct {
	config    Config
	now       lease.Millis
	lastTick  lease.Millis
	node      *raft.RawNode
	storage   *raft.MemoryStorage // mirrors what Ready has had the caller persist
	state     *StateMachine
	confState *raftpb.ConfState
	applied   uint64 // index of the last applied entry
	ready     Ready
	stopped   bool // its disk regressed or raft panicked: it does nothing more

	ticksWithoutLeader int
	campaignAfter      int // ticks without a leader after which this replica campaigns

	invitedBy        uint64 // ID of the group whose messages this replica has accepted
	announcements    map[string]receivedAnnouncement
	nextAnnouncement lease.Millis

	term                  uint64 // the term that leader belongs to
	leader                leaderState
	readIndexID           uint64 // of the newest confirmation of leadership
	confirmationStartedAt lease.Millis
	lastAdminID           uint64
}

// leaderState is what only a leader knows. It is not replicated: it starts empty in each term.
type leaderState struct {
	serving            bool // has applied an entry of its own term, so its state machine is up to date
	servingSince       lease.Millis
	clients            map[string]*clientState // by name
	renewedAt          map[string]lease.Millis // time of the holder's last keep-alive, by job
	proposedAt         map[string]lease.Millis // time of the command in flight, by job
	waiting            []pendingKeepAlive      // for the next confirmation of leadership
	confirming         []pendingKeepAlive      // for the confirmation in flight
	membershipChangeAt lease.Millis            // start of the change in flight; 0: none
	adminRequests      map[uint64]lease.AdminRequest
}

func newLeaderState() leaderState {
	return leaderState{
		clients:       map[string]*clientState{},
		renewedAt:     map[string]lease.Millis{},
		proposedAt:    map[string]lease.Millis{},
		adminRequests: map[uint64]lease.AdminRequest{},
	}
}

// Limits of the raft library.
const (
	maxBytesPerMessage  = 64 << 10
	maxInflightMessages = 64
)

// The raft library's own log is dropped: what matters is reported as events.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// NewReplica returns a replica that continues from c.State. It returns an error wrapping ErrInvalidConfig, or one that
// says which part of the state cannot be read.
func NewReplica(c Config) (*Replica, error) {
	if c.ReplicaID == 0 || c.Name == "" || !slices.Contains(c.Replicas, c.Name) {
		return nil, fmt.Errorf("%w: a replica needs an ID and a name among the group's", ErrInvalidConfig)
	}
	if len(c.Replicas)%2 == 0 || len(c.Replicas) > 5 {
		return nil, fmt.Errorf("%w: %d replicas: 1, 3 or 5 are possible", ErrInvalidConfig, len(c.Replicas))
	}
	r := &Replica{
		config:        c,
		lastTick:      math.Inf(-1),
		storage:       raft.NewMemoryStorage(),
		state:         newStateMachine(),
		confState:     &raftpb.ConfState{},
		announcements: map[string]receivedAnnouncement{},
	}
	if err := r.load(c.State); err != nil {
		return nil, err
	}
	return r, r.startNode()
}

// load fills the storage and the state machine from what an earlier run has persisted.
func (r *Replica) load(s PersistentState) error {
	if s.Snapshot != nil {
		if err := r.storage.ApplySnapshot(s.Snapshot); err != nil {
			return fmt.Errorf("consensus: load snapshot: %w", err)
		}
		if err := r.restore(s.Snapshot); err != nil {
			return err
		}
	}
	if s.HardState != nil {
		if err := r.storage.SetHardState(s.HardState); err != nil {
			return fmt.Errorf("consensus: load hard state: %w", err)
		}
	}
	if err := r.storage.Append(s.Entries); err != nil {
		return fmt.Errorf("consensus: load log: %w", err)
	}
	return nil
}

// startNode creates the raft node over the storage.
func (r *Replica) startNode() (err error) {
	r.node, err = raft.NewRawNode(&raft.Config{
		ID:                        r.config.ReplicaID,
		ElectionTick:              r.config.Timing.ElectionTicks,
		HeartbeatTick:             r.config.Timing.HeartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxBytesPerMessage,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger,
	})
	if err != nil {
		return fmt.Errorf("consensus: start raft: %w", err)
	}
	r.resetElectionTimeout()
	r.resetLeaderState()
	return nil
}

// restore replaces the state machine by a snapshot's.
func (r *Replica) restore(s *raftpb.Snapshot) error {
	m, err := decodeStateMachine(s.GetData())
	if err != nil {
		return err
	}
	r.state, r.applied, r.confState = m, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// resetElectionTimeout draws the timeout here and not in the raft library, so that a seed determines a simulated run:
// followers call TickQuiesced, which never starts an election by itself.
func (r *Replica) resetElectionTimeout() {
	r.ticksWithoutLeader = 0
	r.campaignAfter = r.config.Timing.ElectionTicks + r.config.Rand.IntN(r.config.Timing.ElectionTicks)
}

// Tick advances the replica's timers. It is to be called at least once per Timing.Tick; calls that come earlier do
// nothing.
func (r *Replica) Tick(now lease.Millis) {
	if r.now = now; now-r.lastTick < r.config.Timing.Tick || r.stopped {
		return
	}
	r.lastTick = now
	r.scheduleAnnouncement()
	r.bootstrap()
	switch {
	case r.isRaftLeader():
		r.node.Tick()
	default:
		r.tickFollower()
	}
	r.settle()
}

func (r *Replica) tickFollower() {
	r.node.TickQuiesced()
	if !r.isVoter(r.config.ReplicaID) {
		return
	}
	r.ticksWithoutLeader++
	if r.ticksWithoutLeader >= r.campaignAfter {
		r.resetElectionTimeout()
		_ = r.node.Campaign()
	}
}

// Step handles a raft message from another replica. Messages for another replica ID or of another group are ignored.
func (r *Replica) Step(now lease.Millis, groupID uint64, m *raftpb.Message) {
	r.now = now
	if m.GetTo() != r.config.ReplicaID || groupID == 0 || r.groupID() != 0 && groupID != r.groupID() {
		return
	}
	r.invitedBy = groupID
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		r.resetElectionTimeout()
	}
	if r.diskRegressed(m) {
		return
	}
	r.guard(func() { _ = r.node.Step(m) }) // the library refuses messages of replicas that were removed
	r.settle()
}

// diskRegressed stops the replica if a heartbeat commits more than the log holds. A leader sends no commit index above
// what this replica has acknowledged, so the disk must have lost entries, and may have lost votes.
func (r *Replica) diskRegressed(m *raftpb.Message) bool {
	last, _ := r.storage.LastIndex()
	if m.GetType() != raftpb.MsgHeartbeat || m.GetCommit() <= last {
		return false
	}
	r.ready.DiskRegressed, r.stopped = true, true
	r.emit(Event{Kind: EventDiskRegressed, Replica: r.config.Name,
		Reason: fmt.Sprintf("the log ends at %d, %d was acknowledged", last, m.GetCommit())})
	return true
}

// guard runs f unless the replica has stopped. The raft library panics on a log that it finds inconsistent; that stops
// the replica and not the process, which serves requests without it.
func (r *Replica) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			r.stopped, r.ready.Failure = true, fmt.Errorf("%w: %v", ErrRaftPanic, p)
		}
	}()
	if !r.stopped {
		f()
	}
}

// settle processes all that raft has ready, and then acts as leader where this replica is one.
func (r *Replica) settle() {
	r.guard(func() {
		r.processReady()
		if !r.leader.serving {
			return
		}
		r.manageLeases()
		r.reconcileMembership()
		r.confirmLeadership()
		r.processReady()
	})
}

// IsLeader reports whether this replica leads, as far as it knows.
func (r *Replica) IsLeader() bool { return r.leader.serving }

// leaderName is the leader as far as this replica knows; empty: unknown.
func (r *Replica) leaderName() string {
	if r.node == nil {
		return ""
	}
	return r.state.Replicas[r.node.BasicStatus().Lead]
}

func (r *Replica) isRaftLeader() bool { return r.node.BasicStatus().RaftState == raft.StateLeader }

func (r *Replica) isVoter(id uint64) bool { return slices.Contains(r.confState.GetVoters(), id) }

// trackLeadership drops the leader state once the term it belongs to is over.
func (r *Replica) trackLeadership() {
	term := r.node.BasicStatus().GetTerm()
	if r.isRaftLeader() && term == r.term {
		return
	}
	if r.leader.serving || term != r.term {
		r.resetLeaderState()
	}
	r.term = term
}

// resetLeaderState forgets what only a leader knows, and answers those who wait for it.
func (r *Replica) resetLeaderState() {
	old := r.leader
	r.leader = newLeaderState()
	for _, w := range append(old.confirming, old.waiting...) {
		r.redirect(w.request)
	}
	for _, id := range slices.Sorted(maps.Keys(old.adminRequests)) {
		r.rejectAdmin(old.adminRequests[id], ErrLeadershipLost)
	}
}

// startServing marks the leader as up to date once an entry of its own term is applied.
func (r *Replica) startServing(e *raftpb.Entry) {
	if r.leader.serving || !r.isRaftLeader() || e.GetTerm() != r.node.BasicStatus().GetTerm() {
		return
	}
	r.leader.serving, r.leader.servingSince = true, r.now
	r.emit(Event{Kind: EventLeaderElected, Replica: r.config.Name, Term: e.GetTerm()})
}

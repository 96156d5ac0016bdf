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

// ErrInvalidConfig is wrapped by the error that NewReplica returns for an invalid configuration.
var ErrInvalidConfig = errors.New("consensus: invalid configuration")

// ErrRaftPanic means that the raft library panicked, for example on an inconsistent log, and that the replica has
// stopped.
var ErrRaftPanic = errors.New("consensus: raft panicked")

// Config configures a replica and holds the state that it continues from.
type Config struct {
	Name       string
	ReplicaID  uint64   // ID drawn when the replica's disk was first used, so a replica that lost its disk returns with another ID
	Replicas   []string // names of all replicas, in the order of the configuration file; only the first may bootstrap
	Generation uint64   // generation of the configuration file
	Jobs       []string // jobs whose leases the group grants
	Timing     lease.Timing
	Rand       *rand.Rand // source of the election timeouts
	State      PersistentState
}

// Replica is one member of the consensus group.
//
// A Replica is owned by one goroutine and is not safe for concurrent use. Every method that takes a time expects the
// caller's monotonic clock in milliseconds. After each call the caller carries out the work that Ready returns.
type Replica struct {
	config       Config
	now          lease.Millis // time of the caller's latest call
	lastTickAt   lease.Millis // time of the latest tick
	node         *raft.RawNode
	storage      *raft.MemoryStorage // in-memory copy of the state that the caller persists as Ready requests
	state        *StateMachine
	confState    *raftpb.ConfState
	appliedIndex uint64 // index of the last applied log entry
	pendingReady Ready
	stopped      bool // the disk regressed or raft panicked, and the replica does nothing further

	ticksWithoutLeader int
	campaignAfterTicks int // number of ticks without a leader after which this replica starts an election

	acceptedGroupID    uint64                          // ID of the group that the last accepted raft message came from; 0: none yet
	announcements      map[string]receivedAnnouncement // newest announcement of each other replica, by name
	nextAnnouncementAt lease.Millis                    // when the next announcement is due

	leaderStateTerm       uint64 // raft term that the leader state belongs to
	leaderState           leaderState
	readIndexID           uint64       // ID of the newest read index request, which confirms leadership
	confirmationStartedAt lease.Millis // when the newest read index request was sent
	lastAdminID           uint64       // key of the newest request in leaderState.adminRequests
}

// leaderState is state that only the leader has. It is not replicated and starts empty in each term.
type leaderState struct {
	serving            bool                          // an entry of the leader's own term has been applied, so its state machine is up to date
	servingSince       lease.Millis                  // when serving became true
	clients            map[string]*clientState       // by client name
	renewedAt          map[string]lease.Millis       // when the leader received the holder's newest keep-alive request, by job
	proposedAt         map[string]lease.Millis       // when the command in flight was proposed, by job
	waitingRequests    []pendingKeepAlive            // keep-alive requests that wait for the next confirmation of leadership
	confirmingRequests []pendingKeepAlive            // keep-alive requests that wait for the confirmation in flight
	membershipChangeAt lease.Millis                  // when the membership change in flight was proposed; 0: none
	adminRequests      map[uint64]lease.AdminRequest // move requests in flight, by the value of lastAdminID when each was proposed
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

// discardLogger drops the raft library's own log; the replica reports relevant changes as events.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// NewReplica returns a replica that continues from c.State. The error wraps ErrInvalidConfig or says which part of the
// state cannot be read.
func NewReplica(c Config) (*Replica, error) {
	if c.ReplicaID == 0 || c.Name == "" || !slices.Contains(c.Replicas, c.Name) {
		return nil, fmt.Errorf("%w: a replica needs an ID other than 0 and a name that is in the list of replicas", ErrInvalidConfig)
	}
	if len(c.Replicas)%2 == 0 || len(c.Replicas) > 5 {
		return nil, fmt.Errorf("%w: %d replicas are configured; a group has 1, 3 or 5", ErrInvalidConfig, len(c.Replicas))
	}
	r := &Replica{
		config:        c,
		lastTickAt:    math.Inf(-1),
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

// load fills the storage and the state machine from the state that an earlier run persisted.
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
		Applied:                   r.appliedIndex,
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

// restore replaces the state machine with that of a snapshot.
func (r *Replica) restore(s *raftpb.Snapshot) error {
	machine, err := decodeStateMachine(s.GetData())
	if err != nil {
		return err
	}
	r.state, r.appliedIndex, r.confState = machine, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// resetElectionTimeout restarts the election timer with a new random timeout. The timeout is drawn here and not in the
// raft library, so that a seed determines a simulated run: followers call TickQuiesced, which never starts an election.
func (r *Replica) resetElectionTimeout() {
	r.ticksWithoutLeader = 0
	r.campaignAfterTicks = r.config.Timing.ElectionTicks + r.config.Rand.IntN(r.config.Timing.ElectionTicks)
}

// Tick advances the replica's timers. The caller calls it at least once per Timing.Tick; calls that come earlier only
// set the clock.
func (r *Replica) Tick(now lease.Millis) {
	if r.now = now; now-r.lastTickAt < r.config.Timing.Tick || r.stopped {
		return
	}
	r.lastTickAt = now
	r.scheduleAnnouncement()
	r.bootstrap()
	switch {
	case r.isRaftLeader():
		r.node.Tick()
	default:
		r.tickFollower()
	}
	r.advance()
}

func (r *Replica) tickFollower() {
	r.node.TickQuiesced()
	if !r.isVoter(r.config.ReplicaID) {
		return
	}
	r.ticksWithoutLeader++
	if r.ticksWithoutLeader >= r.campaignAfterTicks {
		r.resetElectionTimeout()
		_ = r.node.Campaign()
	}
}

// Step handles a raft message from another replica. Messages for another replica ID or of another group are ignored.
func (r *Replica) Step(now lease.Millis, groupID uint64, message *raftpb.Message) {
	r.now = now
	if message.GetTo() != r.config.ReplicaID || groupID == 0 || r.groupID() != 0 && groupID != r.groupID() {
		return
	}
	r.acceptedGroupID = groupID
	switch message.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		r.resetElectionTimeout()
	}
	if r.diskRegressed(message) {
		return
	}
	r.guard(func() { _ = r.node.Step(message) }) // the library rejects messages from removed replicas
	r.advance()
}

// diskRegressed stops the replica if a heartbeat's commit index is above the last index of the log, and reports whether
// it did. A leader sends no commit index above the entries that this replica has acknowledged, so the disk must have
// lost entries, and may have lost votes.
func (r *Replica) diskRegressed(message *raftpb.Message) bool {
	lastIndex, _ := r.storage.LastIndex()
	if message.GetType() != raftpb.MsgHeartbeat || message.GetCommit() <= lastIndex {
		return false
	}
	r.pendingReady.DiskRegressed, r.stopped = true, true
	r.emit(Event{Kind: EventDiskRegressed, Replica: r.config.Name,
		Reason: fmt.Sprintf("the log ends at index %d, but entries up to index %d were acknowledged", lastIndex, message.GetCommit())})
	return true
}

// guard runs f unless the replica has stopped. The raft library panics on an inconsistent log; guard recovers the panic
// and stops only the replica, because the process can serve requests without it.
func (r *Replica) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			r.stopped, r.pendingReady.Failure = true, fmt.Errorf("%w: %v", ErrRaftPanic, p)
		}
	}()
	if !r.stopped {
		f()
	}
}

// advance processes everything that raft has ready. On the leader it then manages leases and membership, confirms its
// leadership and processes the results.
func (r *Replica) advance() {
	r.guard(func() {
		r.processReady()
		if !r.leaderState.serving {
			return
		}
		r.manageLeases()
		r.reconcileMembership()
		r.confirmLeadership()
		r.processReady()
	})
}

// IsLeader reports whether this replica believes that it leads and has an up-to-date state machine.
func (r *Replica) IsLeader() bool { return r.leaderState.serving }

// leaderName returns the name of the leader that this replica knows of, or an empty string.
func (r *Replica) leaderName() string {
	if r.node == nil {
		return ""
	}
	return r.state.Replicas[r.node.BasicStatus().Lead]
}

func (r *Replica) isRaftLeader() bool { return r.node.BasicStatus().RaftState == raft.StateLeader }

func (r *Replica) isVoter(id uint64) bool { return slices.Contains(r.confState.GetVoters(), id) }

// trackLeadership resets the leader state when its term has ended or this replica no longer leads.
func (r *Replica) trackLeadership() {
	term := r.node.BasicStatus().GetTerm()
	if r.isRaftLeader() && term == r.leaderStateTerm {
		return
	}
	if r.leaderState.serving || term != r.leaderStateTerm {
		r.resetLeaderState()
	}
	r.leaderStateTerm = term
}

// resetLeaderState clears the leader state, redirects the keep-alive requests that wait for a response, and rejects the
// admin requests in flight.
func (r *Replica) resetLeaderState() {
	oldState := r.leaderState
	r.leaderState = newLeaderState()
	for _, pending := range append(oldState.confirmingRequests, oldState.waitingRequests...) {
		r.redirect(pending.request)
	}
	for _, id := range slices.Sorted(maps.Keys(oldState.adminRequests)) {
		r.rejectAdmin(oldState.adminRequests[id], ErrLeadershipLost)
	}
}

// startServing marks the leader as serving once an entry of its own term has been applied.
func (r *Replica) startServing(e *raftpb.Entry) {
	if r.leaderState.serving || !r.isRaftLeader() || e.GetTerm() != r.node.BasicStatus().GetTerm() {
		return
	}
	r.leaderState.serving, r.leaderState.servingSince = true, r.now
	r.emit(Event{Kind: EventLeaderElected, Replica: r.config.Name, Term: e.GetTerm()})
}

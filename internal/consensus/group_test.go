package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

// testGroup runs replicas that share one clock. Messages arrive at once; those to and from partitioned replicas are
// lost.
type testGroup struct {
	t             *testing.T
	now           lease.Millis
	names         []string
	replicas      map[string]*Replica
	disks         map[string]PersistentState
	isPartitioned map[string]bool
	responses     []lease.KeepAliveResponse
	adminResults  []AdminResult
	events        []Event
	stoppedReady  map[string]Ready // by name, the Ready in which a replica reported that it has stopped
}

func newTestGroup(t *testing.T, size int) *testGroup {
	group := &testGroup{t: t, replicas: map[string]*Replica{}, disks: map[string]PersistentState{}, isPartitioned: map[string]bool{}, stoppedReady: map[string]Ready{}}
	for n := range size {
		group.names = append(group.names, fmt.Sprint("r", n))
	}
	for _, name := range group.names {
		group.start(name)
	}
	return group
}

// start starts a replica from its disk. The replica's ID follows from its name.
func (group *testGroup) start(name string) {
	id := uint64(name[1]-'0') + 1
	r, err := NewReplica(Config{Name: name, ReplicaID: id, Replicas: group.names, Generation: 1, Jobs: []string{testJob},
		Timing: lease.DefaultTiming(), Rand: rand.New(rand.NewPCG(id, 1)), State: group.disks[name]})
	require.NoError(group.t, err)
	group.replicas[name] = r
}

// run advances the clock tick by tick, and calls onTick, unless it is nil, after each tick.
func (group *testGroup) run(duration lease.Millis, onTick func()) {
	for endTime := group.now + duration; group.now < endTime; {
		group.now += lease.DefaultTiming().Tick
		for _, name := range group.names {
			group.call(name, func(r *Replica) { r.Tick(group.now) })
		}
		if onTick != nil {
			onTick()
		}
	}
}

// call runs f on a replica that has not stopped, and then carries out the work that Ready returns.
func (group *testGroup) call(name string, f func(*Replica)) {
	r := group.replicas[name]
	if _, isStopped := group.stoppedReady[name]; isStopped {
		return
	}
	f(r)
	ready := r.Ready()
	group.events = append(group.events, ready.Events...)
	if ready.DiskRegressed || ready.Failure != nil {
		group.stoppedReady[name] = ready
		return
	}
	if ready.Persist != nil {
		group.disks[name] = group.disks[name].Merge(*ready.Persist, ready.CompactIndex)
	}
	group.responses = append(group.responses, ready.KeepAliveResponses...)
	group.adminResults = append(group.adminResults, ready.AdminResults...)
	for _, m := range ready.Messages {
		if raw := EncodeMessage(m.Raft); !group.isPartitioned[name] && !group.isPartitioned[m.Recipient] {
			decoded, err := DecodeMessage(raw)
			require.NoError(group.t, err)
			group.call(m.Recipient, func(r *Replica) { r.Step(group.now, m.GroupID, decoded) })
		}
	}
	if ready.Announce && !group.isPartitioned[name] {
		for _, otherName := range group.names {
			if otherName != name && !group.isPartitioned[otherName] {
				group.call(otherName, func(recipient *Replica) { recipient.HandleAnnouncement(group.now, r.Announcement()) })
			}
		}
	}
}

// leader returns the name of the replica that leads and is not partitioned, or an empty string.
func (group *testGroup) leader() string {
	for _, name := range group.names {
		if group.replicas[name].IsLeader() && !group.isPartitioned[name] {
			return name
		}
	}
	return ""
}

// runUntilLeader runs the group for ten lease durations and requires that a replica leads and all replicas are members.
func (group *testGroup) runUntilLeader() {
	group.run(10*lease.DefaultTiming().LeaseTTL, nil)
	require.NotEmpty(group.t, group.leader())
	require.Len(group.t, group.replicas[group.leader()].Status().Replicas, len(group.names))
}

// keepAlive returns a function that sends the leader a keep-alive request from each of the holders.
func (group *testGroup) keepAlive(holders ...lease.Holder) func() {
	return func() {
		for _, holder := range holders {
			if leader := group.leader(); leader != "" {
				request := lease.KeepAliveRequest{Holder: holder, SentAt: group.now, Capacity: 1, Jobs: []string{testJob}}
				group.call(leader, func(r *Replica) { r.HandleKeepAlive(group.now, request) })
			}
		}
	}
}

// jobStatus returns the leader's status of testJob.
func (group *testGroup) jobStatus() lease.JobStatus {
	return group.replicas[group.leader()].Status().Jobs[0]
}

// eventCount returns the number of events of a kind that the replicas have emitted.
func (group *testGroup) eventCount(kind EventKind) (count int) {
	for _, e := range group.events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

func TestFirstReplicaBootstrapsAndTheOthersAreAdded(t *testing.T) {
	group := newTestGroup(t, 3)
	group.runUntilLeader()
	require.Equal(t, 1, group.eventCount(EventBootstrapped))
	require.Equal(t, group.names, group.replicas[group.leader()].Status().Replicas)
}

func TestReplicaDoesNotBootstrapWhileAnotherIsUnreachable(t *testing.T) {
	group := newTestGroup(t, 3)
	group.isPartitioned["r2"] = true
	group.run(10*lease.DefaultTiming().LeaseTTL, nil)
	require.Zero(t, group.eventCount(EventBootstrapped))
}

func TestLeaseThatIsNotRenewedIsReleased(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	group := newTestGroup(t, 3)
	group.runUntilLeader()
	group.run(3*ttl, group.keepAlive(holder1))
	require.Equal(t, lease.JobStatus{Job: testJob, Fence: 1, Holder: "n1/7"}, group.jobStatus())
	group.run(ttl-2*lease.DefaultTiming().Tick, nil)
	require.Equal(t, "n1/7", group.jobStatus().Holder, "the lease is not released before its TTL has passed")
	group.run(3*lease.DefaultTiming().Tick, nil)
	require.Empty(t, group.jobStatus().Holder)
	group.run(ttl, group.keepAlive(holder2))
	require.Equal(t, "n2/8", group.jobStatus().Holder)
	require.Equal(t, lease.Fence(2), group.jobStatus().Fence)
}

func TestPartitionedLeaderRenewsNothing(t *testing.T) {
	group := newTestGroup(t, 3)
	group.runUntilLeader()
	group.run(3*lease.DefaultTiming().LeaseTTL, group.keepAlive(holder1))
	oldLeader := group.leader()
	group.isPartitioned[oldLeader] = true
	group.responses = nil
	group.call(oldLeader, func(r *Replica) {
		r.HandleKeepAlive(group.now, lease.KeepAliveRequest{Holder: holder1, SentAt: group.now, Capacity: 1, Jobs: []string{testJob}})
	})
	require.Empty(t, group.responses, "a leader without a quorum does not respond")
	group.run(3*lease.DefaultTiming().LeaseTTL, group.keepAlive(holder2))
	require.NotEqual(t, oldLeader, group.leader())
	require.Equal(t, "n2/8", group.jobStatus().Holder)
	for _, r := range group.responses {
		require.False(t, r.Holder == holder1 && len(r.Grants) > 0)
	}
}

func TestSecondIncarnationIsRejectedForALeaseDuration(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	group := newTestGroup(t, 1)
	group.runUntilLeader()
	group.run(ttl, group.keepAlive(holder1))
	restartedHolder := lease.Holder{Name: holder1.Name, Incarnation: 99}
	group.responses = nil
	group.keepAlive(restartedHolder)()
	require.Contains(t, group.responses[0].Error, "the name n1 is in use")
	group.run(ttl, nil)
	group.responses = nil
	group.keepAlive(restartedHolder)()
	require.Empty(t, group.responses[0].Error)
}

func TestMoveReclaimsTheLeaseForThePreferredClient(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	group := newTestGroup(t, 1)
	group.runUntilLeader()
	group.run(ttl, group.keepAlive(holder1))
	require.Equal(t, "n1/7", group.jobStatus().Holder)
	group.run(ttl, group.keepAlive(holder1, holder2))
	group.call(group.leader(), func(r *Replica) {
		r.HandleAdmin(group.now, lease.AdminRequest{ID: 5, Operation: lease.AdminMove, Job: testJob, Target: "n2"})
	})
	require.Equal(t, "n2", group.adminResults[0].Response.Status.Jobs[0].Preferred)
	group.responses = nil
	group.keepAlive(holder1)()
	require.True(t, group.responses[0].Grants[0].Reclaim)
	group.call(group.leader(), func(r *Replica) {
		r.HandleKeepAlive(group.now, lease.KeepAliveRequest{Holder: holder1, SentAt: group.now, Capacity: 1, Jobs: []string{testJob}, Released: []lease.GrantID{{Job: testJob, Fence: 1}}})
	})
	require.Equal(t, "n2/8", group.jobStatus().Holder)
}

func TestReplicaStopsOnceItsDiskHasRegressed(t *testing.T) {
	group := newTestGroup(t, 3)
	group.runUntilLeader()
	follower := group.names[0]
	if follower == group.leader() {
		follower = group.names[1]
	}
	oldDisk := group.disks[follower]
	group.run(3*lease.DefaultTiming().LeaseTTL, group.keepAlive(holder1)) // entries that the follower acknowledges
	require.Greater(t, len(group.disks[follower].Entries), len(oldDisk.Entries))
	group.disks[follower] = oldDisk
	group.start(follower)
	group.run(lease.DefaultTiming().LeaseTTL, nil)
	require.True(t, group.stoppedReady[follower].DiskRegressed)
	require.NotEmpty(t, group.leader())
}

func TestNewReplicaRejectsInvalidConfigurations(t *testing.T) {
	validConfig := Config{Name: "r0", ReplicaID: 1, Replicas: []string{"r0"}, Timing: lease.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))}
	for name, modify := range map[string]func(*Config){
		"no replica ID":   func(config *Config) { config.ReplicaID = 0 },
		"no name":         func(config *Config) { config.Name = "" },
		"not a replica":   func(config *Config) { config.Name = "r9" },
		"an even number":  func(config *Config) { config.Replicas = []string{"r0", "r1"} },
		"seven replicas":  func(config *Config) { config.Replicas = []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6"} },
		"no replica name": func(config *Config) { config.Replicas = nil },
	} {
		config := validConfig
		modify(&config)
		_, err := NewReplica(config)
		require.ErrorIs(t, err, ErrInvalidConfig, name)
	}
	_, err := NewReplica(validConfig)
	require.NoError(t, err)
}

// If a holder reports that its own fence is refused, because the target has accepted that fence from another holder,
// the leader must grant the job under a higher fence and not go on renewing the lease. It ignores the same report from
// another client.
func TestJobIsGrantedAboveAFenceThatItsHolderReportsAsRefused(t *testing.T) {
	group := newTestGroup(t, 3)
	group.runUntilLeader()
	holder := lease.Holder{Name: "c0", Incarnation: 1}
	group.run(lease.DefaultTiming().LeaseTTL, group.keepAlive(holder))
	statusBefore := group.jobStatus()
	require.Equal(t, holder.String(), statusBefore.Holder)
	holderReport := lease.KeepAliveRequest{Holder: holder, SentAt: group.now, Capacity: 1, Jobs: []string{testJob},
		HigherFences: []lease.GrantID{{Job: testJob, Fence: statusBefore.Fence}}}
	otherReport := holderReport
	otherReport.Holder = lease.Holder{Name: "c1", Incarnation: 1}
	group.call(group.leader(), func(r *Replica) { r.HandleKeepAlive(group.now, otherReport) })
	group.run(lease.DefaultTiming().Tick, nil)
	require.Equal(t, statusBefore.Holder, group.jobStatus().Holder, "a report of the current fence by another client changes nothing")
	group.call(group.leader(), func(r *Replica) { r.HandleKeepAlive(group.now, holderReport) })
	group.run(lease.DefaultTiming().LeaseTTL/4, nil)
	require.Greater(t, group.jobStatus().Fence, statusBefore.Fence)
}

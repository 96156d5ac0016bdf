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
	t            *testing.T
	now          lease.Millis
	names        []string
	replicas     map[string]*Replica
	disks        map[string]PersistentState
	partitioned  map[string]bool
	responses    []lease.KeepAliveResponse
	adminResults []AdminResult
	events       []Event
	stopped      map[string]Ready // by name, the Ready in which a replica reported that it has stopped
}

func newTestGroup(t *testing.T, size int) *testGroup {
	g := &testGroup{t: t, replicas: map[string]*Replica{}, disks: map[string]PersistentState{}, partitioned: map[string]bool{}, stopped: map[string]Ready{}}
	for n := range size {
		g.names = append(g.names, fmt.Sprint("r", n))
	}
	for _, name := range g.names {
		g.start(name)
	}
	return g
}

// start starts a replica from its disk. The replica's ID follows from its name.
func (g *testGroup) start(name string) {
	id := uint64(name[1]-'0') + 1
	r, err := NewReplica(Config{Name: name, ReplicaID: id, Replicas: g.names, Generation: 1, Jobs: []string{testJob},
		Timing: lease.DefaultTiming(), Rand: rand.New(rand.NewPCG(id, 1)), State: g.disks[name]})
	require.NoError(g.t, err)
	g.replicas[name] = r
}

// run advances the clock tick by tick, and calls onTick, unless it is nil, after each tick.
func (g *testGroup) run(duration lease.Millis, onTick func()) {
	for end := g.now + duration; g.now < end; {
		g.now += lease.DefaultTiming().Tick
		for _, name := range g.names {
			g.call(name, func(r *Replica) { r.Tick(g.now) })
		}
		if onTick != nil {
			onTick()
		}
	}
}

// call runs f on a replica that has not stopped, and then carries out the work that Ready returns.
func (g *testGroup) call(name string, f func(*Replica)) {
	r := g.replicas[name]
	if _, stopped := g.stopped[name]; stopped {
		return
	}
	f(r)
	ready := r.Ready()
	g.events = append(g.events, ready.Events...)
	if ready.DiskRegressed || ready.Failure != nil {
		g.stopped[name] = ready
		return
	}
	if ready.Persist != nil {
		g.disks[name] = g.disks[name].Merge(*ready.Persist, ready.CompactIndex)
	}
	g.responses = append(g.responses, ready.KeepAliveResponses...)
	g.adminResults = append(g.adminResults, ready.AdminResults...)
	for _, m := range ready.Messages {
		if raw := EncodeMessage(m.Raft); !g.partitioned[name] && !g.partitioned[m.Recipient] {
			decoded, err := DecodeMessage(raw)
			require.NoError(g.t, err)
			g.call(m.Recipient, func(r *Replica) { r.Step(g.now, m.GroupID, decoded) })
		}
	}
	if ready.Announce && !g.partitioned[name] {
		for _, other := range g.names {
			if other != name && !g.partitioned[other] {
				g.call(other, func(to *Replica) { to.HandleAnnouncement(g.now, r.Announcement()) })
			}
		}
	}
}

// leader returns the name of the replica that leads and is not partitioned, or an empty string.
func (g *testGroup) leader() string {
	for _, name := range g.names {
		if g.replicas[name].IsLeader() && !g.partitioned[name] {
			return name
		}
	}
	return ""
}

// runUntilLeader runs the group for ten lease durations and requires that a replica leads and all replicas are members.
func (g *testGroup) runUntilLeader() {
	g.run(10*lease.DefaultTiming().LeaseTTL, nil)
	require.NotEmpty(g.t, g.leader())
	require.Len(g.t, g.replicas[g.leader()].Status().Replicas, len(g.names))
}

// keepAlive returns a function that sends the leader a keep-alive request from each of the holders.
func (g *testGroup) keepAlive(holders ...lease.Holder) func() {
	return func() {
		for _, h := range holders {
			if leader := g.leader(); leader != "" {
				request := lease.KeepAliveRequest{Holder: h, SentAt: g.now, Capacity: 1, Jobs: []string{testJob}}
				g.call(leader, func(r *Replica) { r.HandleKeepAlive(g.now, request) })
			}
		}
	}
}

// jobStatus returns the leader's status of testJob.
func (g *testGroup) jobStatus() lease.JobStatus { return g.replicas[g.leader()].Status().Jobs[0] }

// eventCount returns the number of events of a kind that the replicas have emitted.
func (g *testGroup) eventCount(kind EventKind) (n int) {
	for _, e := range g.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func TestFirstReplicaBootstrapsAndTheOthersAreAdded(t *testing.T) {
	g := newTestGroup(t, 3)
	g.runUntilLeader()
	require.Equal(t, 1, g.eventCount(EventBootstrapped))
	require.Equal(t, g.names, g.replicas[g.leader()].Status().Replicas)
}

func TestReplicaDoesNotBootstrapWhileAnotherIsUnreachable(t *testing.T) {
	g := newTestGroup(t, 3)
	g.partitioned["r2"] = true
	g.run(10*lease.DefaultTiming().LeaseTTL, nil)
	require.Zero(t, g.eventCount(EventBootstrapped))
}

func TestLeaseThatIsNotRenewedIsReleased(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	g := newTestGroup(t, 3)
	g.runUntilLeader()
	g.run(3*ttl, g.keepAlive(holder1))
	require.Equal(t, lease.JobStatus{Job: testJob, Fence: 1, Holder: "n1/7"}, g.jobStatus())
	g.run(ttl-2*lease.DefaultTiming().Tick, nil)
	require.Equal(t, "n1/7", g.jobStatus().Holder, "the lease is not released before its TTL has passed")
	g.run(3*lease.DefaultTiming().Tick, nil)
	require.Empty(t, g.jobStatus().Holder)
	g.run(ttl, g.keepAlive(holder2))
	require.Equal(t, "n2/8", g.jobStatus().Holder)
	require.Equal(t, lease.Fence(2), g.jobStatus().Fence)
}

func TestPartitionedLeaderRenewsNothing(t *testing.T) {
	g := newTestGroup(t, 3)
	g.runUntilLeader()
	g.run(3*lease.DefaultTiming().LeaseTTL, g.keepAlive(holder1))
	oldLeader := g.leader()
	g.partitioned[oldLeader] = true
	g.responses = nil
	g.call(oldLeader, func(r *Replica) {
		r.HandleKeepAlive(g.now, lease.KeepAliveRequest{Holder: holder1, SentAt: g.now, Capacity: 1, Jobs: []string{testJob}})
	})
	require.Empty(t, g.responses, "a leader without a quorum does not respond")
	g.run(3*lease.DefaultTiming().LeaseTTL, g.keepAlive(holder2))
	require.NotEqual(t, oldLeader, g.leader())
	require.Equal(t, "n2/8", g.jobStatus().Holder)
	for _, r := range g.responses {
		require.False(t, r.Holder == holder1 && len(r.Grants) > 0)
	}
}

func TestSecondIncarnationIsRejectedForALeaseDuration(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	g := newTestGroup(t, 1)
	g.runUntilLeader()
	g.run(ttl, g.keepAlive(holder1))
	restarted := lease.Holder{Name: holder1.Name, Incarnation: 99}
	g.responses = nil
	g.keepAlive(restarted)()
	require.Contains(t, g.responses[0].Error, "the name n1 is in use")
	g.run(ttl, nil)
	g.responses = nil
	g.keepAlive(restarted)()
	require.Empty(t, g.responses[0].Error)
}

func TestMoveReclaimsTheLeaseForThePreferredClient(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	g := newTestGroup(t, 1)
	g.runUntilLeader()
	g.run(ttl, g.keepAlive(holder1))
	require.Equal(t, "n1/7", g.jobStatus().Holder)
	g.run(ttl, g.keepAlive(holder1, holder2))
	g.call(g.leader(), func(r *Replica) {
		r.HandleAdmin(g.now, lease.AdminRequest{ID: 5, Operation: lease.AdminMove, Job: testJob, Target: "n2"})
	})
	require.Equal(t, "n2", g.adminResults[0].Response.Status.Jobs[0].Preferred)
	g.responses = nil
	g.keepAlive(holder1)()
	require.True(t, g.responses[0].Grants[0].Reclaim)
	g.call(g.leader(), func(r *Replica) {
		r.HandleKeepAlive(g.now, lease.KeepAliveRequest{Holder: holder1, SentAt: g.now, Capacity: 1, Jobs: []string{testJob}, Released: []lease.GrantID{{Job: testJob, Fence: 1}}})
	})
	require.Equal(t, "n2/8", g.jobStatus().Holder)
}

func TestReplicaStopsOnceItsDiskHasRegressed(t *testing.T) {
	g := newTestGroup(t, 3)
	g.runUntilLeader()
	follower := g.names[0]
	if follower == g.leader() {
		follower = g.names[1]
	}
	oldDisk := g.disks[follower]
	g.run(3*lease.DefaultTiming().LeaseTTL, g.keepAlive(holder1)) // entries that the follower acknowledges
	require.Greater(t, len(g.disks[follower].Entries), len(oldDisk.Entries))
	g.disks[follower] = oldDisk
	g.start(follower)
	g.run(lease.DefaultTiming().LeaseTTL, nil)
	require.True(t, g.stopped[follower].DiskRegressed)
	require.NotEmpty(t, g.leader())
}

func TestNewReplicaRejectsInvalidConfigurations(t *testing.T) {
	valid := Config{Name: "r0", ReplicaID: 1, Replicas: []string{"r0"}, Timing: lease.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))}
	for name, change := range map[string]func(*Config){
		"no replica ID":   func(c *Config) { c.ReplicaID = 0 },
		"no name":         func(c *Config) { c.Name = "" },
		"not a replica":   func(c *Config) { c.Name = "r9" },
		"an even number":  func(c *Config) { c.Replicas = []string{"r0", "r1"} },
		"seven replicas":  func(c *Config) { c.Replicas = []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6"} },
		"no replica name": func(c *Config) { c.Replicas = nil },
	} {
		c := valid
		change(&c)
		_, err := NewReplica(c)
		require.ErrorIs(t, err, ErrInvalidConfig, name)
	}
	_, err := NewReplica(valid)
	require.NoError(t, err)
}

// If a holder reports that its own fence is refused, because the target has accepted that fence from another holder,
// the leader must grant the job under a higher fence and not go on renewing the lease. It ignores the same report from
// another client.
func TestJobIsGrantedAboveAFenceThatItsHolderReportsAsRefused(t *testing.T) {
	g := newTestGroup(t, 3)
	g.runUntilLeader()
	holder := lease.Holder{Name: "c0", Incarnation: 1}
	g.run(lease.DefaultTiming().LeaseTTL, g.keepAlive(holder))
	statusBefore := g.jobStatus()
	require.Equal(t, holder.String(), statusBefore.Holder)
	holderReport := lease.KeepAliveRequest{Holder: holder, SentAt: g.now, Capacity: 1, Jobs: []string{testJob},
		HigherFences: []lease.GrantID{{Job: testJob, Fence: statusBefore.Fence}}}
	otherReport := holderReport
	otherReport.Holder = lease.Holder{Name: "c1", Incarnation: 1}
	g.call(g.leader(), func(r *Replica) { r.HandleKeepAlive(g.now, otherReport) })
	g.run(lease.DefaultTiming().Tick, nil)
	require.Equal(t, statusBefore.Holder, g.jobStatus().Holder, "a report of the current fence by another client changes nothing")
	g.call(g.leader(), func(r *Replica) { r.HandleKeepAlive(g.now, holderReport) })
	g.run(lease.DefaultTiming().LeaseTTL/4, nil)
	require.Greater(t, g.jobStatus().Fence, statusBefore.Fence)
}

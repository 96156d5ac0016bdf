package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

// newTestLeader returns a replica that has only the state that the placement of leases uses.
func newTestLeader(now lease.Millis) *Replica {
	r := &Replica{config: Config{Timing: lease.DefaultTiming()}, now: now, leader: newLeaderState()}
	return r
}

// addTestClient adds a client with capacity 1 that can do testJob, after change, unless nil, has modified it.
func (r *Replica) addTestClient(name string, change func(*clientState)) *clientState {
	c := &clientState{request: lease.KeepAliveRequest{Holder: lease.Holder{Name: name}, Capacity: 1, Jobs: []string{testJob}}, receivedAt: r.now}
	if change != nil {
		change(c)
	}
	r.leader.clients[name] = c
	return c
}

func TestIneligibleClientsAreNotChosen(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	for name, change := range map[string]func(*clientState){
		"draining":                    func(c *clientState) { c.request.Draining = true },
		"does not know the job":       func(c *clientState) { c.request.Jobs = []string{lease.JobReadJournal} },
		"silent for half a TTL":       func(c *clientState) { c.receivedAt -= ttl / 2 },
		"has just let a lease expire": func(c *clientState) { c.lapses, c.lastLapseAt = 1, c.receivedAt },
	} {
		r := newTestLeader(100 * ttl)
		r.addTestClient("n1", change)
		require.Nil(t, r.chooseHolder(testJob, JobLease{}), name)
		require.Nil(t, r.chooseHolder(testJob, JobLease{Preferred: "n1"}), name)
	}
}

func TestPreferredClientIsChosenWhileEligible(t *testing.T) {
	r := newTestLeader(0)
	for n := range 5 {
		r.addTestClient(fmt.Sprint("n", n), nil)
	}
	for n := range 5 {
		name := fmt.Sprint("n", n)
		require.Equal(t, name, r.chooseHolder(testJob, JobLease{Preferred: name}).request.Holder.Name)
	}
	require.NotNil(t, r.chooseHolder(testJob, JobLease{Preferred: "n9"}), "if the preferred client is absent, hashing chooses")
}

func TestJobsSpreadInProportionToCapacity(t *testing.T) {
	const jobCount = 4000
	r := newTestLeader(0)
	chosen := map[string]int{}
	for n, capacity := range []float64{1, 1, 2} {
		r.addTestClient(fmt.Sprint("n", n), func(c *clientState) { c.request.Capacity = capacity })
	}
	for n := range jobCount {
		job := fmt.Sprint("job-", n)
		for _, c := range r.leader.clients {
			c.request.Jobs = []string{job}
		}
		chosen[r.chooseHolder(job, JobLease{}).request.Holder.Name]++
	}
	require.InDelta(t, jobCount/4, chosen["n0"], jobCount/20)
	require.InDelta(t, jobCount/4, chosen["n1"], jobCount/20)
	require.InDelta(t, jobCount/2, chosen["n2"], jobCount/20)
}

func TestHoldDownDoublesWithEachLapseUpToABound(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	for lapses, leaseDurations := range map[int]float64{1: 1, 2: 2, 3: 4, 6: 32, 7: 32, 50: 32} {
		r := newTestLeader(0)
		c := r.addTestClient("n1", func(c *clientState) { c.lapses = lapses })
		r.now = leaseDurations*ttl - 1
		require.True(t, r.isHeldDown(c), "%d lapses", lapses)
		r.now = leaseDurations * ttl
		require.False(t, r.isHeldDown(c), "%d lapses", lapses)
	}
}

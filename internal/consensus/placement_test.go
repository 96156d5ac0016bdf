package consensus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

// newTestLeader returns a replica that has only the state that the placement of leases uses.
func newTestLeader(now lease.Millis) *Replica {
	r := &Replica{config: Config{Timing: lease.DefaultTiming()}, now: now, leaderState: newLeaderState()}
	return r
}

// addTestClient adds a client with capacity 1 that can do testJob, after modify, unless nil, has modified it.
func (r *Replica) addTestClient(name string, modify func(*clientState)) *clientState {
	client := &clientState{request: lease.KeepAliveRequest{Holder: lease.Holder{Name: name}, Capacity: 1, Jobs: []string{testJob}}, receivedAt: r.now}
	if modify != nil {
		modify(client)
	}
	r.leaderState.clients[name] = client
	return client
}

func TestIneligibleClientsAreNotChosen(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	for name, modify := range map[string]func(*clientState){
		"draining":                    func(client *clientState) { client.request.Draining = true },
		"does not know the job":       func(client *clientState) { client.request.Jobs = []string{lease.JobReadJournal} },
		"silent for half a TTL":       func(client *clientState) { client.receivedAt -= ttl / 2 },
		"has just let a lease expire": func(client *clientState) { client.lapseCount, client.lastLapseAt = 1, client.receivedAt },
	} {
		r := newTestLeader(100 * ttl)
		r.addTestClient("n1", modify)
		require.Nil(t, r.chooseHolder(testJob, JobLease{}), name)
		require.Nil(t, r.chooseHolder(testJob, JobLease{Preferred: "n1"}), name)
	}
}

func TestPreferredClientIsChosenWhileEligible(t *testing.T) {
	r := newTestLeader(0)
	for index := range 5 {
		r.addTestClient(fmt.Sprint("n", index), nil)
	}
	for index := range 5 {
		name := fmt.Sprint("n", index)
		require.Equal(t, name, r.chooseHolder(testJob, JobLease{Preferred: name}).request.Holder.Name)
	}
	require.NotNil(t, r.chooseHolder(testJob, JobLease{Preferred: "n9"}), "if the preferred client is absent, hashing chooses")
}

func TestJobsSpreadInProportionToCapacity(t *testing.T) {
	const jobCount = 4000
	r := newTestLeader(0)
	chosenCounts := map[string]int{}
	for index, capacity := range []float64{1, 1, 2} {
		r.addTestClient(fmt.Sprint("n", index), func(client *clientState) { client.request.Capacity = capacity })
	}
	for index := range jobCount {
		job := fmt.Sprint("job-", index)
		for _, client := range r.leaderState.clients {
			client.request.Jobs = []string{job}
		}
		chosenCounts[r.chooseHolder(job, JobLease{}).request.Holder.Name]++
	}
	require.InDelta(t, jobCount/4, chosenCounts["n0"], jobCount/20)
	require.InDelta(t, jobCount/4, chosenCounts["n1"], jobCount/20)
	require.InDelta(t, jobCount/2, chosenCounts["n2"], jobCount/20)
}

func TestHoldDownDoublesWithEachLapseUpToABound(t *testing.T) {
	ttl := lease.DefaultTiming().LeaseTTL
	for lapseCount, leaseDurations := range map[int]float64{1: 1, 2: 2, 3: 4, 6: 32, 7: 32, 50: 32} {
		r := newTestLeader(0)
		client := r.addTestClient("n1", func(client *clientState) { client.lapseCount = lapseCount })
		r.now = leaseDurations*ttl - 1
		require.True(t, r.isHeldDown(client), "%d lapses", lapseCount)
		r.now = leaseDurations * ttl
		require.False(t, r.isHeldDown(client), "%d lapses", lapseCount)
	}
}

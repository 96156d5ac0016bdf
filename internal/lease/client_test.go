package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	testJob = JobPruneRecord
	testTTL = 2000.0
)

var testHolder = Holder{Name: "n1", Incarnation: 7}

// clientWithLease returns a client that holds testJob under fence 3: it sent the request at 0 ms and received the grant
// at 100 ms.
func clientWithLease(t *testing.T, driftBound float64) *Client {
	t.Helper()
	c := NewClient(testHolder, []string{testJob}, 1, driftBound)
	c.HandleResponse(100, response(c.KeepAlive(0), Grant{GrantID: GrantID{testJob, 3}, TTL: testTTL}))
	fence, held := c.Held(100, testJob)
	require.True(t, held)
	require.Equal(t, Fence(3), fence)
	c.TakeEvents()
	return c
}

// response returns the leader's response to a request, with the given grants.
func response(request KeepAliveRequest, grants ...Grant) KeepAliveResponse {
	return KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt, Grants: grants}
}

// renewal returns a grant that renews the lease of clientWithLease.
func renewal() Grant { return Grant{GrantID: GrantID{testJob, 3}, TTL: testTTL} }

func TestLeaseIsCountedFromTheSendTimeOfTheRequest(t *testing.T) {
	c := clientWithLease(t, 0)
	_, held := c.Held(testTTL-1, testJob)
	require.True(t, held)
	_, held = c.Held(testTTL, testJob)
	require.False(t, held)
	require.Equal(t, []Event{{GrantID: GrantID{testJob, 3}, Kind: EventLost, Holder: "n1/7", Reason: reasonExpired}}, c.TakeEvents())
}

func TestLeaseAllowsForClockDrift(t *testing.T) {
	c := clientWithLease(t, 0.01)
	expiresAt := testTTL * 0.99 / 1.01
	_, held := c.Held(expiresAt-0.01, testJob)
	require.True(t, held)
	_, held = c.Held(expiresAt, testJob)
	require.False(t, held)
}

func TestResponsesThatMustNotRenewALease(t *testing.T) {
	for name, change := range map[string]func(*KeepAliveResponse){
		"to another incarnation": func(r *KeepAliveResponse) { r.Holder.Incarnation++ },
		"of a follower":          func(r *KeepAliveResponse) { r.RedirectTo = "n2" },
		"with an error":          func(r *KeepAliveResponse) { r.Error = "the name n1 is in use" },
		"from the future":        func(r *KeepAliveResponse) { r.SentAt = 5000 },
		"under an older fence":   func(r *KeepAliveResponse) { r.Grants[0].Fence = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			c := clientWithLease(t, 0)
			r := response(c.KeepAlive(1000), renewal())
			change(&r)
			c.HandleResponse(1100, r)
			_, held := c.Held(testTTL, testJob)
			require.False(t, held)
		})
	}
	c := clientWithLease(t, 0)
	c.HandleResponse(1100, response(c.KeepAlive(1000), renewal()))
	_, held := c.Held(testTTL, testJob)
	require.True(t, held, "a valid response renews the lease")
}

func TestResponseWithoutAGrantRevokesTheLease(t *testing.T) {
	c := clientWithLease(t, 0)
	c.HandleResponse(300, response(c.KeepAlive(200)))
	_, held := c.Held(300, testJob)
	require.False(t, held)
	require.Equal(t, reasonRevoked, c.TakeEvents()[0].Reason)
}

func TestReclaimedLeaseIsReleasedOnceItsOperationsHaveEnded(t *testing.T) {
	c := clientWithLease(t, 0)
	fence, begun := c.Begin(150, testJob)
	require.True(t, begun)
	reclaimed := renewal()
	reclaimed.Reclaim = true
	c.HandleResponse(300, response(c.KeepAlive(200), reclaimed))
	_, begun = c.Begin(310, testJob)
	require.False(t, begun, "a reclaimed lease allows no new operation")
	require.Empty(t, c.KeepAlive(320).Released, "the lease is not released while an operation is active")
	c.End(330, testJob, fence)
	request := c.KeepAlive(340)
	require.Equal(t, []GrantID{{testJob, 3}}, request.Released)

	c.HandleResponse(350, response(request, reclaimed)) // the leader has not yet applied the release
	_, held := c.Held(350, testJob)
	require.False(t, held)
	require.False(t, c.Idle())
	c.HandleResponse(370, response(c.KeepAlive(360)))
	require.True(t, c.Idle())
}

func TestDrainReleasesAllLeasesAndAllowsNoOperation(t *testing.T) {
	c := clientWithLease(t, 0)
	c.Drain(200)
	request := c.KeepAlive(210)
	require.True(t, request.Draining)
	require.Equal(t, []GrantID{{testJob, 3}}, request.Released)
	_, begun := c.Begin(220, testJob)
	require.False(t, begun)
}

func TestHigherFenceAtTheTargetDropsTheLeaseAndIsReported(t *testing.T) {
	c := clientWithLease(t, 0)
	c.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 3, Highest: 9})
	_, held := c.Held(200, testJob)
	require.False(t, held)
	require.Equal(t, []GrantID{{testJob, 9}}, c.KeepAlive(200).HigherFences)
}

// A response that was in flight when a target refused the fence must not restore the refused lease.
func TestResponseInFlightDoesNotRestoreRefusedLease(t *testing.T) {
	for name, highest := range map[string]Fence{"a higher fence at the target": 9, "the same fence of another holder": 3} {
		t.Run(name, func(t *testing.T) {
			c := clientWithLease(t, 0)
			inFlight := response(c.KeepAlive(150), renewal())
			c.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 3, Highest: highest})
			c.HandleResponse(200, inFlight)
			_, begun := c.Begin(210, testJob)
			require.False(t, begun)
			c.HandleResponse(300, response(c.KeepAlive(250), Grant{GrantID: GrantID{testJob, highest + 1}, TTL: testTTL}))
			fence, begun := c.Begin(310, testJob)
			require.True(t, begun, "the next grant is accepted")
			require.Equal(t, highest+1, fence)
		})
	}
}

// A target that has accepted a client's later grant refuses a late operation of the same client's earlier grant. The
// client must keep the later grant.
func TestRefusalOfAnEarlierGrantKeepsTheLaterOne(t *testing.T) {
	c := clientWithLease(t, 0)
	c.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 2, Highest: 3})
	_, held := c.Held(200, testJob)
	require.True(t, held)
	require.Empty(t, c.KeepAlive(200).HigherFences)
}

func TestSameFenceOfAnotherHolderAtTheTargetDropsTheLeaseAndIsReported(t *testing.T) {
	c := clientWithLease(t, 0)
	c.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 3, Highest: 3})
	_, held := c.Held(200, testJob)
	require.False(t, held)
	require.Equal(t, []GrantID{{testJob, 3}}, c.KeepAlive(200).HigherFences)
}

func TestObserveAssignmentFollowsTheLatestGrantOnly(t *testing.T) {
	assignment := func(fence Fence, holder string) Assignment {
		return Assignment{GrantID: GrantID{testJob, fence}, HolderName: holder}
	}
	c := NewClient(testHolder, []string{testJob}, 1, 0)
	require.True(t, c.ObserveAssignment(assignment(4, "n1")))
	require.False(t, c.ObserveAssignment(assignment(3, "n2")), "an older grant")
	require.False(t, c.ObserveAssignment(assignment(4, "n2")), "the same grant under another name")
	require.True(t, c.ObserveAssignment(assignment(5, "n2")))
	require.Equal(t, assignment(5, "n2"), c.LatestAssignment(testJob))
}

func TestAdmitRefusesStaleFences(t *testing.T) {
	record := FenceRecord{Fence: 5, Holder: "n1/7"}
	for name, c := range map[string]struct {
		fence   Fence
		holder  string
		refused bool
	}{
		"the same grant":                      {5, "n1/7", false},
		"a later grant":                       {6, "n2/1", false},
		"an earlier grant":                    {4, "n2/1", true},
		"one fence, another holder":           {5, "n2/1", true},
		"no grant":                            {0, "n1/7", true},
		"an earlier grant of the same holder": {4, "n1/7", true},
		"a later grant, much higher":          {1000, "n1/8", false},
	} {
		next, err := record.Admit(testJob, c.fence, c.holder)
		if c.refused {
			require.Equal(t, StaleFenceError{Job: testJob, Fence: c.fence, Highest: 5}, err, name)
			require.Equal(t, record, next, name)
			continue
		}
		require.NoError(t, err, name)
		require.Equal(t, FenceRecord{c.fence, c.holder}, next, name)
	}
}

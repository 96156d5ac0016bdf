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
	client := NewClient(testHolder, []string{testJob}, 1, driftBound)
	client.HandleResponse(100, response(client.KeepAlive(0), Grant{GrantID: GrantID{testJob, 3}, TTL: testTTL}))
	fence, isHeld := client.Held(100, testJob)
	require.True(t, isHeld)
	require.Equal(t, Fence(3), fence)
	client.TakeEvents()
	return client
}

// response returns the leader's response to a request, with the given grants.
func response(request KeepAliveRequest, grants ...Grant) KeepAliveResponse {
	return KeepAliveResponse{Holder: request.Holder, SentAt: request.SentAt, Grants: grants}
}

// renewal returns a grant that renews the lease of clientWithLease.
func renewal() Grant { return Grant{GrantID: GrantID{testJob, 3}, TTL: testTTL} }

func TestLeaseIsCountedFromTheSendTimeOfTheRequest(t *testing.T) {
	client := clientWithLease(t, 0)
	_, isHeld := client.Held(testTTL-1, testJob)
	require.True(t, isHeld)
	_, isHeld = client.Held(testTTL, testJob)
	require.False(t, isHeld)
	require.Equal(t, []Event{{GrantID: GrantID{testJob, 3}, Kind: EventLost, Holder: "n1/7", Reason: reasonExpired}}, client.TakeEvents())
}

func TestLeaseAllowsForClockDrift(t *testing.T) {
	client := clientWithLease(t, 0.01)
	expiresAt := testTTL * 0.99 / 1.01
	_, isHeld := client.Held(expiresAt-0.01, testJob)
	require.True(t, isHeld)
	_, isHeld = client.Held(expiresAt, testJob)
	require.False(t, isHeld)
}

func TestResponsesThatMustNotRenewALease(t *testing.T) {
	for name, modify := range map[string]func(*KeepAliveResponse){
		"to another incarnation": func(wrongResponse *KeepAliveResponse) { wrongResponse.Holder.Incarnation++ },
		"of a follower":          func(wrongResponse *KeepAliveResponse) { wrongResponse.RedirectTo = "n2" },
		"with an error":          func(wrongResponse *KeepAliveResponse) { wrongResponse.Error = "the name n1 is in use" },
		"from the future":        func(wrongResponse *KeepAliveResponse) { wrongResponse.SentAt = 5000 },
		"under an older fence":   func(wrongResponse *KeepAliveResponse) { wrongResponse.Grants[0].Fence = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			client := clientWithLease(t, 0)
			wrongResponse := response(client.KeepAlive(1000), renewal())
			modify(&wrongResponse)
			client.HandleResponse(1100, wrongResponse)
			_, isHeld := client.Held(testTTL, testJob)
			require.False(t, isHeld)
		})
	}
	client := clientWithLease(t, 0)
	client.HandleResponse(1100, response(client.KeepAlive(1000), renewal()))
	_, isHeld := client.Held(testTTL, testJob)
	require.True(t, isHeld, "a valid response renews the lease")
}

func TestResponseWithoutAGrantRevokesTheLease(t *testing.T) {
	client := clientWithLease(t, 0)
	client.HandleResponse(300, response(client.KeepAlive(200)))
	_, isHeld := client.Held(300, testJob)
	require.False(t, isHeld)
	require.Equal(t, reasonRevoked, client.TakeEvents()[0].Reason)
}

func TestReclaimedLeaseIsReleasedOnceItsOperationsHaveEnded(t *testing.T) {
	client := clientWithLease(t, 0)
	fence, begun := client.Begin(150, testJob)
	require.True(t, begun)
	reclaimed := renewal()
	reclaimed.Reclaim = true
	client.HandleResponse(300, response(client.KeepAlive(200), reclaimed))
	_, begun = client.Begin(310, testJob)
	require.False(t, begun, "a reclaimed lease allows no new operation")
	require.Empty(t, client.KeepAlive(320).Released, "the lease is not released while an operation is active")
	client.End(330, testJob, fence)
	request := client.KeepAlive(340)
	require.Equal(t, []GrantID{{testJob, 3}}, request.Released)

	client.HandleResponse(350, response(request, reclaimed)) // the leader has not yet applied the release
	_, isHeld := client.Held(350, testJob)
	require.False(t, isHeld)
	require.False(t, client.Idle())
	client.HandleResponse(370, response(client.KeepAlive(360)))
	require.True(t, client.Idle())
}

func TestDrainReleasesAllLeasesAndAllowsNoOperation(t *testing.T) {
	client := clientWithLease(t, 0)
	client.Drain(200)
	request := client.KeepAlive(210)
	require.True(t, request.Draining)
	require.Equal(t, []GrantID{{testJob, 3}}, request.Released)
	_, begun := client.Begin(220, testJob)
	require.False(t, begun)
}

func TestHigherFenceAtTheTargetDropsTheLeaseAndIsReported(t *testing.T) {
	client := clientWithLease(t, 0)
	client.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 3, Highest: 9})
	_, isHeld := client.Held(200, testJob)
	require.False(t, isHeld)
	require.Equal(t, []GrantID{{testJob, 9}}, client.KeepAlive(200).HigherFences)
}

// A response that was in flight when a target refused the fence must not restore the refused lease.
func TestResponseInFlightDoesNotRestoreRefusedLease(t *testing.T) {
	for name, highestFence := range map[string]Fence{"a higher fence at the target": 9, "the same fence of another holder": 3} {
		t.Run(name, func(t *testing.T) {
			client := clientWithLease(t, 0)
			inFlight := response(client.KeepAlive(150), renewal())
			client.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 3, Highest: highestFence})
			client.HandleResponse(200, inFlight)
			_, begun := client.Begin(210, testJob)
			require.False(t, begun)
			client.HandleResponse(300, response(client.KeepAlive(250), Grant{GrantID: GrantID{testJob, highestFence + 1}, TTL: testTTL}))
			fence, begun := client.Begin(310, testJob)
			require.True(t, begun, "the next grant is accepted")
			require.Equal(t, highestFence+1, fence)
		})
	}
}

// A target that has accepted a client's later grant refuses a late operation of the same client's earlier grant. The
// client must keep the later grant.
func TestRefusalOfAnEarlierGrantKeepsTheLaterOne(t *testing.T) {
	client := clientWithLease(t, 0)
	client.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 2, Highest: 3})
	_, isHeld := client.Held(200, testJob)
	require.True(t, isHeld)
	require.Empty(t, client.KeepAlive(200).HigherFences)
}

func TestSameFenceOfAnotherHolderAtTheTargetDropsTheLeaseAndIsReported(t *testing.T) {
	client := clientWithLease(t, 0)
	client.ObserveHigherFence(testJob, StaleFenceError{Job: testJob, Fence: 3, Highest: 3})
	_, isHeld := client.Held(200, testJob)
	require.False(t, isHeld)
	require.Equal(t, []GrantID{{testJob, 3}}, client.KeepAlive(200).HigherFences)
}

func TestObserveAssignmentFollowsTheLatestGrantOnly(t *testing.T) {
	assignment := func(fence Fence, holder string) Assignment {
		return Assignment{GrantID: GrantID{testJob, fence}, HolderName: holder}
	}
	client := NewClient(testHolder, []string{testJob}, 1, 0)
	require.True(t, client.ObserveAssignment(assignment(4, "n1")))
	require.False(t, client.ObserveAssignment(assignment(3, "n2")), "an older grant")
	require.False(t, client.ObserveAssignment(assignment(4, "n2")), "the same grant under another name")
	require.True(t, client.ObserveAssignment(assignment(5, "n2")))
	require.Equal(t, assignment(5, "n2"), client.LatestAssignment(testJob))
}

func TestAdmitRefusesStaleFences(t *testing.T) {
	record := FenceRecord{Fence: 5, Holder: "n1/7"}
	for name, testCase := range map[string]struct {
		fence       Fence
		holder      string
		wantRefused bool
	}{
		"the same grant":                      {5, "n1/7", false},
		"a later grant":                       {6, "n2/1", false},
		"an earlier grant":                    {4, "n2/1", true},
		"one fence, another holder":           {5, "n2/1", true},
		"no grant":                            {0, "n1/7", true},
		"an earlier grant of the same holder": {4, "n1/7", true},
		"a later grant, much higher":          {1000, "n1/8", false},
	} {
		nextRecord, err := record.Admit(testJob, testCase.fence, testCase.holder)
		if testCase.wantRefused {
			require.Equal(t, StaleFenceError{Job: testJob, Fence: testCase.fence, Highest: 5}, err, name)
			require.Equal(t, record, nextRecord, name)
			continue
		}
		require.NoError(t, err, name)
		require.Equal(t, FenceRecord{testCase.fence, testCase.holder}, nextRecord, name)
	}
}

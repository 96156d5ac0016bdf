package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
)

// A follower must not be sent under its withdrawn leader's call ID: that would run a request whose client has left.
func TestFollowerOfWithdrawnUnsentLeaderUsesOwnCallID(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	_, leaderTicket := submit(d, "one", keyedClass, "k") // no endpoint is listed, so the request is queued
	secondRecorder, _ := submit(d, "two", keyedClass, "k")
	thirdRecorder, _ := submit(d, "three", keyedClass, "k")
	d.Withdraw(leaderTicket)
	flush(t, d)
	listEndpoint()
	attempt := upstream.next(t)
	require.Equal(t, "two", attempt.CallID)
	attempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, secondRecorder.answers).Kind)
	require.Equal(t, Succeeded, receive(t, thirdRecorder.answers).Kind, "all followers share one run")
	flush(t, d)
	require.Empty(t, upstream.attempts)
	require.Zero(t, d.OpenRequests())
}

// The run of a withdrawn leader continues for its follower, but a retry uses the follower's own call ID.
func TestRetryAfterWithdrawnLeaderUsesFollowerCallID(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	listEndpoint()
	firstRecorder, firstTicket := submit(d, "one", keyedClass, "k")
	attempt := upstream.next(t)
	secondRecorder, _ := submit(d, "two", keyedClass, "k")
	thirdRecorder, thirdTicket := submit(d, "three", keyedClass, "k")
	d.Withdraw(firstTicket)
	d.Withdraw(thirdTicket)
	flush(t, d)
	require.NoError(t, attempt.ctx.Err(), "not cancelled: the second request follows it")
	attempt.end(decide.OutcomeError)
	retryAttempt := upstream.next(t)
	require.Equal(t, "two", retryAttempt.CallID)
	retryAttempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, secondRecorder.answers).Kind)
	flush(t, d)
	require.Empty(t, firstRecorder.answers)
	require.Empty(t, thirdRecorder.answers)
	require.Empty(t, upstream.attempts)
	require.Zero(t, d.OpenRequests())
}

// A run whose own client has left is cancelled when its last follower leaves, but not before.
func TestRunIsCancelledWhenLastFollowerLeaves(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	listEndpoint()
	_, leaderTicket := submit(d, "one", keyedClass, "k")
	attempt := upstream.next(t)
	_, followerTicket := submit(d, "two", keyedClass, "k")
	d.Withdraw(leaderTicket)
	flush(t, d)
	require.NoError(t, attempt.ctx.Err())
	d.Withdraw(followerTicket)
	flush(t, d)
	require.Error(t, attempt.ctx.Err())
	attempt.end(decide.OutcomeCancelled)
	flush(t, d)
	require.Empty(t, upstream.attempts)
	require.Zero(t, d.OpenRequests())
	thirdRecorder, _ := submit(d, "three", keyedClass, "k")
	thirdAttempt := upstream.next(t)
	require.Equal(t, "three", thirdAttempt.CallID, "the key is available again")
	thirdAttempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, thirdRecorder.answers).Kind)
}

// The endpoints' deduplication window begins with the first attempt. A retry that is ordered within the window must not
// start after it, when a slow dial completes: the query would run twice.
func TestRetryDoesNotStartAfterDedupWindow(t *testing.T) {
	const dedupWindow = 300 * time.Millisecond
	d, upstream, listEndpoint := startDispatcher(t, true, float64(dedupWindow.Milliseconds()))
	listEndpoint()
	recorder, _ := submit(d, "one", keyedClass, "k")
	firstAttempt := upstream.next(t)
	require.True(t, firstAttempt.StillReady())
	firstSentBefore := time.Now() // the deduplication window began earlier
	firstAttempt.end(decide.OutcomeAnswerLost)
	var secondAttempt *fakeAttempt
	select {
	case secondAttempt = <-upstream.attempts:
	case a := <-recorder.answers: // the machine stalled, and the window ended before the balancer decided
		require.Equal(t, Failed, a.Kind)
		return
	}
	require.Equal(t, "one", secondAttempt.CallID)
	for time.Since(firstSentBefore) < dedupWindow { // simulates a slow dial
		time.Sleep(time.Millisecond)
	}
	require.False(t, secondAttempt.StillReady())
	secondAttempt.end(decide.OutcomeNotSent)
	require.Equal(t, Failed, receive(t, recorder.answers).Kind, "answered immediately, and no longer retryable")
	flush(t, d)
	require.Empty(t, upstream.attempts)
}

// A run that ended without a result still counts under its key after its request has ended. Once the deduplication window
// is over, endpoints would no longer drop duplicates, so a follower or a later request under the key must not run.
func TestRequestAfterDedupWindowOfEarlierRunFails(t *testing.T) {
	const dedupWindow = 300 * time.Millisecond
	d, upstream, listEndpoint := startDispatcher(t, true, float64(dedupWindow.Milliseconds()))
	listEndpoint()
	firstRecorder, _ := submit(d, "one", keyedClass, "k")
	attempt := upstream.next(t)
	followerRecorder, _ := submit(d, "two", keyedClass, "k")
	flush(t, d)
	for startedAt := time.Now(); time.Since(startedAt) < dedupWindow; { // the endpoint is still working
		time.Sleep(time.Millisecond)
	}
	attempt.end(decide.OutcomeError)
	require.Equal(t, Failed, receive(t, firstRecorder.answers).Kind)
	require.Equal(t, Failed, receive(t, followerRecorder.answers).Kind, "a follower")
	laterRecorder, _ := submit(d, "three", keyedClass, "k")
	require.Equal(t, Failed, receive(t, laterRecorder.answers).Kind, "a later request")
	flush(t, d)
	require.Empty(t, upstream.attempts)
	otherRecorder, _ := submit(d, "four", keyedClass, "another")
	upstream.next(t).end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, otherRecorder.answers).Kind, "another key is independent")
}

// With a deduplication scope of one zone, endpoints of other zones would run the query a second time. A retry must stay
// in the zone of the first run.
func TestRetryStaysInZoneOfEarlierRun(t *testing.T) {
	settings := testSettings(true, 60000)
	settings.ZoneNames, settings.Classes[keyedClass].DedupScope = []string{"a", "b"}, decide.DedupZone
	d, upstream := startDispatcherWith(t, settings)
	setStates := func(stateA, stateB decide.EndpointState) {
		d.UpdateEndpoints(decide.UpdateSnapshot, []Endpoint{{Name: "a", Address: "127.0.0.1:1", EndpointInfo: decide.EndpointInfo{ID: 1, Zone: 0, State: stateA}},
			{Name: "b", Address: "127.0.0.1:2", EndpointInfo: decide.EndpointInfo{ID: 2, Zone: 1, State: stateB}}})
	}
	setStates(decide.EndpointReady, decide.EndpointDraining)
	_, ticket := submit(d, "one", keyedClass, "k")
	attempt := upstream.next(t)
	d.Withdraw(ticket)
	attempt.end(decide.OutcomeCancelled)
	require.Eventually(t, func() bool { return attemptCount(t, d, "one") < 0 }, waitTimeout, time.Millisecond, "the request has ended")
	setStates(decide.EndpointDraining, decide.EndpointReady)
	retryRecorder, _ := submit(d, "two", keyedClass, "k")
	_, _ = submit(d, "three", keyedClass, "new")
	require.Equal(t, 1, attemptCount(t, d, "three"))
	require.Zero(t, attemptCount(t, d, "two"), "the retry waits for an endpoint of its zone")
	require.Equal(t, "three", upstream.next(t).CallID)
	setStates(decide.EndpointReady, decide.EndpointReady)
	attempt = upstream.next(t)
	require.Equal(t, "two", attempt.CallID)
	attempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, retryRecorder.answers).Kind)
}

package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
)

// A dial takes up to a second. If the settings don't enable cancellation the balancer does not cancel attempts, but an
// attempt that has not started when its client leaves must still not start.
func TestWithdrawDuringDialStartsNoAttempt(t *testing.T) {
	for _, cancellationEnabled := range []bool{false, true} {
		d, upstream, listEndpoint := startDispatcher(t, cancellationEnabled, 5000)
		listEndpoint()
		_, ticket := submit(d, "one", idempotentClass, "")
		attempt := upstream.next(t)
		require.True(t, attempt.StillReady(), "the attempt may start")
		d.Withdraw(ticket)
		require.False(t, attempt.StillReady(), "immediately, before the event is handled")
		attempt.end(decide.OutcomeNotSent)
		flush(t, d)
		require.Empty(t, upstream.attempts)
		require.Zero(t, d.OpenRequests())
	}
}

// A detached client may return for its result with its key. Running attempts continue, but no further attempt starts:
// not from the queue, not after a dial, not as a retry, and not when a follower is admitted again.
func TestDetachStartsNoFurtherAttempt(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	queuedRecorder, ticket := submit(d, "queued", keyedClass, "a")
	followerRecorder, followerTicket := submit(d, "follower", keyedClass, "a")
	thirdRecorder, _ := submit(d, "third", keyedClass, "a")
	d.Detach(followerTicket)
	flush(t, d)
	require.Empty(t, followerRecorder.answers, "the follower waits for its leader")
	d.Detach(ticket)
	require.Equal(t, Rejected, receive(t, queuedRecorder.answers).Kind)
	require.Equal(t, Rejected, receive(t, followerRecorder.answers).Kind)
	listEndpoint()
	attempt := upstream.next(t)
	require.Equal(t, "third", attempt.CallID, "the next request under the key")
	attempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, thirdRecorder.answers).Kind)

	for _, outcome := range []decide.Outcome{decide.OutcomeNotSent, decide.OutcomeAnswerLost, decide.OutcomeOverloaded, decide.OutcomeSucceeded} {
		d, upstream, listEndpoint := startDispatcher(t, true, 5000)
		listEndpoint()
		recorder, ticket := submit(d, "one", idempotentClass, "")
		attempt := upstream.next(t)
		require.True(t, attempt.StillReady())
		d.Detach(ticket)
		require.False(t, attempt.StillReady())
		flush(t, d)
		require.NoError(t, attempt.ctx.Err(), "a running attempt continues")
		require.Empty(t, recorder.answers)
		attempt.end(outcome)
		a := receive(t, recorder.answers)
		require.Equal(t, outcome == decide.OutcomeSucceeded, a.Kind == Succeeded)
		require.NotEqual(t, Failed, a.Kind, "the class is idempotent")
		flush(t, d)
		require.Empty(t, upstream.attempts)
		require.Zero(t, d.OpenRequests())
	}
}

// A request that is answered because the process ends must not start an attempt, even if cancellation is not enabled.
func TestAnswerAllOpenStartsNoAttempt(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, false, 5000)
	listEndpoint()
	recorder, _ := submit(d, "one", idempotentClass, "")
	attempt := upstream.next(t)
	require.True(t, attempt.StillReady())
	d.AnswerAllOpen(time.Millisecond)
	require.Equal(t, Rejected, receive(t, recorder.answers).Kind)
	require.False(t, attempt.StillReady())
	attempt.end(decide.OutcomeNotSent)
	flush(t, d)
	require.Empty(t, upstream.attempts)
}

// The deadline timer may fire before or after the end of an attempt is reported. In both cases a retryable request is
// rejected, and a request that may have run and must not run twice fails.
func TestDeadlineTimerAnswersByRetryability(t *testing.T) {
	for class, wantKind := range []AnswerKind{Rejected, Failed} {
		settings := testSettings(true, 5000)
		settings.Classes[keyedClass].Idempotency = decide.NotIdempotent
		d, upstream := startDispatcherWith(t, settings)
		d.UpdateEndpoints(decide.UpdateSnapshot, []Endpoint{{Name: "a", Address: "127.0.0.1:1", EndpointInfo: decide.EndpointInfo{ID: 1, State: decide.EndpointReady}}})
		var recorder *answerRecorder
		var attempt *fakeAttempt
		for timeLeft := 200 * time.Millisecond; attempt == nil; timeLeft *= 2 { // on a stalled machine the deadline may pass before the attempt starts
			recorder = &answerRecorder{make(chan Answer, 2)}
			d.Submit(Query{StatementOwner: d.NewStatementOwner(), CallID: timeLeft.String(), Class: class, Statement: []byte("x"), Deadline: time.Now().Add(timeLeft)}, recorder)
			select {
			case attempt = <-upstream.attempts:
			case <-recorder.answers:
			}
		}
		require.Equal(t, wantKind, receive(t, recorder.answers).Kind) // the attempt has not ended yet
		attempt.end(decide.OutcomeTimeout)
		flush(t, d)
		require.Empty(t, recorder.answers, "one answer")
	}
}

// An attempt is exclusive unless the settings enable concurrent attempts.
func TestAttemptIsExclusiveUnlessConcurrentAttemptsEnabled(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		d, upstream, listEndpoint := startDispatcher(t, true, 5000)
		d.settings.ConcurrentAttemptsEnabled = enabled
		listEndpoint()
		_, _ = submit(d, "one", idempotentClass, "")
		attempt := upstream.next(t)
		require.Equal(t, !enabled, attempt.Exclusive)
		attempt.end(decide.OutcomeSucceeded)
	}
}

// If a result arrives after its attempt was cancelled, the result is the answer, and no second attempt starts.
func TestResultAfterCancellationIsAnswer(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	listEndpoint()
	recorder, _ := submit(d, "one", idempotentClass, "")
	attempt := upstream.next(t)
	d.post(func() { d.perform(decide.CancelAttempt{ID: onlyRequest(d), Attempt: 0}) })
	flush(t, d)
	require.Error(t, attempt.ctx.Err(), "the attempt is cancelled")
	attempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, recorder.answers).Kind)
	flush(t, d)
	require.Empty(t, upstream.attempts)
	require.Empty(t, recorder.answers, "one answer")
}

// A request that arrives just after AnswerAllOpen must be rejected immediately. Otherwise it would stay open until its own
// deadline, which may be after the process is killed.
func TestRequestAfterAnswerAllOpenIsRejected(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	listEndpoint()
	d.AnswerAllOpen(50 * time.Millisecond)
	lateRecorder, _ := submit(d, "late", keyedClass, "a")
	answer := receive(t, lateRecorder.answers)
	require.Equal(t, Rejected, answer.Kind)
	require.Equal(t, 50*time.Millisecond, answer.RetryAfter)
	flush(t, d)
	require.Empty(t, upstream.attempts)
	require.Zero(t, d.OpenRequests())
}

// An attempt at an endpoint that is no longer in the table has no client, so its priority can't be set. One event of the
// balancer may order both the attempt and its priority.
func TestPriorityOfAttemptWithoutEndpointIsSkipped(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	listEndpoint()
	recorder, _ := submit(d, "one", idempotentClass, "")
	runningAttempt := upstream.next(t)
	d.post(func() {
		id := onlyRequest(d)
		d.perform(decide.StartAttempt{ID: id, Endpoint: 99, Timeout: 1000})
		d.perform(decide.SetAttemptResources{ID: id, GrantMB: 8, Priority: 2})
	})
	flush(t, d)
	runningAttempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, recorder.answers).Kind)
	flush(t, d)
	require.Zero(t, d.OpenRequests())
	d.prioritize(&attempt{}, "one", 2) // the same call as in the goroutine of setResources, which may outlive the test
}

// An attempt checks whether it may start and then writes its first byte. An answer that is given in between must wait for
// the first byte, and no attempt may start after an answer.
func TestAnswerWaitsForFirstByteBeingWritten(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 5000)
	listEndpoint()
	recorder, _ := submit(d, "one", idempotentClass, "")
	runningAttempt := upstream.next(t)
	sendDone, ok := runningAttempt.BeginSend()
	require.True(t, ok)
	d.AnswerAllOpen(50 * time.Millisecond)
	flush(t, d)
	require.Empty(t, recorder.answers, "the first byte is being written")
	_, ok = runningAttempt.BeginSend()
	require.False(t, ok, "no other attempt may start")
	sendDone()
	sendDone()
	require.Equal(t, Rejected, receive(t, recorder.answers).Kind)
	runningAttempt.end(decide.OutcomeCancelled)
	flush(t, d)
	require.Empty(t, recorder.answers)
	require.Zero(t, d.OpenRequests())
}

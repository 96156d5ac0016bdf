package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
)

// A dial takes up to a second. Where the settings don't enable cancellation the decisions cancel nothing,
// yet an attempt that had not started as its client left must not start.
func TestWithdrawDuringDialStartsNoAttempt(t *testing.T) {
	for _, cancellation := range []bool{false, true} {
		d, upstream, list := startDispatcher(t, cancellation, 5000)
		list()
		_, ticket := submit(d, "one", idempotentClass, "")
		attempt := upstream.next(t)
		require.True(t, attempt.StillReady(), "nothing forbids the start")
		d.Withdraw(ticket)
		require.False(t, attempt.StillReady(), "at once, before the event is handled")
		attempt.end(decide.OutcomeNotSent)
		flush(t, d)
		require.Empty(t, upstream.attempts)
		require.Zero(t, d.OpenRequests())
	}
}

// A detached client may return for its result by key. Running attempts go on, but none starts for it: not from the
// queue, not after a dial, not as a retry, and not when its turn under the key comes.
func TestDetachStartsNoFurtherAttempt(t *testing.T) {
	d, upstream, list := startDispatcher(t, true, 5000)
	queued, ticket := submit(d, "queued", keyedClass, "a")
	behind, other := submit(d, "behind", keyedClass, "a")
	third, _ := submit(d, "third", keyedClass, "a")
	d.Detach(other)
	flush(t, d)
	require.Empty(t, behind.answers, "it waits for its leader")
	d.Detach(ticket)
	require.Equal(t, Rejected, receive(t, queued.answers).Kind)
	require.Equal(t, Rejected, receive(t, behind.answers).Kind)
	list()
	attempt := upstream.next(t)
	require.Equal(t, "third", attempt.CallID, "its turn")
	attempt.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, third.answers).Kind)

	for _, end := range []decide.Outcome{decide.OutcomeNotSent, decide.OutcomeAnswerLost, decide.OutcomeOverloaded, decide.OutcomeSucceeded} {
		d, upstream, list := startDispatcher(t, true, 5000)
		list()
		recorder, ticket := submit(d, "one", idempotentClass, "")
		attempt := upstream.next(t)
		require.True(t, attempt.StillReady())
		d.Detach(ticket)
		require.False(t, attempt.StillReady())
		flush(t, d)
		require.NoError(t, attempt.ctx.Err(), "a running attempt goes on")
		require.Empty(t, recorder.answers)
		attempt.end(end)
		a := receive(t, recorder.answers)
		require.Equal(t, end == decide.OutcomeSucceeded, a.Kind == Succeeded)
		require.NotEqual(t, Failed, a.Kind, "its class is idempotent")
		flush(t, d)
		require.Empty(t, upstream.attempts)
		require.Zero(t, d.OpenRequests())
	}
}

// A request that was answered as the process ends starts no attempt, even where cancellation is not enabled.
func TestAnswerAllOpenStartsNoAttempt(t *testing.T) {
	d, upstream, list := startDispatcher(t, false, 5000)
	list()
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

// The deadline timer races the end of an attempt that is reported late. Whichever comes first, a retryable request is
// rejected, and one that may have run and must not run twice fails.
func TestDeadlineTimerAnswersByRetryability(t *testing.T) {
	for class, want := range []AnswerKind{Rejected, Failed} {
		settings := testSettings(true, 5000)
		settings.Classes[keyedClass].Idempotency = decide.NotIdempotent
		d, upstream := startDispatcherWith(t, settings)
		d.UpdateEndpoints(decide.UpdateSnapshot, []Endpoint{{Name: "a", Address: "127.0.0.1:1", EndpointInfo: decide.EndpointInfo{ID: 1, State: decide.EndpointReady}}})
		var a *answerRecorder
		var attempt *fakeAttempt
		for left := 200 * time.Millisecond; attempt == nil; left *= 2 { // a stalled machine may leave no time to start
			a = &answerRecorder{make(chan Answer, 2)}
			d.Submit(Query{CallID: left.String(), Class: class, Statement: []byte("x"), Deadline: time.Now().Add(left)}, a)
			select {
			case attempt = <-upstream.attempts:
			case <-a.answers:
			}
		}
		require.Equal(t, want, receive(t, a.answers).Kind) // its attempt has not ended yet
		attempt.end(decide.OutcomeTimeout)
		flush(t, d)
		require.Empty(t, a.answers, "one answer")
	}
}

// Concurrent attempts are allowed only where the settings enable them.
func TestAttemptIsExclusiveUnlessConcurrentAttemptsAreEnabled(t *testing.T) {
	for _, may := range []bool{false, true} {
		d, upstream, list := startDispatcher(t, true, 5000)
		d.settings.ConcurrentAttemptsEnabled = may
		list()
		_, _ = submit(d, "one", idempotentClass, "")
		attempt := upstream.next(t)
		require.Equal(t, !may, attempt.Exclusive)
		attempt.end(decide.OutcomeSucceeded)
	}
}

// An attempt is cancelled as its result arrives: the result is the answer, and no second attempt starts.
func TestResultThatCrossesItsCancellationIsTheAnswer(t *testing.T) {
	d, upstream, list := startDispatcher(t, true, 5000)
	list()
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

// A request that was taken in the instant of the last answers would stay open until its own deadline, past the kill.
func TestRequestsAfterTheLastAnswersAreRejectedAtOnce(t *testing.T) {
	d, upstream, list := startDispatcher(t, true, 5000)
	list()
	d.AnswerAllOpen(50 * time.Millisecond)
	late, _ := submit(d, "late", keyedClass, "a")
	answer := receive(t, late.answers)
	require.Equal(t, Rejected, answer.Kind)
	require.Equal(t, 50*time.Millisecond, answer.RetryAfter)
	flush(t, d)
	require.Empty(t, upstream.attempts)
	require.Zero(t, d.OpenRequests())
}

// An attempt at an endpoint that is no longer in the table has no client to prioritize it with; one event may order both.
func TestPriorityOfAnAttemptWithoutAnEndpointIsLeft(t *testing.T) {
	d, upstream, list := startDispatcher(t, true, 5000)
	list()
	recorder, _ := submit(d, "one", idempotentClass, "")
	running := upstream.next(t)
	d.post(func() {
		id := onlyRequest(d)
		d.perform(decide.StartAttempt{ID: id, Endpoint: 99, Timeout: 1000})
		d.perform(decide.SetAttemptResources{ID: id, GrantMB: 8, Priority: 2})
	})
	flush(t, d)
	running.end(decide.OutcomeSucceeded)
	require.Equal(t, Succeeded, receive(t, recorder.answers).Kind)
	flush(t, d)
	require.Zero(t, d.OpenRequests())
	d.prioritize(&attempt{}, "one", 2) // as its goroutine does, which may outlive the test
}

// An attempt asks whether it may start and then writes: an answer that comes in between must not go before its first byte,
// and none may begin after an answer.
func TestAnswerWaitsForTheFirstByteThatIsBeingWritten(t *testing.T) {
	d, upstream, list := startDispatcher(t, true, 5000)
	list()
	recorder, _ := submit(d, "one", idempotentClass, "")
	running := upstream.next(t)
	sent, ok := running.BeginSend()
	require.True(t, ok)
	d.AnswerAllOpen(50 * time.Millisecond)
	flush(t, d)
	require.Empty(t, recorder.answers, "its first byte is being written")
	_, ok = running.BeginSend()
	require.False(t, ok, "no other begins")
	sent()
	sent()
	require.Equal(t, Rejected, receive(t, recorder.answers).Kind)
	running.end(decide.OutcomeCancelled)
	flush(t, d)
	require.Empty(t, recorder.answers)
	require.Zero(t, d.OpenRequests())
}

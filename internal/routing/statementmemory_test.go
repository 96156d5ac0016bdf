package routing

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/memory"
)

// Guards against holding statements that are not counted while they wait for the dispatcher's goroutine. What exceeds the
// budget is rejected, and a client with a small statement is served beside it.
func TestStatementsAreCountedBeforeTheyWait(t *testing.T) {
	const limit, statementSize, large = 1 << 20, 100_000, 64
	statements := memory.NewBudget(limit, 4)
	upstream := &fakeUpstream{attempts: make(chan *fakeAttempt, 2*large)}
	d, err := NewDispatcher(testSettings(true, 0), 1, upstream, slog.New(slog.DiscardHandler), statements)
	require.NoError(t, err)
	d.UpdateEndpoints(decide.UpdateSnapshot, []Endpoint{{Name: "a", Address: "127.0.0.1:1", EndpointInfo: decide.EndpointInfo{ID: 1, State: decide.EndpointReady}}})
	submitFrom := func(owner *memory.Account, callID string, size int) *answerRecorder {
		recorder := &answerRecorder{make(chan Answer, 2)}
		d.Submit(Query{StatementOwner: owner, CallID: callID, Class: idempotentClass, Statement: make([]byte, size), Deadline: time.Now().Add(waitTimeout)}, recorder)
		return recorder
	}
	hog, other := d.NewStatementOwner(), d.NewStatementOwner()
	var recorders []*answerRecorder
	for n := range large {
		recorders = append(recorders, submitFrom(hog, fmt.Sprint(n), statementSize))
		require.LessOrEqual(t, statements.Used(), limit)
	}
	held := statements.Used() / statementSize
	small := submitFrom(other, "small", 100)

	ctx, cancel := context.WithCancel(t.Context())
	runEnded := make(chan struct{})
	go func() { defer close(runEnded); d.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-runEnded })
	rejected := 0
	for _, recorder := range recorders[held:] {
		require.Equal(t, Rejected, receive(t, recorder.answers).Kind)
		rejected++
	}
	require.Equal(t, large-held, rejected)
	for range held + 1 {
		upstream.next(t).end(decide.OutcomeSucceeded)
	}
	require.Equal(t, Succeeded, receive(t, small.answers).Kind)
	for _, recorder := range recorders[:held] {
		require.Equal(t, Succeeded, receive(t, recorder.answers).Kind)
	}
	require.Eventually(t, func() bool { return statements.Used() == 0 }, waitTimeout, time.Millisecond)
}

// A statement's memory is given back however its request ends: served, followed, withdrawn, or rejected.
func TestStatementMemoryIsGivenBack(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 60000)
	listEndpoint()
	leader, _ := submit(d, "leader", keyedClass, "key")
	follower, _ := submit(d, "follower", keyedClass, "key")
	_, leavingFollower := submit(d, "leaving follower", keyedClass, "key")
	flush(t, d)
	require.Equal(t, 3, d.statements.Used())
	d.Withdraw(leavingFollower)
	flush(t, d)
	require.Equal(t, 2, d.statements.Used())
	inUse, _ := submit(d, "leader", idempotentClass, "")
	require.Equal(t, Failed, receive(t, inUse.answers).Kind, "the call id is in use")
	require.Equal(t, 2, d.statements.Used())
	upstream.next(t).end(decide.OutcomeSucceeded)
	receive(t, leader.answers)
	receive(t, follower.answers)
	flush(t, d)
	require.Zero(t, d.statements.Used())

	_, withdrawn := submit(d, "withdrawn", idempotentClass, "")
	attempt := upstream.next(t)
	d.Withdraw(withdrawn)
	flush(t, d)
	require.Equal(t, 1, d.statements.Used(), "its attempt may still be sending it")
	attempt.end(decide.OutcomeSucceeded)
	require.Eventually(t, func() bool { return d.statements.Used() == 0 }, waitTimeout, time.Millisecond)

	d.AnswerAllOpen(time.Millisecond)
	atExit, _ := submit(d, "at exit", idempotentClass, "")
	receive(t, atExit.answers)
	flush(t, d)
	require.Zero(t, d.statements.Used())
}

// A follower that is admitted again after its leader failed keeps its memory, and gives it back once.
func TestFollowerKeepsItsStatementMemory(t *testing.T) {
	d, upstream, listEndpoint := startDispatcher(t, true, 60000)
	listEndpoint()
	_, leader := submit(d, "leader", keyedClass, "key")
	attempt := upstream.next(t)
	submit(d, "follower", keyedClass, "key")
	flush(t, d)
	d.Withdraw(leader)
	flush(t, d)
	require.Equal(t, 2, d.statements.Used())
	attempt.end(decide.OutcomeError)
	require.Eventually(t, func() bool { return d.statements.Used() <= 1 }, waitTimeout, time.Millisecond)
}

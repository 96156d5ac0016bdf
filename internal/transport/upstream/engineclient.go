package upstream

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/routing"
	"aniseloft/internal/transport/netconn"
)

const (
	// answerTimeout limits the time to a complete answer. An endpoint answers a long poll within
	// 250 ms. An answer that is not complete within a little more, even if its bytes still arrive, counts
	// as lost, and the call is repeated.
	answerTimeout = 400 * time.Millisecond
	// maxLostAnswers is how many consecutive answers may be lost before a query is given up.
	maxLostAnswers = 3
)

// engineClient is a client of an endpoint that speaks the platform's protocol.
type engineClient struct {
	addr  string
	conns *endpointPool
}

// Run runs one attempt. No other call uses the attempt's connection at the same time.
func (e *engineClient) Run(ctx context.Context, a routing.AttemptSpec) routing.Result {
	if err := e.conns.pool.cancellations.wait(ctx, e.addr, a.CallID); err != nil {
		return routing.Result{Outcome: decide.OutcomeNotSent, Reason: err.Error()}
	}
	c, notSent := e.connect(ctx, a, e.conns.get)
	if notSent != nil {
		return *notSent
	}
	endSend, notSent := e.beginSend(a, c)
	if notSent != nil {
		return *notSent
	}
	defer endSend()
	deadline, _ := ctx.Deadline()
	q := engine.NewQuery(e.addr, engine.StartRequest{CallID: a.CallID, Class: a.Class, Statement: a.Statement,
		TimeoutMS: max(time.Until(deadline).Milliseconds(), 1), GrantMB: int64(math.Ceil(a.GrantMB)), Priority: a.Priority, IdempotencyKey: a.IdempotencyKey,
		PreviousResult: c.lastResult})
	res, lastCallAt, err := e.converse(ctx, c, q, a.OnProgress, endSend)
	if res != nil && err == nil {
		return e.result(res)
	}
	if ctx.Err() == nil && !a.Exclusive && errors.Is(err, errUnreachable) {
		return lostResult(err) // a cancellation would not reach the endpoint either
	}
	return e.abandon(ctx, a, err, e.prepareCancel(a, lastCallAt, deadline))
}

// connect returns a connection for an attempt, from getConn. Where the attempt must not start, connect returns the
// attempt's result instead.
func (e *engineClient) connect(ctx context.Context, a routing.AttemptSpec, getConn func(context.Context) (*pooledConn, error)) (*pooledConn, *routing.Result) {
	c, err := getConn(ctx)
	if err != nil {
		res := connectFailure(ctx, err)
		return nil, &res
	}
	// The endpoint may have begun to drain during the dial. No attempt is sent to an endpoint that is no
	// longer listed as ready.
	if ctx.Err() != nil || !a.StillReady() {
		e.conns.put(c)
		return nil, &routing.Result{Outcome: decide.OutcomeNotSent, Reason: "endpoint not ready, or attempt ended, before the first byte was sent"}
	}
	return c, nil
}

// beginSend checks right before the first byte whether the attempt may still start. Where it must not, beginSend returns
// the attempt's result instead. endSend must be called once the byte has been written or will not be; further calls do
// nothing.
func (e *engineClient) beginSend(a routing.AttemptSpec, c *pooledConn) (endSend func(), notSent *routing.Result) {
	if a.BeginSend == nil {
		return func() {}, nil
	}
	endSend, ok := a.BeginSend()
	if !ok {
		e.conns.put(c)
		return nil, &routing.Result{Outcome: decide.OutcomeNotSent, Reason: "request answered before the first byte was sent"}
	}
	return endSend, nil
}

// connectFailure returns the result of an attempt that got no connection and so did not run.
func connectFailure(ctx context.Context, err error) routing.Result {
	switch {
	case errors.Is(err, errNoDescriptors):
		return routing.Result{Outcome: decide.OutcomeNotSent, Reason: err.Error()}
	case errors.Is(ctx.Err(), context.Canceled):
		return routing.Result{Outcome: decide.OutcomeNotSent, Reason: "cancelled before a connection was established"}
	}
	return routing.Result{Outcome: decide.OutcomeConnectFailed, Reason: err.Error()}
}

// converse makes calls for a query until it ends. A lost or corrupted answer is requested again on a new
// connection. That starts nothing at the endpoint, so it is safe for loads too. lastCallAt is the time of the
// latest call for the query. Where ctx ends between two calls, result and error are nil.
func (e *engineClient) converse(ctx context.Context, c *pooledConn, q *engine.Query, onProgress func(decide.ProgressKind, float64), onWritten func()) (res *engine.Result, lastCallAt time.Time, err error) {
	nextCall := q.EncodeStart()
	for lostAnswers := 0; ; {
		step, answered, err := e.exchange(ctx, c, q, nextCall, onProgress, &lastCallAt, onWritten)
		if answered {
			lostAnswers = 0
		}
		if step.Result != nil || ctx.Err() != nil {
			return step.Result, lastCallAt, err
		}
		if err != nil {
			if lostAnswers++; lostAnswers > maxLostAnswers {
				return nil, lastCallAt, err
			}
		}
		newConn, dialErr := e.conns.redial(ctx)
		if dialErr != nil {
			return nil, lastCallAt, errors.Join(err, dialErr)
		}
		c = newConn
		nextCall = q.EncodeResume()
	}
}

// exchange makes calls on one connection until the query ends or needs a new connection, and returns the
// connection to the pool or drops it. answered reports whether any answer was valid.
func (e *engineClient) exchange(ctx context.Context, c *pooledConn, q *engine.Query, nextCall []byte, onProgress func(decide.ProgressKind, float64), lastCallAt *time.Time, onWritten func()) (step engine.Step, anyAnswered bool, err error) {
	e.conns.use(ctx, c, func() (reusable bool) {
		for step.Result == nil && !step.NeedsNewConnection && err == nil {
			*lastCallAt = time.Now()
			step, err = call(ctx, c, q, nextCall, onWritten)
			anyAnswered = anyAnswered || err == nil
			nextCall = step.Send
			if progress := step.Progress; err == nil && progress != nil {
				onProgress(progressKindOf[progress.Kind], progress.Value)
			} else if step.InvalidProgress {
				e.conns.recordViolation(&e.conns.pool.invalidProgress, "note")
			}
		}
		c.lastResult = q.ResultDigest()
		return step.KeepConnection && writeSyncCall(ctx, c, step.SyncCall)
	})
	return step, anyAnswered, err
}

// writeSyncCall writes the SyncCall of a query's last step, if there is one. Its answer is read once the connection is to be
// reused, as the query's result must not wait for it.
func writeSyncCall(ctx context.Context, c *pooledConn, syncCall []byte) (written bool) {
	if len(syncCall) == 0 {
		return true
	}
	c.syncPending = true
	return c.Write(ctx, syncCall, time.Now().Add(answerTimeout)) == nil
}

// progressKindOf maps the kinds of progress of the protocol to those of the decisions.
var progressKindOf = map[engine.ProgressKind]decide.ProgressKind{
	engine.ProgressRatio:   decide.ProgressRatio,
	engine.ProgressSpilled: decide.ProgressSpilled,
	engine.ProgressWaiting: decide.ProgressWaiting,
}

// call writes one call, calls onWritten, and reads the answer, which must be complete within answerTimeout.
func call(ctx context.Context, c *pooledConn, q *engine.Query, nextCall []byte, onWritten func()) (engine.Step, error) {
	deadline := time.Now().Add(answerTimeout)
	err := c.Write(ctx, nextCall, deadline)
	onWritten()
	if err != nil {
		return engine.Step{}, fmt.Errorf("write: %w", err)
	}
	for {
		b, err := c.Read(ctx, deadline)
		if err != nil {
			return engine.Step{}, fmt.Errorf("read: %w", err)
		}
		step, err := q.Feed(b)
		if err != nil || step.Send != nil || step.Result != nil || step.NeedsNewConnection {
			return step, err
		}
	}
}

// result converts the result that the endpoint reported for an attempt.
func (e *engineClient) result(r *engine.Result) routing.Result {
	out := routing.Result{ActualWork: r.ActualWorkMS, ActualMemoryMB: r.ActualMemoryMB, Load: e.parseLoad(r.LoadReport), Reason: r.Reason}
	switch r.Outcome {
	case engine.OutcomeSucceeded:
		out.Outcome, out.Body = decide.OutcomeSucceeded, r.Body
	case engine.OutcomeOverloaded:
		out.Outcome = decide.OutcomeOverloaded
	case engine.OutcomeExpired:
		out.Outcome = decide.OutcomeNotSent
	case engine.OutcomeAnswerLost:
		out.Outcome = decide.OutcomeAnswerLost
	default:
		out.Outcome = decide.OutcomeError
	}
	return out
}

// lostResult returns the result of an attempt whose answers were lost. It is unknown whether the attempt ran, even
// where a reused connection was reset at once. The decisions determine whether the class may be retried.
func lostResult(err error) routing.Result {
	out := routing.Result{Outcome: decide.OutcomeAnswerLost, Reason: err.Error()}
	if errors.Is(err, errUnreachable) {
		out.Outcome = decide.OutcomeReset
	} else if netconn.IsTimeout(err) {
		// New connections are established, so the endpoint may not be down, but it does not answer in time:
		// this counts as an error.
		out.Outcome = decide.OutcomeError
	}
	return out
}

// Connections returns the numbers of connections in use and of idle ones.
func (e *engineClient) Connections() (busy, idle int) { return e.conns.connections() }

// Close drops the endpoint's connections.
func (e *engineClient) Close() { e.conns.close() }

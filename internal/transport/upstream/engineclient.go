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
	// answerTimeout bounds the time to a complete answer. An endpoint answers a long poll within
	// 250 ms; an answer that is not complete within a little more, whether none came or byte by byte,
	// is lost and the call is made again.
	answerTimeout = 400 * time.Millisecond
	// maxLostAnswers is how many answers in a row may be lost before a query is given up.
	maxLostAnswers = 3
)

// engineClient is a client of an endpoint that speaks the platform's protocol.
type engineClient struct {
	addr  string
	conns *endpointPool
}

// Run carries one attempt out on a connection of its own.
func (e *engineClient) Run(ctx context.Context, a routing.AttemptSpec) routing.Result {
	if err := e.conns.pool.cancellations.wait(ctx, e.addr, a.CallID); err != nil {
		return routing.Result{Outcome: decide.OutcomeNotSent, Reason: err.Error()}
	}
	c, notSent := e.connect(ctx, a)
	if notSent != nil {
		return *notSent
	}
	sent, notSent := e.beginSend(a, c)
	if notSent != nil {
		return *notSent
	}
	defer sent()
	deadline, _ := ctx.Deadline()
	q := engine.NewQuery(e.addr, engine.StartRequest{CallID: a.CallID, Class: a.Class, Statement: a.Statement,
		TimeoutMS: max(time.Until(deadline).Milliseconds(), 1), GrantMB: int64(math.Ceil(a.GrantMB)), Priority: a.Priority, IdempotencyKey: a.IdempotencyKey})
	res, lastCall, err := e.converse(ctx, c, q, a.OnProgress, sent)
	if res != nil && err == nil {
		return e.result(res)
	}
	if ctx.Err() == nil && !a.Exclusive && errors.Is(err, errUnreachable) {
		return lostResult(err) // a cancellation would not reach it either
	}
	return e.abandon(ctx, a, err, e.prepareCancel(a, lastCall, deadline))
}

// connect returns a connection for an attempt; the result is set where it may not begin.
func (e *engineClient) connect(ctx context.Context, a routing.AttemptSpec) (*pooledConn, *routing.Result) {
	c, err := e.conns.get(ctx)
	if err != nil {
		res := connectFailure(ctx, err)
		return nil, &res
	}
	// The dial took time: a drain may have come. Nothing new goes to an endpoint that the list no
	// longer calls ready.
	if ctx.Err() != nil || !a.StillReady() {
		e.conns.put(c)
		return nil, &routing.Result{Outcome: decide.OutcomeNotSent, Reason: "not ready or over as the first byte went"}
	}
	return c, nil
}

// beginSend asks once more, right before the first byte, whether the attempt may start; the result is set where it may not.
// sent is to be called once the byte is written, or won't be; further calls do nothing.
func (e *engineClient) beginSend(a routing.AttemptSpec, c *pooledConn) (sent func(), notSent *routing.Result) {
	if a.BeginSend == nil {
		return func() {}, nil
	}
	sent, ok := a.BeginSend()
	if !ok {
		e.conns.put(c)
		return nil, &routing.Result{Outcome: decide.OutcomeNotSent, Reason: "answered as the first byte went"}
	}
	return sent, nil
}

// connectFailure is the result of an attempt without a connection: nothing ran.
func connectFailure(ctx context.Context, err error) routing.Result {
	switch {
	case errors.Is(err, errNoDescriptors):
		return routing.Result{Outcome: decide.OutcomeNotSent, Reason: err.Error()}
	case errors.Is(ctx.Err(), context.Canceled):
		return routing.Result{Outcome: decide.OutcomeNotSent, Reason: "cancelled before a connection stood"}
	}
	return routing.Result{Outcome: decide.OutcomeConnectFailed, Reason: err.Error()}
}

// converse feeds the query's state machine until it ends. What is lost or corrupted on the way is
// fetched again on a fresh connection: that starts nothing, so it is safe for loads too. lastCall is when
// the endpoint was last called for the query. Where ctx ends between two calls, result and error are nil.
func (e *engineClient) converse(ctx context.Context, c *pooledConn, q *engine.Query, onProgress func(decide.ProgressKind, float64), written func()) (res *engine.Result, lastCall time.Time, err error) {
	out := q.EncodeStart()
	for lost := 0; ; {
		step, answered, err := e.exchange(ctx, c, q, out, onProgress, &lastCall, written)
		if answered {
			lost = 0
		}
		if step.Result != nil || ctx.Err() != nil {
			return step.Result, lastCall, err
		}
		if err != nil {
			if lost++; lost > maxLostAnswers {
				return nil, lastCall, err
			}
		}
		fresh, derr := e.conns.redial(ctx)
		if derr != nil {
			return nil, lastCall, errors.Join(err, derr)
		}
		c = fresh
		out = q.EncodeResume()
	}
}

// exchange makes calls on one connection until the query ends or needs another, and hands the
// connection back. answered reports whether any answer was valid.
func (e *engineClient) exchange(ctx context.Context, c *pooledConn, q *engine.Query, out []byte, onProgress func(decide.ProgressKind, float64), lastCall *time.Time, written func()) (step engine.Step, answered bool, err error) {
	e.conns.use(ctx, c, func() (reusable bool) {
		for step.Result == nil && !step.NeedsNewConnection && err == nil {
			*lastCall = time.Now()
			step, err = call(ctx, c, q, out, written)
			answered = answered || err == nil
			out = step.Send
			if n := step.Progress; err == nil && n != nil {
				onProgress(progressKinds[n.Kind], n.Value)
			} else if step.InvalidProgress {
				e.conns.recordViolation(&e.conns.pool.invalidNotes, "note")
			}
		}
		return step.KeepConnection
	})
	return step, answered, err
}

var progressKinds = map[engine.ProgressKind]decide.ProgressKind{
	engine.ProgressRatio:   decide.ProgressRatio,
	engine.ProgressSpilled: decide.ProgressSpilled,
	engine.ProgressWaiting: decide.ProgressWaiting,
}

// call writes one call, tells that it is written and reads its answer, which must be complete within answerTimeout.
func call(ctx context.Context, c *pooledConn, q *engine.Query, out []byte, written func()) (engine.Step, error) {
	deadline := time.Now().Add(answerTimeout)
	err := c.Write(ctx, out, deadline)
	written()
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

// result is that of an attempt whose end the endpoint reported.
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

// lostResult is that of an attempt whose answers were lost. Whether it ran is not known, even where
// a reused connection reset at once: the decisions say whether the class may be retried.
func lostResult(err error) routing.Result {
	out := routing.Result{Outcome: decide.OutcomeAnswerLost, Reason: err.Error()}
	if errors.Is(err, errUnreachable) {
		out.Outcome = decide.OutcomeReset
	} else if netconn.IsTimeout(err) {
		// Connections still come up, so it is no proof that the endpoint is down; but where they
		// bring no answer in time, something is wrong with it.
		out.Outcome = decide.OutcomeError
	}
	return out
}

// Connections counts the connections that carry calls now and the idle ones.
func (e *engineClient) Connections() (busy, idle int) { return e.conns.connections() }

// Close drops the endpoint's connections.
func (e *engineClient) Close() { e.conns.close() }

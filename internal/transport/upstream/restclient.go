package upstream

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/routing"
)

// restAnswerTimeout is how long an endpoint may take to answer. Servers of the public protocol hold a poll for
// up to 1 s.
const restAnswerTimeout = 3 * time.Second

// errResultSink is returned where a page of the result could not be stored.
var errResultSink = errors.New("the result can't be stored")

// restClient is a client of an endpoint that speaks the paged REST protocol.
type restClient struct {
	*engineClient
	user string
}

// Run runs one attempt. No other call uses the attempt's connection at the same time.
func (r *restClient) Run(ctx context.Context, a routing.AttemptSpec) routing.Result {
	getConn := r.conns.get
	if a.IdempotencyKey != "" {
		// The endpoint may answer from its record of an earlier query under the key, with that query's ID, which must not be
		// taken for a duplicate.
		getConn = r.conns.dial
	}
	c, notSent := r.connect(ctx, a, getConn)
	if notSent != nil {
		return *notSent
	}
	if a.Sink != nil {
		if err := a.Sink.Reset(); err != nil {
			r.conns.put(c)
			return routing.Result{Outcome: decide.OutcomeNotSent, Reason: err.Error()}
		}
	}
	endSend, notSent := r.beginSend(a, c)
	if notSent != nil {
		return *notSent
	}
	defer endSend()
	q := rest.NewUpstreamQuery(r.addr, rest.StartRequest{CallID: a.CallID, Class: a.Class, User: r.user, Statement: a.Statement, Timeout: a.Timeout, IdempotencyKey: a.IdempotencyKey,
		Stream: a.Sink != nil, PreviousID: c.lastQueryID})
	res, err := r.converse(ctx, c, q, a.Sink, endSend)
	if res != nil {
		return routing.Result{Outcome: restOutcomes[res.Outcome], Body: res.Body, Streamed: a.Sink != nil, ActualWork: res.ActualWorkMS,
			ActualMemoryMB: res.ActualMemoryMB, Reason: res.Reason}
	}
	cancel := func() { r.cancel(ctx, a, q, err) }
	if ctx.Err() == nil && errors.Is(err, errResultSink) { // not a failure of the endpoint
		cancelLostAttempt(a, cancel)
		return routing.Result{Outcome: decide.OutcomeAnswerLost, Reason: err.Error()}
	}
	return r.abandon(ctx, a, err, cancel)
}

// restOutcomes maps the outcomes of the REST protocol to those of the decisions.
var restOutcomes = map[rest.Outcome]decide.Outcome{
	rest.OutcomeSucceeded:  decide.OutcomeSucceeded,
	rest.OutcomeFailed:     decide.OutcomeError,
	rest.OutcomeOverloaded: decide.OutcomeOverloaded,
}

// cancel cancels an attempt at its endpoint. cause is the error that ended the attempt.
func (r *restClient) cancel(ctx context.Context, a routing.AttemptSpec, q *rest.UpstreamQuery, cause error) {
	deadline, _ := ctx.Deadline()
	if message := q.EncodeCancel(); message != nil {
		_ = r.sendCancel(message, a.Exclusive, deadline)
	} else if a.Exclusive && !errors.Is(cause, syscall.ECONNREFUSED) {
		// The endpoint has not sent the URI for a cancellation, so the query may run until its timeout.
		time.Sleep(time.Until(deadline))
	}
}

// converse makes calls for a query until it ends, as engineClient.converse does. In this protocol a query can't be
// polled before the first answer has named a URI.
func (r *restClient) converse(ctx context.Context, c *pooledConn, q *rest.UpstreamQuery, sink routing.ResultSink, onWritten func()) (*rest.Result, error) {
	nextCall := q.EncodeStart()
	for lostAnswers := 0; ; {
		step, answered, err := r.exchange(ctx, c, q, nextCall, sink, onWritten)
		if answered {
			lostAnswers = 0
		}
		if errors.Is(err, errResultSink) {
			return nil, err
		}
		if step.Result != nil || ctx.Err() != nil {
			return step.Result, err
		}
		if err != nil {
			lostAnswers++
		}
		nextCall = q.EncodeResume()
		newConn, dialErr := r.conns.redial(ctx) // without a URI to poll, this still shows whether the endpoint is up
		if dialErr != nil {
			return nil, errors.Join(err, dialErr)
		}
		if nextCall == nil || lostAnswers > maxLostAnswers {
			r.conns.put(newConn)
			return nil, err
		}
		c = newConn
	}
}

// exchange makes calls on one connection until the query ends or needs a new connection, and returns the
// connection to the pool or drops it. answered reports whether any answer was valid.
func (r *restClient) exchange(ctx context.Context, c *pooledConn, q *rest.UpstreamQuery, nextCall []byte, sink routing.ResultSink, onWritten func()) (step rest.Step, anyAnswered bool, err error) {
	r.conns.use(ctx, c, func() (reusable bool) {
		for deadline := time.Now().Add(restAnswerTimeout); step.Result == nil && !step.NeedsNewConnection && err == nil; {
			if len(nextCall) > 0 {
				deadline = time.Now().Add(restAnswerTimeout)
			}
			step, err = restCall(ctx, c, q, nextCall, deadline, onWritten)
			if err == nil && len(step.Page) > 0 {
				if sinkErr := sink.WritePage(ctx, step.Page); sinkErr != nil {
					step.Result, err = nil, fmt.Errorf("%w: %w", errResultSink, sinkErr)
				}
			}
			nextCall = step.Send
			anyAnswered = anyAnswered || err == nil && (step.Result != nil || step.NeedsNewConnection || len(nextCall) > 0)
		}
		c.lastQueryID = q.ID()
		return step.KeepConnection
	})
	return step, anyAnswered, err
}

// restCall writes a call, if there is one, calls onWritten, and feeds the bytes of one read to the query.
func restCall(ctx context.Context, c *pooledConn, q *rest.UpstreamQuery, nextCall []byte, deadline time.Time, onWritten func()) (rest.Step, error) {
	if len(nextCall) > 0 {
		err := c.Write(ctx, nextCall, deadline)
		onWritten()
		if err != nil {
			return rest.Step{}, err
		}
	}
	b, err := c.Read(ctx, deadline)
	if err != nil {
		return rest.Step{}, err
	}
	return q.Feed(b)
}

// Prioritize returns an error, as this protocol has no priorities.
func (r *restClient) Prioritize(context.Context, string, int) error {
	return fmt.Errorf("priority: %w", errors.ErrUnsupported)
}

// Probe makes a health check. This protocol has no load reports.
func (r *restClient) Probe(ctx context.Context) (decide.Outcome, *decide.LoadReport) {
	return r.probe(ctx, rest.EncodeProbe(r.addr))
}

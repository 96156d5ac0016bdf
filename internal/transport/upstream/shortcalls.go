package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/transport/netconn"
)

// HTTP status codes of answers to short calls: calls that the endpoint answers at once, such as cancellations and
// probes.
const (
	statusOK        = 200
	statusAccepted  = 202
	statusNoContent = 204
)

// errDuplicateAnswer is returned for a response that can't answer the call, but an earlier one on the connection.
var errDuplicateAnswer = errors.New("a duplicate of the answer to an earlier call")

// shortCall is a short call and the statuses that may answer it.
type shortCall struct {
	message  []byte
	isAnswer func(status int) bool
}

// newChange returns a call that changes a query: a cancellation or a priority.
func newChange(message []byte) shortCall {
	return shortCall{message, func(status int) bool { return status != statusOK && status != statusAccepted }}
}

// newProbe returns a call that makes a health check.
func newProbe(message []byte) shortCall {
	return shortCall{message, func(status int) bool { return status != statusAccepted && status != statusNoContent }}
}

func anyStatus(int) bool { return true }

// shortCallTimeout limits one short call, such as a cancellation.
const shortCallTimeout = 250 * time.Millisecond

// makeShortCall makes one short call on a connection that no query is using. Short calls are idempotent, so a call is
// repeated once where its connection fails, as an idle connection may have been closed by the endpoint, or brings a duplicate
// of an earlier answer. On a new connection any response is the answer.
func (e *engineClient) makeShortCall(ctx context.Context, call shortCall) (status int, report string, err error) {
	c, err := e.conns.get(ctx)
	if err != nil {
		return 0, "", err
	}
	status, report, err = e.makeShortCallOn(ctx, c, call)
	if err == nil || ctx.Err() != nil || netconn.IsTimeout(err) {
		return status, report, err
	}
	if c, err = e.conns.dial(ctx); err != nil {
		return 0, "", err
	}
	return e.makeShortCallOn(ctx, c, shortCall{call.message, anyStatus})
}

// makeShortCallOn makes a short call on a connection, and returns the connection to the pool or drops it.
func (e *engineClient) makeShortCallOn(ctx context.Context, c *pooledConn, call shortCall) (status int, report string, err error) {
	reusable := false
	defer func() {
		if reusable && err == nil {
			e.conns.put(c)
		} else {
			e.conns.drop(c)
		}
	}()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(shortCallTimeout)
	}
	if err := c.Write(ctx, call.message, deadline); err != nil {
		return 0, "", err
	}
	for parser := engine.NewResponseParser(); ; {
		b, err := c.Read(ctx, deadline)
		if err != nil {
			return 0, "", err
		}
		status, report, reusable, err = parser.Feed(b)
		switch {
		case err != nil:
			return 0, "", err
		case status != 0 && !call.isAnswer(status):
			return 0, "", fmt.Errorf("%w: status %d", errDuplicateAnswer, status)
		case status != 0:
			return status, report, nil
		}
	}
}

// Prioritize changes the priority of a running query.
func (e *engineClient) Prioritize(ctx context.Context, call string, priority int) error {
	status, _, err := e.makeShortCall(ctx, newChange(engine.EncodePriority(e.addr, call, priority)))
	if err == nil && status != statusNoContent {
		err = fmt.Errorf("priority: status %d", status)
	}
	return err
}

// Probe makes a health check and returns its load report, or nil where there is none.
func (e *engineClient) Probe(ctx context.Context) (decide.Outcome, *decide.LoadReport) {
	return e.probe(ctx, engine.EncodeProbe(e.addr))
}

func (e *engineClient) probe(ctx context.Context, message []byte) (decide.Outcome, *decide.LoadReport) {
	status, report, err := e.makeShortCall(ctx, newProbe(message))
	switch {
	case err == nil && status == statusOK:
		return decide.OutcomeSucceeded, e.parseLoad(report)
	case err == nil:
		return decide.OutcomeOverloaded, e.parseLoad(report)
	case errors.Is(err, errNoDescriptors):
		return decide.OutcomeNotSent, nil
	case errors.Is(err, io.EOF) || netconn.IsReset(err): // on both tries, after the connection was established
		return decide.OutcomeAnswerLost, nil
	case ctx.Err() != nil || netconn.IsTimeout(err):
		return decide.OutcomeTimeout, nil
	}
	return decide.OutcomeConnectFailed, nil
}

// missingFigure is the value in a load report for a figure that the endpoint did not report.
const missingFigure = -1

// parseLoad parses a load report. It returns nil for an empty text.
func (e *engineClient) parseLoad(text string) *decide.LoadReport {
	if text == "" {
		return nil
	}
	figures, invalid := engine.ParseLoadReport(text)
	if invalid {
		e.conns.recordViolation(&e.conns.pool.invalidReports, "report")
	}
	figureOrMissing := func(name string) float64 {
		if v, ok := figures[name]; ok {
			return v
		}
		return missingFigure
	}
	return &decide.LoadReport{InFlight: figureOrMissing("inflight"), Queue: figureOrMissing("queue"), Utilization: figureOrMissing("util"),
		Latency: figureOrMissing("latency_ms"), Memory: figureOrMissing("x0"), Disk: figureOrMissing("x1")}
}

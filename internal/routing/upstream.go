package routing

import (
	"context"
	"time"

	"aniseloft/decide"
)

// AttemptSpec describes one attempt of a query for the Upstream that executes it.
type AttemptSpec struct {
	CallID         string
	Class          string
	Statement      []byte
	Timeout        time.Duration
	GrantMB        float64    // memory granted to the attempt
	Priority       int        // priority of the attempt at its endpoint; -1: not set
	IdempotencyKey string     // empty: none
	Sink           ResultSink // receives a streamed result; nil: the result is one body
	// Exclusive is set if the query must not have another attempt while this attempt may run: Run then
	// returns only once the endpoint can no longer be working on the attempt.
	Exclusive bool
	// OnProgress receives the progress that the endpoint reports while the attempt runs.
	OnProgress func(decide.ProgressKind, float64)
	// StillReady is called just before the first byte is written and reports whether the attempt may still
	// start: the endpoint may have started to drain while the connection was dialled.
	StillReady func() bool
	// BeginSend is called right before the first byte is written. If ok is false, the request has been answered and the
	// attempt must not start. Otherwise sendDone must be called as soon as the byte has been written or can no longer be
	// written, as the answer waits for it. Nil: the attempt need not be ordered relative to an answer.
	BeginSend func() (sendDone func(), ok bool)
}

// Result is the outcome of an attempt.
type Result struct {
	Outcome        decide.Outcome
	Body           []byte
	Streamed       bool               // the result was written to the attempt's sink
	ActualWork     float64            // work that the endpoint reported, in milliseconds on one core; 0: not reported
	ActualMemoryMB float64            // memory that the endpoint reported; 0: not reported
	Load           *decide.LoadReport // load report of the endpoint; nil: the endpoint sent none
	Reason         string
}

// Upstream is the client of one endpoint, independent of the protocol.
type Upstream interface {
	// Run executes an attempt. When the deadline of ctx passes, it returns immediately and cancels the
	// attempt at the endpoint in the background. When ctx is cancelled, or the answer to an exclusive
	// attempt is lost, it cancels the attempt at the endpoint before it returns.
	Run(ctx context.Context, spec AttemptSpec) Result
	// Prioritize changes the priority of a running attempt.
	Prioritize(ctx context.Context, callID string, priority int) error
	// Probe requests a load report from the endpoint.
	Probe(ctx context.Context) (decide.Outcome, *decide.LoadReport)
	// Connections returns how many of the endpoint's connections carry a call and how many are idle.
	Connections() (busy, idle int)
	// Close releases the endpoint's connections.
	Close()
}

// UpstreamFactory creates the clients of endpoints.
type UpstreamFactory interface{ Upstream(Endpoint) Upstream }

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	decide.EndpointInfo
	Name    string
	Address string
}

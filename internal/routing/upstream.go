package routing

import (
	"context"
	"time"

	"aniseloft/decide"
)

// AttemptSpec is what an Upstream needs to execute one attempt of a query at its endpoint.
type AttemptSpec struct {
	CallID         string
	Class          string
	Statement      []byte
	Timeout        time.Duration
	GrantMB        float64
	Priority       int    // -1: not set
	IdempotencyKey string // empty: none
	Sink           ResultSink
	// Exclusive forbids any other attempt of the query beside this one: Run returns only once the
	// endpoint can't be working on it any more.
	Exclusive bool
	// OnProgress receives what the endpoint reports while the attempt runs.
	OnProgress func(decide.ProgressKind, float64)
	// StillReady reports, just before the first byte is written, whether the attempt may still
	// start: the endpoint may have begun to drain while the connection was dialled.
	StillReady func() bool
	// BeginSend is called right before the first byte is written. Where it returns false the attempt must not start: its request
	// has been answered. Else sent must be called as soon as the byte is written, or is known not to be: an answer waits for it.
	// Nil: nothing is to be ordered.
	BeginSend func() (sent func(), ok bool)
}

// Result is the outcome of an attempt.
type Result struct {
	Outcome        decide.Outcome
	Body           []byte
	Streamed       bool    // the result went to the attempt's sink
	ActualWork     float64 // milliseconds on one core
	ActualMemoryMB float64
	Load           *decide.LoadReport // nil: the endpoint sent none
	Reason         string
}

// Upstream is the client of one endpoint, whatever protocol the endpoint speaks.
type Upstream interface {
	// Run executes an attempt. When the deadline of ctx passes, it returns at once and cancels the
	// attempt at the endpoint in the background. When ctx is cancelled, or the answer to an exclusive
	// attempt is lost, it returns after that cancellation.
	Run(ctx context.Context, spec AttemptSpec) Result
	// Prioritize changes the priority of a running attempt.
	Prioritize(ctx context.Context, call string, priority int) error
	// Probe requests a load report.
	Probe(ctx context.Context) (decide.Outcome, *decide.LoadReport)
	// Connections returns how many connections carry a call and how many are idle.
	Connections() (busy, idle int)
	// Close releases the endpoint's connections.
	Close()
}

// UpstreamFactory makes the client of an endpoint.
type UpstreamFactory interface{ Upstream(Endpoint) Upstream }

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	decide.EndpointInfo
	Name    string
	Address string
}

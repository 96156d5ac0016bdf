package routing

import (
	"context"
	"time"

	"aniseloft/internal/memory"
)

// Query is a query as a client requests it.
type Query struct {
	CallID            string // the client's ID of the request, passed to endpoints unchanged
	Class             int    // index into the settings' classes
	Statement         []byte
	Deadline          time.Time
	EstimatedWork     float64         // milliseconds on one core; 0: no estimate
	EstimatedMemoryMB float64         // 0: no estimate
	IdempotencyKey    string          // passed to endpoints unchanged; empty: none
	IsRetry           bool            // the client marks the request as a retry
	StatementOwner    *memory.Account // whom the statement's memory is counted for, see Dispatcher.NewStatementOwner
	Sink              ResultSink      // receives the result page by page if the endpoint can stream it; nil: the result is one body

	// Set by Submit.
	tableGroup      uint64
	statementMemory *memory.Reservation // nil: there was no memory, and the statement is dropped
}

// ResultSink receives a streamed result. Only one attempt writes at a time.
type ResultSink interface {
	// Reset discards the pages that an unsuccessful attempt has written.
	Reset() error
	// WritePage appends complete rows, in order. It may block until buffer space is free or ctx ends.
	WritePage(ctx context.Context, rows []byte) error
}

// AnswerKind is the kind of a final answer.
type AnswerKind int

// The kinds of a final answer.
const (
	Succeeded AnswerKind = iota
	Rejected             // the request may safely be retried
	Failed               // the request may have run
)

// String returns the name of the kind in counters and logs.
func (k AnswerKind) String() string { return [...]string{"served", "refused", "failed"}[k] }

// Answer is the one final answer to a query.
type Answer struct {
	Kind       AnswerKind
	Body       []byte
	Streamed   bool          // the result was written to the query's sink
	RetryAfter time.Duration // for a rejection: how long the client is to wait before it retries
	Reason     string
}

// Responder receives the one answer to a query. It is called on the dispatcher's goroutine, so it
// must not block.
type Responder interface{ Respond(Answer) }

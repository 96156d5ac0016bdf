package clients

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/memory"
	"aniseloft/internal/millis"
	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/protocol/rest"
	"aniseloft/internal/routing"
	"aniseloft/internal/store"
	"aniseloft/internal/transport/netconn"
)

// newToken returns a random token: the id of a query, or the slug in its URI.
func newToken() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// startQuery starts a query, or finds the existing one with the same idempotency key, and returns the answer
// for its state.
func (s *RESTServer) startQuery(ctx context.Context, c *restConn, m rest.SubmitRequest, receivedAt time.Time) []byte {

	classIndex, class, err := s.admit(m, receivedAt)
	if err != nil {
		if errors.Is(err, errDraining) {
			c.CountDrainRejection()
		}
		return s.errorAnswer(err)
	}
	deadline := receivedAt.Add(statementTimeout(m, class))
	row := s.newRow(m, deadline)
	q := &restQuery{server: s, id: row.ID, idempotent: class.Idempotency == decide.IdempotentAlways, hasKey: m.IdempotencyKey != "", ended: make(chan struct{})}
	s.addLive(q) // before the row is written, so that a poll that finds the row also finds the live query
	existingRow, err := s.beginRow(ctx, row, deadline)
	if err != nil {
		s.Log.Warn("query rejected", "query", row.ID, "reason", "not recorded", "err", err)
		s.removeLive(q.id)
		return rejection(row.ID, s.maxRetryAfter())
	}
	if existingRow != nil {
		s.removeLive(q.id)
		if existingRow.Digest != row.Digest {
			return s.errorAnswer(errKeyReused)
		}
		c.input.release() // the statement is not needed any more
		return s.awaitEnd(ctx, existingRow, m.Host, 0, true)
	}
	if err := q.reserveSpool(row); err != nil {
		s.Log.Warn("query rejected", "query", row.ID, "reason", "no space in the spool", "err", err)
		q.end(store.StateRejected, nil, s.retryAfter(err))
		return rejection(row.ID, s.retryAfter(err))
	}
	defer q.watchClient(c.Conn)()
	q.submit(classIndex, m, deadline, c.statements)
	c.input.release() // the dispatcher counts the statement
	row.State = store.StateRunning
	return s.awaitEnd(ctx, &row, m.Host, 0, true)
}

// admit checks a statement and returns its class.
func (s *RESTServer) admit(m rest.SubmitRequest, receivedAt time.Time) (int, decide.Class, error) {
	classIndex, class, err := findClass(s.Dispatcher, m.Class)
	if err != nil {
		return 0, class, err
	}
	if err := s.Dispatcher.ValidateEstimates(classIndex, class.Deadline, m.EstimatedWorkMS, m.EstimatedMemoryMB); err != nil {
		return 0, class, invalidEstimateError{err}
	}
	if class.Idempotency != decide.IdempotentAlways && m.IdempotencyKey == "" {
		return 0, class, errKeyRequired
	}
	if !s.Drain.admits(receivedAt, m.EstimatedWorkMS, class) {
		return 0, class, errDraining
	}
	return classIndex, class, nil
}

// statementTimeout returns the client's timeout, or the class's deadline where that is shorter or the client
// gives none.
func statementTimeout(m rest.SubmitRequest, class decide.Class) time.Duration {
	timeout := class.Deadline
	if m.TimeoutMS > 0 {
		timeout = min(m.TimeoutMS, timeout)
	}
	return millis.Duration(timeout)
}

// newRow returns the row of the query record for a statement's query. The row's digest distinguishes
// statements sent with the same idempotency key.
func (s *RESTServer) newRow(m rest.SubmitRequest, deadline time.Time) store.Query {
	digest := sha256.Sum256(append([]byte(m.Class+"\x00"), m.Statement...))
	return store.Query{ID: newToken(), Slug: newToken(), IdempotencyKey: m.IdempotencyKey, Digest: hex.EncodeToString(digest[:]), Class: m.Class,
		Owner: m.User, Coordinator: s.Node, ExpiresAt: deadline.Add(s.Retention)}
}

// beginRow writes a new query's row to the query record. If a query with the same idempotency key exists,
// it returns the row of that query instead.
func (s *RESTServer) beginRow(ctx context.Context, row store.Query, deadline time.Time) (existingRow *store.Query, err error) {
	ctx, cancel := context.WithDeadline(ctx, netconn.Earlier(deadline, time.Now().Add(recordTimeout)))
	defer cancel()
	return s.Record.Begin(ctx, row)
}

// reserveSpool reserves space in the spool for the result before the query is sent, as no space might be
// left afterwards.
func (q *restQuery) reserveSpool(row store.Query) (err error) {
	if q.server.Spool == nil {
		return nil
	}
	q.spool, err = q.server.Spool.Begin(row.ID, row.Owner, row.Class, engine.MaxResultBytes)
	return err
}

// submit submits the query to the dispatcher, unless it has been cancelled.
func (q *restQuery) submit(classIndex int, m rest.SubmitRequest, deadline time.Time, owner *memory.Account) {
	query := routing.Query{StatementOwner: owner, CallID: q.id, Class: classIndex, Statement: m.Statement, Deadline: deadline, EstimatedWork: m.EstimatedWorkMS,
		EstimatedMemoryMB: m.EstimatedMemoryMB, IdempotencyKey: m.IdempotencyKey}
	if q.spool != nil {
		query.Sink = q
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.cancelled {
		t := q.server.Dispatcher.Submit(query, q)
		q.ticket = &t
	}
}

package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"time"
)

const createQueryTable = `CREATE TABLE IF NOT EXISTS query (
	id TEXT PRIMARY KEY, slug TEXT NOT NULL, owner TEXT NOT NULL, idem_key TEXT, digest TEXT NOT NULL,
	class TEXT NOT NULL, state TEXT NOT NULL, pages TEXT NOT NULL, come_back_ms BIGINT NOT NULL,
	expiry_ms BIGINT NOT NULL, node TEXT NOT NULL DEFAULT '', UNIQUE (owner, idem_key))`

// addCoordinatorColumn upgrades a record from a release in which coordinators could not share one.
const addCoordinatorColumn = `ALTER TABLE query ADD COLUMN node TEXT NOT NULL DEFAULT ''`

const queryColumns = `id, slug, owner, COALESCE(idem_key, ''), digest, class, state, pages, come_back_ms, expiry_ms`

// State is the state of a query; its value is stored in the record.
type State string

// States of a query. All but StateRunning are final.
const (
	StateRunning   State = "running"
	StateSucceeded State = "served"
	StateRejected  State = "refused" // the query never ran
	StateFailed    State = "failed"  // the query may have run
	StateCanceled  State = "cancelled"
)

// Query is one row of the record.
type Query struct {
	ID             string
	Slug           string // the secret part of the query's URL
	IdempotencyKey string // chosen by the client; empty: none
	Digest         string // digest of the class and the statement
	Class          string
	Owner          string
	Coordinator    string // the coordinator that serves the query, by name; empty if it alone uses the record; Get leaves it empty
	State          State
	Pages          []byte
	RetryAfter     time.Duration // time after which the client is told to retry; set with StateRejected
	ExpiresAt      time.Time
}

// ErrNotFound is returned if there is no such query.
var ErrNotFound = errors.New("store: no such query")

// Begin stores a query as running before its first attempt. If the owner's idempotency key is in use, it stores
// nothing and returns the query that has the key.
func (s *Store) Begin(ctx context.Context, q Query) (existingQuery *Query, err error) {
	var storedKey any // NULL does not conflict with any key
	if q.IdempotencyKey != "" {
		storedKey = q.IdempotencyKey
		// An expired query no longer holds its key, even if its row has not been deleted yet.
		if _, err := s.exec(ctx, `DELETE FROM query WHERE owner = $1 AND idem_key = $2 AND expiry_ms < $3 AND state <> 'running'`,
			q.Owner, q.IdempotencyKey, time.Now().UnixMilli()); err != nil {
			return nil, err
		}
	}
	insertedRows, err := s.exec(ctx, `INSERT INTO query (id, slug, owner, idem_key, digest, class, state, pages, come_back_ms, expiry_ms, node)
		VALUES ($1, $2, $3, $4, $5, $6, 'running', '', 0, $7, $8) ON CONFLICT (owner, idem_key) DO NOTHING`,
		q.ID, q.Slug, q.Owner, storedKey, q.Digest, q.Class, q.ExpiresAt.UnixMilli(), q.Coordinator)
	if err != nil || insertedRows == 1 {
		return nil, err
	}
	return s.queryOne(ctx, "owner = $1 AND idem_key = $2", q.Owner, q.IdempotencyKey)
}

// Finish stores the final state of a query before the client is answered. A rejected query releases its idempotency
// key: it never ran, and the client is told that a retry is safe. ErrNotFound is returned if the query is not
// running.
func (s *Store) Finish(ctx context.Context, id string, finalState State, pages []byte, retryAfter time.Duration, expiresAt time.Time) error {
	updatedRows, err := s.exec(ctx, `UPDATE query SET state = $1, pages = $2, come_back_ms = $3, expiry_ms = $4,
		idem_key = CASE WHEN $5 = 'refused' THEN NULL ELSE idem_key END WHERE id = $6 AND state = 'running'`,
		string(finalState), string(pages), retryAfter.Milliseconds(), expiresAt.UnixMilli(), string(finalState), id)
	if err != nil {
		return err
	}
	if updatedRows != 1 {
		return ErrNotFound
	}
	return nil
}

// Get reads a query, or returns ErrNotFound.
func (s *Store) Get(ctx context.Context, id string) (*Query, error) {
	return s.queryOne(ctx, "id = $1", id)
}

// queryOne reads the query that matches a condition, or returns ErrNotFound.
func (s *Store) queryOne(ctx context.Context, condition string, args ...any) (*Query, error) {
	var q Query
	var pages string
	var retryAfterMS, expiresAtMS int64
	statement := s.placeholders("SELECT " + queryColumns + " FROM query WHERE " + condition)
	err := s.database.QueryRowContext(ctx, statement, args...).Scan(&q.ID, &q.Slug, &q.Owner, &q.IdempotencyKey, &q.Digest,
		&q.Class, &q.State, &pages, &retryAfterMS, &expiresAtMS)
	if errors.Is(err, sql.ErrNoRows) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	q.Pages = []byte(pages)
	q.RetryAfter = time.Duration(retryAfterMS) * time.Millisecond
	q.ExpiresAt = time.UnixMilli(expiresAtMS)
	return &q, nil
}

// FailUnfinished marks the queries that an earlier process of this coordinator left running as failed: they may have
// run, and are never sent again. Queries of other coordinators are not changed.
func (s *Store) FailUnfinished(ctx context.Context, coordinator string) (failedCount int64, err error) {
	err = retryWhileBusy(ctx, func() (err error) {
		failedCount, err = s.exec(ctx, `UPDATE query SET state = 'failed' WHERE state = 'running' AND (node = $1 OR node = '')`, coordinator)
		return err
	})
	return failedCount, err
}

const deleteExpired = `DELETE FROM query WHERE expiry_ms < $1 AND state <> 'running'`

// DeleteExpired deletes the queries that had expired at now, except running ones.
func (s *Store) DeleteExpired(ctx context.Context, now time.Time) (deletedCount int64, err error) {
	return s.exec(ctx, deleteExpired, now.UnixMilli())
}

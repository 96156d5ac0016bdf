package store

import (
	"context"
	"database/sql"
	"fmt"
	"time"

	"aniseloft/internal/lease"
)

// createFenceTable creates the table with a row for each grant of a job under which an operation has run on the record,
// the SQL store of queries. Rows are never deleted, so that operators can see which holders have run operations.
const createFenceTable = `CREATE TABLE IF NOT EXISTS fence (
	job TEXT NOT NULL, fence BIGINT NOT NULL, holder TEXT NOT NULL, since_ms BIGINT NOT NULL, acts BIGINT NOT NULL, PRIMARY KEY (job, fence))`

// Exec executes a statement within a transaction and returns the number of rows that it changed.
type Exec func(query string, args ...any) (changedRows int64, err error)

// RunFenced runs an operation of a job for the whole fleet, in one transaction with the check of its fence. If an
// operation of a later grant has run, it changes nothing and returns a lease.StaleFenceError. If the outcome of the
// commit is unknown, the operation may have taken effect, under this fence.
func (s *Store) RunFenced(ctx context.Context, job string, fence lease.Fence, holder string, operation func(Exec) error) error {
	tx, err := s.database.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer func() { _ = tx.Rollback() }()
	exec := func(query string, args ...any) (int64, error) { return s.execOn(ctx, tx, query, args...) }
	// The write comes first: it takes the record's lock, so that nothing changes between the following read and the
	// commit.
	if _, err := exec(`INSERT INTO fence (job, fence, holder, since_ms, acts) VALUES ($1, $2, $3, $4, 1)
		ON CONFLICT (job, fence) DO UPDATE SET acts = fence.acts + 1`, job, int64(fence), holder, time.Now().UnixMilli()); err != nil {
		return err
	}
	highest, err := s.highestFence(ctx, tx, job)
	if err != nil {
		return err
	}
	if _, err := highest.Admit(job, fence, holder); err != nil {
		return err
	}
	if err := operation(exec); err != nil {
		return err
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// highestFence returns the highest fence under which an operation of a job has run, with its holder.
func (s *Store) highestFence(ctx context.Context, tx *sql.Tx, job string) (record lease.FenceRecord, err error) {
	var fenceNumber int64
	statement := s.placeholders(`SELECT fence, holder FROM fence WHERE job = $1 ORDER BY fence DESC LIMIT 1`)
	if err := tx.QueryRowContext(ctx, statement, job).Scan(&fenceNumber, &record.Holder); err != nil {
		return record, fmt.Errorf("store: %w", err)
	}
	record.Fence = lease.Fence(fenceNumber)
	return record, nil
}

// DeleteExpiredFenced deletes the queries that had expired at now, on behalf of the whole fleet. Errors are those of
// RunFenced.
func (s *Store) DeleteExpiredFenced(ctx context.Context, now time.Time, fence lease.Fence, holder string) (deletedCount int64, err error) {
	err = s.RunFenced(ctx, lease.JobPruneRecord, fence, holder, func(exec Exec) error {
		deletedCount, err = exec(deleteExpired, now.UnixMilli())
		return err
	})
	return deletedCount, err
}

// FenceRow describes a grant of a job and the operations that have run under its fence.
type FenceRow struct {
	Job     string      `json:"job"`
	Fence   lease.Fence `json:"fence"`
	Holder  string      `json:"holder"`
	SinceMS int64       `json:"since_ms"` // time of the holder's first operation under this fence, Unix ms
	Acts    int64       `json:"acts"`     // number of operations under this fence, rejected ones excluded
}

// Fences returns all grants under which operations have run on the record, ordered by job and fence.
func (s *Store) Fences(ctx context.Context) (grants []FenceRow, err error) {
	rows, err := s.database.QueryContext(ctx, "SELECT job, fence, holder, since_ms, acts FROM fence ORDER BY job, fence")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	defer func() { _ = rows.Close() }()
	for rows.Next() {
		var row FenceRow
		var fenceNumber int64
		if err := rows.Scan(&row.Job, &fenceNumber, &row.Holder, &row.SinceMS, &row.Acts); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		row.Fence = lease.Fence(fenceNumber)
		grants = append(grants, row)
	}
	return grants, rows.Err()
}

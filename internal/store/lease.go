package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"

	"aniseloft/internal/lease"
)

// createLeaseTable creates the table of the jobs' holders, for coordinators whose jobs the record itself assigns.
const createLeaseTable = `CREATE TABLE IF NOT EXISTS lease (
	job TEXT PRIMARY KEY, fence BIGINT NOT NULL, holder TEXT NOT NULL, until_ms BIGINT NOT NULL)`

// LeaseRow is a job's lease.
type LeaseRow struct {
	Fence  lease.Fence
	Holder string // empty: the job has no holder
	Free   bool   // the job has no holder, or its lease has expired
}

// CreateLeaseTable creates the table of leases if it does not exist.
func (s *Store) CreateLeaseTable(ctx context.Context) error {
	_, err := s.exec(ctx, createLeaseTable)
	return err
}

// AcquireLease renews the holder's lease on a job for durationMS of the database's clock. If acquireIfFree is set and the
// job is free, it takes the lease under the next fence. It returns the resulting row. After an error the holder may
// have the lease nevertheless, as the outcome of a commit can be unknown: the next call then renews it, under the
// same fence.
func (s *Store) AcquireLease(ctx context.Context, job, holder string, durationMS float64, acquireIfFree bool) (LeaseRow, error) {
	expiresAtSQL := fmt.Sprintf("%s + %.0f", s.nowSQL, durationMS)
	renewSQL := `UPDATE lease SET until_ms = ` + expiresAtSQL + ` WHERE job = $1 AND holder = $2 RETURNING fence`
	fence, isHeld, err := s.queryFence(ctx, renewSQL, job, holder)
	if err == nil && !isHeld && acquireIfFree {
		acquireSQL := `INSERT INTO lease (job, fence, holder, until_ms) VALUES ($1, 1, $2, ` + expiresAtSQL + `)
			ON CONFLICT (job) DO UPDATE SET fence = lease.fence + 1, holder = excluded.holder, until_ms = excluded.until_ms
			WHERE lease.holder = '' OR lease.until_ms < ` + s.nowSQL + ` RETURNING fence`
		fence, isHeld, err = s.queryFence(ctx, acquireSQL, job, holder)
	}
	if err != nil || isHeld {
		return LeaseRow{Fence: fence, Holder: holder}, err
	}
	return s.readLease(ctx, job)
}

// queryFence runs a statement that returns the fence of the row that it changed, if any.
func (s *Store) queryFence(ctx context.Context, statement, job, holder string) (fence lease.Fence, rowChanged bool, err error) {
	var fenceNumber int64
	err = s.database.QueryRowContext(ctx, s.placeholders(statement), job, holder).Scan(&fenceNumber)
	if errors.Is(err, sql.ErrNoRows) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("store: %w", err)
	}
	return lease.Fence(fenceNumber), true, nil
}

// readLease returns the row of a job; a job without a row is free.
func (s *Store) readLease(ctx context.Context, job string) (row LeaseRow, err error) {
	var fence, freeFlag int64
	statement := `SELECT fence, holder, CASE WHEN holder = '' OR until_ms < ` + s.nowSQL + ` THEN 1 ELSE 0 END FROM lease WHERE job = $1`
	err = s.database.QueryRowContext(ctx, s.placeholders(statement), job).Scan(&fence, &row.Holder, &freeFlag)
	if errors.Is(err, sql.ErrNoRows) {
		return LeaseRow{Free: true}, nil
	}
	if err != nil {
		return row, fmt.Errorf("store: %w", err)
	}
	row.Fence, row.Free = lease.Fence(fence), freeFlag == 1
	return row, nil
}

// ReleaseLease frees a job that this holder has under this fence. It does nothing if the job was granted again since.
func (s *Store) ReleaseLease(ctx context.Context, job, holder string, fence lease.Fence) error {
	_, err := s.exec(ctx, `UPDATE lease SET holder = '' WHERE job = $1 AND holder = $2 AND fence = $3`, job, holder, int64(fence))
	return err
}

// RaiseFence raises a job's fence to one that the target of the job's operations has accepted. A holder under a lower
// fence loses the lease, as the target would reject all its operations.
func (s *Store) RaiseFence(ctx context.Context, job string, fence lease.Fence) error {
	_, err := s.exec(ctx, `INSERT INTO lease (job, fence, holder, until_ms) VALUES ($1, $2, '', 0)
		ON CONFLICT (job) DO UPDATE SET fence = excluded.fence, holder = '' WHERE lease.fence < excluded.fence`, job, int64(fence))
	return err
}

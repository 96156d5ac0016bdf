// Package store is the record of REST queries, in SQLite or PostgreSQL. It keeps the states of queries and the pages
// of their results across restarts. Coordinators that share a record also keep their fences and leases in it.
//
// Errors of the database are wrapped; those that a caller can act on are ErrNotFound and lease.StaleFenceError.
package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // the driver for PostgreSQL
	_ "modernc.org/sqlite"             // the driver for SQLite, in pure Go
)

// Store is an open record. It is safe for concurrent use; its one connection carries one statement or transaction at a time.
type Store struct {
	database *sql.DB
	// placeholders replaces $1, $2 and so on by the driver's form of placeholders.
	placeholders func(query string) string
	nowSQL       string // SQL expression for the time of the database's clock, Unix ms
}

// dialect holds what a Store does differently for SQLite and PostgreSQL.
type dialect struct {
	driver, source string // arguments of sql.Open
	placeholders   func(string) string
	nowSQL         string
}

var errUnreadableURL = errors.New("store: the postgres URL is invalid") // the URL is left out, as it may hold a password

// Open opens the record: a PostgreSQL database if the name is a postgres URL, else a SQLite file. It creates missing
// tables and columns, and retries while another coordinator has locked the file, until ctx ends.
func Open(ctx context.Context, name string) (*Store, error) {
	d, err := dialectOf(name)
	if err != nil {
		return nil, err
	}
	database, err := sql.Open(d.driver, d.source)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	database.SetMaxOpenConns(1) // there is one writer, and file descriptors are budgeted
	s := &Store{database: database, placeholders: d.placeholders, nowSQL: d.nowSQL}
	if err := retryWhileBusy(ctx, func() error { return s.createTables(ctx) }); err != nil {
		_ = database.Close()
		return nil, err
	}
	return s, nil
}

// dialectOf returns the dialect of the database with this name.
func dialectOf(name string) (dialect, error) {
	if !strings.HasPrefix(name, "postgres://") && !strings.HasPrefix(name, "postgresql://") {
		return dialect{
			driver:       "sqlite",
			source:       "file:" + name + "?_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(1000)",
			placeholders: strings.NewReplacer("$", "?").Replace,
			nowSQL:       sqliteNow,
		}, nil
	}
	u, err := url.Parse(name)
	if err != nil {
		return dialect{}, errUnreadableURL
	}
	// The simple protocol needs no prepared statements on each connection, and works through connection poolers.
	arguments := u.Query()
	arguments.Set("default_query_exec_mode", "simple_protocol")
	u.RawQuery = arguments.Encode()
	unchanged := func(query string) string { return query }
	return dialect{driver: "pgx", source: u.String(), placeholders: unchanged, nowSQL: postgresNow}, nil
}

// Expressions for the time of the databases' clocks, Unix ms. Leases depend on these alone: they are never compared
// with the clock of a coordinator.
const (
	sqliteNow   = `CAST(unixepoch('subsec') * 1000 AS INTEGER)`
	postgresNow = `CAST(extract(epoch FROM clock_timestamp()) * 1000 AS BIGINT)`
)

// Close closes the record.
func (s *Store) Close() error { return s.database.Close() }

// createTables creates missing tables, and the column node, which records of earlier releases lack.
func (s *Store) createTables(ctx context.Context) error {
	for _, statement := range []string{createQueryTable, createFenceTable} {
		if _, err := s.database.ExecContext(ctx, statement); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	rows, err := s.database.QueryContext(ctx, "SELECT node FROM query LIMIT 1")
	if err == nil {
		return rows.Close()
	}
	if isBusy(err) {
		return err
	}
	if _, err := s.database.ExecContext(ctx, addCoordinatorColumn); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// execer is implemented by a database and a transaction.
type execer interface {
	ExecContext(ctx context.Context, query string, args ...any) (sql.Result, error)
}

func (s *Store) exec(ctx context.Context, query string, args ...any) (changed int64, err error) {
	return s.execOn(ctx, s.database, query, args...)
}

// execOn executes a statement and returns the number of rows that it changed.
func (s *Store) execOn(ctx context.Context, target execer, query string, args ...any) (changed int64, err error) {
	result, err := target.ExecContext(ctx, s.placeholders(query), args...)
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	return result.RowsAffected()
}

// busyRetryInterval is the pause between attempts while another coordinator has locked the file.
const busyRetryInterval = 20 * time.Millisecond

// sqliteBusy is SQLite's primary result code SQLITE_BUSY: another connection has locked the file.
const sqliteBusy = 5

// retryWhileBusy repeats f while another coordinator has locked the file, as it creates the file or was suspended
// during a write. It returns the last error when ctx ends.
func retryWhileBusy(ctx context.Context, f func() error) error {
	for {
		err := f()
		if !isBusy(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(busyRetryInterval):
		}
	}
}

// isBusy reports whether SQLite returned an error because another connection has locked the file.
func isBusy(err error) bool {
	var coded interface{ Code() int }
	return errors.As(err, &coded) && coded.Code()&0xff == sqliteBusy
}

// Package pgtest provides a PostgreSQL server for tests. It implements the wire protocol, by its public
// specification, on top of a SQLite file.
package pgtest

import (
	"context"
	"database/sql"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	_ "modernc.org/sqlite" // the database behind the wire protocol

	"aniseloft/internal/testdir"
)

// Server speaks the protocol of a PostgreSQL server, with simple queries and with transactions on each connection.
// Its data stays when connections end.
type Server struct {
	DSN      string
	Database *sql.DB // the data, for tests that inspect it
	// DropReply, if set, reports whether the connection is closed after a statement was executed and before the reply
	// is sent, as when the reply to a commit is lost. Set it before the first connection.
	DropReply func(statement string) bool
	// Unavailable, while true, closes each connection at its next statement, before anything is executed.
	Unavailable atomic.Bool
}

// NewServer starts a server that listens on loopback until the test ends. Each connection has a goroutine, which ends with
// the connection.
func NewServer(t *testing.T) *Server {
	path := filepath.Join(testdir.Dir(t), "pg.db")
	database, err := sql.Open("sqlite", "file:"+path+"?_pragma=journal_mode(WAL)&_pragma=busy_timeout(2000)")
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close(); _ = database.Close() })
	s := &Server{DSN: "postgres://u@" + listener.Addr().String() + "/aniseloft?sslmode=disable", Database: database}
	go s.accept(listener)
	return s
}

// accept serves connections until the listener is closed.
func (s *Server) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = connection.Close() }()
			s.serve(pgproto3.NewBackend(connection, connection))
		}()
	}
}

// serve answers the statements of one connection.
func (s *Server) serve(client *pgproto3.Backend) {
	if _, err := client.ReceiveStartupMessage(); err != nil {
		return
	}
	connection, err := s.Database.Conn(context.Background())
	if err != nil {
		return
	}
	defer func() {
		_, _ = connection.ExecContext(context.Background(), "ROLLBACK") // fails if no transaction is open
		_ = connection.Close()
	}()
	client.Send(&pgproto3.AuthenticationOk{})
	client.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	client.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	status := statusIdle
	for {
		client.Send(&pgproto3.ReadyForQuery{TxStatus: byte(status)})
		if client.Flush() != nil {
			return
		}
		message, err := client.Receive()
		query, ok := message.(*pgproto3.Query)
		if err != nil || !ok || s.Unavailable.Load() {
			return
		}
		parsed := parseStatement(query.String)
		err = execute(client, connection, parsed)
		if err != nil {
			client.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "XX000", Message: err.Error()})
		}
		status = status.after(parsed.verb, err)
		if s.DropReply != nil && s.DropReply(parsed.text) {
			return
		}
	}
}

// transactionStatus is the transaction status of a connection, with the values of the protocol's ReadyForQuery message.
type transactionStatus byte

const (
	statusIdle          transactionStatus = 'I'
	statusInTransaction transactionStatus = 'T'
	statusFailed        transactionStatus = 'E'
)

// after returns the status after a statement that has returned err.
func (s transactionStatus) after(verb string, err error) transactionStatus {
	switch {
	case err != nil && s == statusInTransaction:
		return statusFailed
	case err != nil:
		return s
	case verb == "BEGIN":
		return statusInTransaction
	case verb == "COMMIT" || verb == "ROLLBACK":
		return statusIdle
	}
	return s
}

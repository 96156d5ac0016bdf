// Package standin holds servers that stand in for outside systems in tests, written from public specifications.
package standin

import (
	"context"
	"database/sql"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	_ "modernc.org/sqlite" // what is behind the wire protocol

	"aniseloft/internal/testdir"
)

// Postgres stands in for a PostgreSQL server: its wire protocol (simple queries, transactions by connection) over a SQLite
// file, which outlives connections.
type Postgres struct {
	DSN string
	DB  *sql.DB // what it keeps, for tests that look
	// Cut decides by a statement that was carried out whether its connection ends without the answer, as when a commit is
	// lost on the way. Nil: never.
	Cut func(statement string) bool
	// Down has every connection end at its next statement, before anything is done.
	Down atomic.Bool
}

// NewPostgres serves until the test ends.
func NewPostgres(t *testing.T) *Postgres {
	db, err := sql.Open("sqlite", "file:"+filepath.Join(testdir.Dir(t), "pg.db")+"?_pragma=journal_mode(WAL)&_pragma=busy_timeout(2000)")
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close(); _ = db.Close() })
	p := &Postgres{DSN: "postgres://u@" + l.Addr().String() + "/aniseloft?sslmode=disable", DB: db}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				p.talk(pgproto3.NewBackend(c, c))
			}()
		}
	}()
	return p
}

func (p *Postgres) talk(b *pgproto3.Backend) {
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	conn, err := p.DB.Conn(context.Background())
	if err != nil {
		return
	}
	defer func() {
		_, _ = conn.ExecContext(context.Background(), "ROLLBACK") // what its connection left open; an error says that nothing was
		_ = conn.Close()
	}()
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	status := byte('I')
	for {
		b.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		if b.Flush() != nil {
			return
		}
		m, err := b.Receive()
		q, ok := m.(*pgproto3.Query)
		if err != nil || !ok || p.Down.Load() {
			return
		}
		text := strings.TrimSpace(q.String)
		verb := strings.ToUpper(strings.Trim(strings.Fields(text + " ;")[0], ";"))
		if err := answer(b, conn, verb, text); err != nil {
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "XX000", Message: err.Error()})
			if status == 'T' {
				status = 'E'
			}
		} else if verb == "BEGIN" {
			status = 'T'
		} else if verb == "COMMIT" || verb == "ROLLBACK" {
			status = 'I'
		}
		if p.Cut != nil && p.Cut(text) {
			return
		}
	}
}

// inSQLite words what the two have in common but for the names.
var inSQLite = strings.NewReplacer("CAST(extract(epoch FROM clock_timestamp()) * 1000 AS BIGINT)", "CAST(unixepoch('subsec') * 1000 AS INTEGER)")

func answer(b *pgproto3.Backend, conn *sql.Conn, verb, text string) error {
	ctx := context.Background()
	if verb == "--" || verb == "" { // the driver's ping
		b.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if verb == "BEGIN" {
		text = "BEGIN"
	}
	text = inSQLite.Replace(text)
	if verb != "SELECT" && !strings.Contains(text, " RETURNING ") {
		res, err := conn.ExecContext(ctx, text)
		if err != nil {
			return err
		}
		n, _ := res.RowsAffected()
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag(verb, n))})
		return nil
	}
	rows, err := conn.QueryContext(ctx, text)
	if err != nil {
		return err
	}
	defer func() { _ = rows.Close() }()
	names, _ := rows.Columns()
	d := &pgproto3.RowDescription{}
	for _, n := range names {
		oid := uint32(25) // text
		if strings.HasSuffix(n, "_ms") || n == "fence" || n == "acts" || strings.HasPrefix(n, "CASE") {
			oid = 20 // bigint
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1})
	}
	b.Send(d)
	n := int64(0)
	for ; rows.Next(); n++ {
		vals, ptrs := make([]sql.NullString, len(names)), make([]any, len(names))
		for i := range vals {
			ptrs[i] = &vals[i]
		}
		if err := rows.Scan(ptrs...); err != nil {
			return err
		}
		row := &pgproto3.DataRow{}
		for _, v := range vals {
			row.Values = append(row.Values, []byte(v.String))
		}
		b.Send(row)
	}
	if err := rows.Err(); err != nil {
		return err
	}
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag(verb, n))})
	return nil
}

// tag is how a server names what a command did.
func tag(verb string, n int64) string {
	switch verb {
	case "INSERT":
		return "INSERT 0 " + strconv.FormatInt(n, 10)
	case "UPDATE", "DELETE", "SELECT":
		return verb + " " + strconv.FormatInt(n, 10)
	}
	return verb
}

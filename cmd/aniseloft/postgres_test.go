package main

import (
	"database/sql"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	_ "modernc.org/sqlite"
)

// postgres stands in for a PostgreSQL server: its wire protocol (simple
// queries) over a SQLite file, which outlives the program's connections.
func postgres(t *testing.T) (dsn string, queries *sql.DB) {
	db, err := sql.Open("sqlite", filepath.Join(t.TempDir(), "pg.db"))
	require.NoError(t, err)
	db.SetMaxOpenConns(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close(); db.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); talkPostgres(pgproto3.NewBackend(c, c), db) }()
		}
	}()
	return "postgres://u@" + l.Addr().String() + "/aniseloft?sslmode=disable", db
}

func talkPostgres(b *pgproto3.Backend, db *sql.DB) {
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	for {
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if b.Flush() != nil {
			return
		}
		m, err := b.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			return
		}
		if err := answerPostgres(b, db, q.String); err != nil {
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "XX000", Message: err.Error()})
		}
	}
}

func answerPostgres(b *pgproto3.Backend, db *sql.DB, text string) error {
	text = strings.TrimSpace(text)
	verb := strings.ToUpper(strings.Fields(text + " ;")[0])
	if verb == "--" || verb == ";" { // the driver's ping
		b.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if verb != "SELECT" {
		res, err := db.Exec(text)
		if err != nil {
			return err
		}
		n, _ := res.RowsAffected()
		tag := verb + " " + strconv.FormatInt(n, 10)
		if verb == "INSERT" {
			tag = "INSERT 0 " + strconv.FormatInt(n, 10)
		}
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		return nil
	}
	rows, err := db.Query(text)
	if err != nil {
		return err
	}
	defer rows.Close()
	names, _ := rows.Columns()
	d := &pgproto3.RowDescription{}
	for _, n := range names {
		oid := uint32(25) // text
		if strings.HasSuffix(n, "_ms") {
			oid = 20 // bigint
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1})
	}
	b.Send(d)
	n := 0
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
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT " + strconv.Itoa(n))})
	return rows.Err()
}

func TestPostgresKeepsTheRecordToo(t *testing.T) {
	t.Parallel()
	dsn, db := postgres(t)
	p, e, j := worldOn(t, dsn)
	first := p.post("timetable-load", "k1", "it's done")
	_, text := settle(t, first)
	require.Equal(t, "a\tb\tc\n", text)
	open := p.post("timetable-load", "k2", "stay")
	require.Equal(t, 409, p.post("timetable-load", "k2", "other").status)
	require.Equal(t, 429, p.post("trip-lookup", "k3", "full").status)
	p.kill()
	q := runOn(t, p.dir, j, dsn)
	again, same := settle(t, q.post("timetable-load", "k1", "it's done"))
	require.Equal(t, first.ID, again.ID)
	require.Equal(t, text, same)
	end, _ := settle(t, q.post("timetable-load", "k2", "stay"))
	require.Equal(t, open.ID, end.ID)
	require.Equal(t, "GENERIC_INTERNAL_ERROR", end.Error.ErrorName)
	require.Equal(t, 1, e.count(&e.started, "stay"))
	require.NoError(t, db.Close()) // store trouble refuses, and nothing is sent
	require.Equal(t, 429, q.post("trip-lookup", "", "unsent").status)
	require.Zero(t, e.count(&e.started, "unsent"))
}

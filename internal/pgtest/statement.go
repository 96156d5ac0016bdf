package pgtest

import (
	"context"
	"database/sql"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Object identifiers of PostgreSQL's types.
const (
	bigintOID = 20
	textOID   = 25
)

// statement is one SQL statement as the client sent it.
type statement struct {
	text string
	verb string // the first word, in upper case
}

func parseStatement(raw string) statement {
	text := strings.TrimSpace(raw)
	return statement{text, strings.ToUpper(strings.Trim(strings.Fields(text + " ;")[0], ";"))}
}

// sqliteDialect replaces PostgreSQL's expressions by SQLite's.
var sqliteDialect = strings.NewReplacer("CAST(extract(epoch FROM clock_timestamp()) * 1000 AS BIGINT)", "CAST(unixepoch('subsec') * 1000 AS INTEGER)")

// execute executes a statement and sends its result, or returns the database's error.
func execute(client *pgproto3.Backend, connection *sql.Conn, s statement) error {
	if s.verb == "--" || s.verb == "" { // the driver's ping
		client.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	text := s.text
	if s.verb == "BEGIN" {
		text = "BEGIN" // SQLite does not support PostgreSQL's options
	}
	text = sqliteDialect.Replace(text)
	if s.verb == "SELECT" || strings.Contains(text, " RETURNING ") {
		return query(client, connection, s.verb, text)
	}
	result, err := connection.ExecContext(context.Background(), text)
	if err != nil {
		return err
	}
	count, _ := result.RowsAffected()
	client.Send(&pgproto3.CommandComplete{CommandTag: commandTag(s.verb, count)})
	return nil
}

// query sends the rows of a statement.
func query(client *pgproto3.Backend, connection *sql.Conn, verb, text string) error {
	rows, err := connection.QueryContext(context.Background(), text)
	if err != nil {
		return err
	}
	defer func() { _ = rows.Close() }()
	names, _ := rows.Columns()
	client.Send(describe(names))
	count := int64(0)
	for ; rows.Next(); count++ {
		values, pointers := make([]sql.NullString, len(names)), make([]any, len(names))
		for i := range values {
			pointers[i] = &values[i]
		}
		if err := rows.Scan(pointers...); err != nil {
			return err
		}
		row := &pgproto3.DataRow{}
		for _, value := range values {
			row.Values = append(row.Values, []byte(value.String))
		}
		client.Send(row)
	}
	if err := rows.Err(); err != nil {
		return err
	}
	client.Send(&pgproto3.CommandComplete{CommandTag: commandTag(verb, count)})
	return nil
}

// describe derives the types of columns from their names, as SQLite has no type for an expression.
func describe(names []string) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for _, name := range names {
		oid := uint32(textOID)
		if strings.HasSuffix(name, "_ms") || name == "fence" || name == "acts" || strings.HasPrefix(name, "CASE") {
			oid = bigintOID
		}
		description.Fields = append(description.Fields,
			pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oid, DataTypeSize: -1, TypeModifier: -1})
	}
	return description
}

// commandTag returns the protocol's summary of an executed statement.
func commandTag(verb string, count int64) []byte {
	switch verb {
	case "INSERT":
		return []byte("INSERT 0 " + strconv.FormatInt(count, 10))
	case "UPDATE", "DELETE", "SELECT":
		return []byte(verb + " " + strconv.FormatInt(count, 10))
	}
	return []byte(verb)
}

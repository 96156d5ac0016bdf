package clients

import (
	"context"
	"database/sql"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/store"
	"aniseloft/internal/testdir"
	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/transporttest"
)

// Guards against submitting a query whose client disconnected while its statement was being recorded. Another
// connection holds the record's write lock until the disconnect is visible.
func TestStatementIsNotSentIfClientLeavesWhileRecorded(t *testing.T) {
	for key, wantState := range map[string]string{"": "cancelled", "Idempotency-Key: k\r\n": "refused"} {
		run := func() bool { // false: the record was locked for longer than the server waits, so nothing was recorded
			base, endpoint := jsonrpcServer(t, true)
			path := filepath.Join(testdir.Dir(t), "record.db")
			record, err := store.Open(t.Context(), path)
			require.NoError(t, err)
			defer func() { _ = record.Close() }()
			server := &RESTServer{Dispatcher: base.Dispatcher, Record: record, Drain: base.Drain, Input: base.Input, Retention: time.Minute, Node: "n0", Log: base.Log}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			require.NoError(t, server.Start(ctx))
			l := newListener(t, 4, server.Serve)
			db, err := sql.Open("sqlite", "file:"+path+"?_pragma=busy_timeout(5000)")
			require.NoError(t, err)
			defer func() { _ = db.Close() }()
			locker, err := db.Conn(t.Context())
			require.NoError(t, err)
			_, err = locker.ExecContext(t.Context(), "BEGIN IMMEDIATE")
			require.NoError(t, err)
			client, conn := transporttest.ConnPair(t)
			l.ServeConn(conn)
			transporttest.Write(t, client, "POST /v1/statement HTTP/1.1\r\nHost: a\r\nX-Trino-User: kiosk\r\nX-Trino-Source: look\r\n"+key+"Content-Length: 1\r\n\r\nx")
			require.Eventually(t, func() bool { return server.Live() == 1 }, transporttest.WaitTimeout, 100*time.Microsecond, "the server waits for the record")
			require.NoError(t, client.Close())
			require.Eventually(t, func() bool { return netconn.PeerClosed(conn) }, transporttest.WaitTimeout, 100*time.Microsecond)
			_, err = locker.ExecContext(t.Context(), "COMMIT")
			require.NoError(t, err)
			require.Eventually(t, func() bool { return server.Live() == 0 }, transporttest.WaitTimeout, time.Millisecond)
			base.Dispatcher.DescribeEndpoints() // returns once the dispatcher has handled everything submitted before
			require.Empty(t, endpoint.Runs)
			var state string
			err = locker.QueryRowContext(t.Context(), "SELECT state FROM query").Scan(&state)
			if errors.Is(err, sql.ErrNoRows) {
				return false
			}
			require.NoError(t, err)
			require.Equal(t, wantState, state)
			return true
		}
		recorded := false
		for n := 0; n < 20 && !recorded; n++ {
			recorded = run()
		}
		require.True(t, recorded)
	}
}

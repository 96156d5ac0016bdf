package clients

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/golden"
	"aniseloft/internal/protocol/admin"
	"aniseloft/internal/routing"
	"aniseloft/internal/store"
	"aniseloft/internal/testdir"
	"aniseloft/internal/transport/transporttest"
)

// The golden files of these tests hold every byte that the servers read and write. To rewrite them:
// go test ./internal/transport/clients -run WireBytes -update

// Covers each kind of answer of the JSON-RPC server, those of the dispatcher and those of the server itself.
func TestJSONRPCServerWireBytes(t *testing.T) {
	base, endpoint := jsonrpcServer(t, true)
	admitted := true
	base.Drain.Admit = func(time.Time, time.Duration) bool { return admitted }
	l := newListener(t, 4, base.Serve)
	client, server := transporttest.ConnPair(t)
	l.ServeConn(server)
	r, out := bufio.NewReader(client), &transporttest.Transcript{}
	request := func(id int, extra string) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look","params":{"call":"%016x","ttl":9000,"work":5,"ram":0,"doc":"eA=="%s}}`+"\n", id, id, extra)
	}
	send := func(message string) { out.Add(">", message); transporttest.Write(t, client, message) }
	receive := func() {
		line, err := r.ReadString('\n')
		require.NoError(t, err)
		out.Add("<", line)
	}
	send(`{"jsonrpc":"2.0","id":1,"method":"alive"}` + "\n")
	receive()
	send(request(2, ""))
	transporttest.Receive(t, endpoint.Runs) <- transporttest.Succeeded
	receive()
	send(request(3, ""))
	transporttest.Receive(t, endpoint.Runs) <- routing.Result{Outcome: decide.OutcomeError, Reason: "spoilt"}
	receive()
	send(`{"jsonrpc":"2.0","id":4,"method":"none","params":{"call":"0000000000000004","ttl":9000,"work":5,"ram":0,"doc":"eA=="}}` + "\n")
	receive()
	send(`{"jsonrpc":"2.0","id":5,"method":"look","params":{"call":"0000000000000005","ttl":900000,"work":5,"ram":0,"doc":"eA=="}}` + "\n")
	receive()
	send("no message\n")
	receive()
	send(request(6, ""))
	end := transporttest.Receive(t, endpoint.Runs)
	send(request(6, ""))
	receive()
	close(end)
	admitted = false
	send(request(7, ""))
	receive()
	admitted = true
	for id := 100; id < 100+maxOpenPerConnection; id++ {
		transporttest.Write(t, client, request(id, ""))
	}
	send(request(8, ""))
	receive()
	golden.Equal(t, "testdata/jsonrpc-server.txt", []byte(out.String()))
}

// Covers the answers of the REST server: those from the record, from the dispatcher and of the server itself.
func TestRESTServerWireBytes(t *testing.T) {
	base, endpoint := jsonrpcServer(t, true)
	record, err := store.Open(t.Context(), filepath.Join(testdir.Dir(t), "record.db"))
	require.NoError(t, err)
	defer func() { _ = record.Close() }()
	admitted := true
	restServer := &RESTServer{Dispatcher: base.Dispatcher, Record: record, Input: base.Input, Retention: time.Minute, Node: "n0", Log: base.Log,
		Drain: DrainPolicy{Ready: base.Drain.Ready, Admit: func(time.Time, time.Duration) bool { return admitted }}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	require.NoError(t, restServer.Start(ctx))
	l := newListener(t, 4, restServer.Serve)
	client, server := transporttest.ConnPair(t)
	l.ServeConn(server)
	r := bufio.NewReader(client)
	out := &transporttest.Transcript{Patterns: map[*regexp.Regexp]string{regexp.MustCompile("[0-9a-f]{24}"): "(token)"}}
	nextURI := regexp.MustCompile(`"nextUri":"http://a([^"]*)"`)
	var nextPath string // path of the latest nextUri
	exchange := func(request string, meanwhile func()) {
		out.Add(">", request)
		transporttest.Write(t, client, request)
		meanwhile()
		var rawAnswer bytes.Buffer
		answer, err := http.ReadResponse(bufio.NewReader(io.TeeReader(&transporttest.ByteReader{From: r}, &rawAnswer)), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		out.Add("<", rawAnswer.String())
		if m := nextURI.FindStringSubmatch(rawAnswer.String()); m != nil {
			nextPath = m[1]
		}
	}
	nothing := func() {}
	statement := func(source, key, body string) string {
		return "POST /v1/statement HTTP/1.1\r\nHost: a\r\nX-Trino-User: kiosk\r\nX-Trino-Source: " + source + "\r\n" + key +
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }
	exchange(get("/v1/info"), nothing)
	exchange(get("/nowhere"), nothing)
	rows := strings.Repeat("alpha\tbeta\tgamma\n", pageSize/17+10) // two pages
	exchange(statement("look", "Idempotency-Key: k\r\n", "x"), func() {
		transporttest.Receive(t, endpoint.Runs) <- routing.Result{Outcome: decide.OutcomeSucceeded, Body: []byte(rows)}
	})
	exchange(get(nextPath), nothing)
	lastPath := nextPath
	exchange(get(lastPath[:len(lastPath)-1]+"7"), nothing)
	exchange(statement("look", "Idempotency-Key: k\r\n", "other"), nothing)
	exchange("DELETE "+lastPath+" HTTP/1.1\r\nHost: a\r\n\r\n", nothing)
	exchange(get("/v1/statement/executing/none/none/0"), nothing)
	exchange(statement("none", "", "x"), nothing)
	exchange(statement("look", "X-Aniseloft-Work-Ms: 900000\r\n", "x"), nothing)
	exchange(statement("look", "", "x"), func() {
		transporttest.Receive(t, endpoint.Runs) <- routing.Result{Outcome: decide.OutcomeError, Reason: "spoilt"}
	})
	admitted = false
	exchange(statement("look", "", "x"), nothing)
	admitted = true
	var run chan routing.Result
	exchange(statement("look", "", "x"), func() { run = transporttest.Receive(t, endpoint.Runs) })
	exchange("DELETE "+nextPath+" HTTP/1.1\r\nHost: a\r\n\r\n", nothing)
	exchange(get(nextPath), nothing)
	close(run)
	golden.Equal(t, "testdata/rest-server.txt", []byte(out.String()))
}

// Covers the answers of the admin server to valid calls and to lines that are not valid calls.
func TestAdminServerWireBytes(t *testing.T) {
	a := &AdminServer{Execute: func(c admin.Command) []byte { return admin.Ack("did " + c.String()) }, Log: slog.New(slog.DiscardHandler)}
	out := &transporttest.Transcript{}
	for _, line := range []string{"STATUS\n", "SUSPEND east-1\n", "RESTORE east-1\n", "PAUSE\n", "RESUME\n", "SUSPEND\n", "none\n", "STATU", "\n"} {
		l := newListener(t, 4, a.Serve)
		client, server := transporttest.ConnPair(t)
		l.ServeConn(server)
		out.Add(">", line)
		transporttest.Write(t, client, line)
		require.NoError(t, client.CloseWrite())
		answer, err := io.ReadAll(client)
		require.NoError(t, err)
		out.Add("<", string(answer))
	}
	golden.Equal(t, "testdata/admin-server.txt", []byte(out.String()))
}

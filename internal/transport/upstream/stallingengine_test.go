package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// queryScript answers one query. awaitCall reads a further call on the query's connection.
type queryScript func(call string, answer func(message string), awaitCall func())

// stallingEngine starts an engine that answers queries by a script. It sends its last answer to the query "first" once more,
// as if to a further call, but stalls before that until another query has arrived on any connection.
func stallingEngine(t *testing.T, script queryScript) (addr string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &stallingServer{script: script, otherQueryArrived: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return l.Addr().String()
}

type stallingServer struct {
	script            queryScript
	noteOtherQuery    sync.Once
	otherQueryArrived chan struct{} // closed once a query other than "first" has arrived
}

func (e *stallingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	awaitCall := func() { _, _ = readCall(r) }
	var lastAnswer string
	answer := func(message string) {
		lastAnswer = message
		_, _ = io.WriteString(c, message)
	}
	for {
		call, err := readCall(r)
		if err != nil {
			return
		}
		if call != "first" {
			e.reportOtherQuery()
		}
		e.script(call, answer, awaitCall)
		if call == "first" {
			e.stall(r)
			answer(lastAnswer)
			time.Sleep(time.Millisecond) // lets it arrive before the answer to a query on the same connection
		}
	}
}

func (e *stallingServer) reportOtherQuery() {
	e.noteOtherQuery.Do(func() { close(e.otherQueryArrived) })
}

// stall waits until another query has arrived on any connection, and until the next call on this one has arrived or it has ended.
func (e *stallingServer) stall(r *bufio.Reader) {
	if _, err := r.Peek(1); err == nil {
		e.reportOtherQuery()
	}
	<-e.otherQueryArrived
}

// readCall reads one call, and returns the id of the query that it concerns.
func readCall(r *bufio.Reader) (call string, err error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if request.Method == "POST" {
		return request.Header.Get("Request-Id") + request.Header.Get("X-Trino-Trace-Token"), nil
	}
	return strings.Split(request.URL.Path, "/")[2], nil
}

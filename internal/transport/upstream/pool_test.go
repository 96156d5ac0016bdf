package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/transporttest"
)

// Guards against taking a duplicate answer for the result of the next query: it arrives some milliseconds late, when the
// connection could be in use for that query already.
func TestLateDuplicateAnswerIsNoResult(t *testing.T) {
	for tries := 1; !lateDuplicateAnswer(t); tries++ {
		require.Less(t, tries, 50, "each try was stalled for minIdle or longer")
	}
}

// lateDuplicateAnswer runs the case once. It returns false, without a verdict, where the machine stalled for minIdleTime or
// longer.
func lateDuplicateAnswer(t *testing.T) (conclusive bool) {
	addr := duplicatingEngine(t)
	client := newTestClient(addr)
	ctx, cancel := context.WithTimeout(t.Context(), transporttest.WaitTimeout)
	defer cancel()
	require.Equal(t, "first\tb\tc\n", string(client.Run(ctx, attempt("first")).Body))
	idleSince := client.conns.idleConns[0].idleSince  // a copy of the value, which a call on the connection changes
	for time.Since(idleSince) < 25*time.Millisecond { // the duplicate has not been sent yet
		time.Sleep(time.Millisecond)
	}
	secondResult := client.Run(ctx, attempt("second"))
	if time.Since(idleSince) >= 50*time.Millisecond {
		return false
	}
	require.Equal(t, "second\tb\tc\n", string(secondResult.Body))
	require.Eventually(t, func() bool { return netconn.HasUnread(client.conns.idleConns[0].Raw()) }, transporttest.WaitTimeout, time.Millisecond, "the duplicate")
	require.Equal(t, "third\tb\tc\n", string(client.Run(ctx, attempt("third")).Body))
	return true
}

// duplicatingEngine is an engine that answers the query "first" twice, the second time after it has received the query
// "second" on any connection.
func duplicatingEngine(t *testing.T) (addr string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	secondReceived := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerTwice(c, secondReceived)
		}
	}()
	return l.Addr().String()
}

func answerTwice(c net.Conn, secondReceived chan struct{}) {
	defer func() { _ = c.Close() }()
	oneRowAnswer := func(call string) string {
		body := call + "\tb\tc\n"
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		call := req.Header.Get("Request-Id")
		if call == "second" {
			close(secondReceived)
			time.Sleep(time.Millisecond) // lets the duplicate arrive before this answer, if both use the same connection
		}
		_, _ = io.WriteString(c, oneRowAnswer(call))
		if call == "first" {
			go func() { <-secondReceived; _, _ = io.WriteString(c, oneRowAnswer(call)) }()
		}
	}
}

// Where one endpoint reuses an idle connection while another takes its descriptor, exactly one of them gets it, and the number
// of open connections stays right. The test forces both orders, and runs them concurrently many times.
func TestConnectionIsReusedOrStolenNeverBoth(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { // an engine that sends nothing and keeps connections open
		var openConns []net.Conn
		for {
			c, err := l.Accept()
			if err != nil {
				for _, c := range openConns {
					_ = c.Close()
				}
				return
			}
			openConns = append(openConns, c)
		}
	}()
	for raceName, runRace := range map[string]func(own, other *endpointPool) (reusedConn *pooledConn, stolen bool){
		"reused first": func(own, other *endpointPool) (*pooledConn, bool) {
			reusedConn := own.reuse()
			return reusedConn, other.reserve()
		},
		"stolen first": func(own, other *endpointPool) (*pooledConn, bool) {
			stolen := other.reserve()
			return own.reuse(), stolen
		},
		"concurrently": func(own, other *endpointPool) (*pooledConn, bool) {
			start, stolen := make(chan struct{}), make(chan bool, 1)
			go func() { <-start; stolen <- other.reserve() }()
			close(start)
			reusedConn := own.reuse()
			return reusedConn, transporttest.Receive(t, stolen)
		},
	} {
		for range 200 {
			pool := NewPool(1, transporttest.WaitTimeout, transporttest.WaitTimeout, slog.New(slog.DiscardHandler))
			own, other := pool.endpoint("a", l.Addr().String()), pool.endpoint("b", l.Addr().String())
			c, err := own.dial(t.Context())
			require.NoError(t, err)
			own.put(c)
			c.idleSince = time.Now().Add(-2 * minIdleTime) // long enough to be reused
			reusedConn, stolen := runRace(own, other)
			require.NotEqual(t, stolen, reusedConn != nil, raceName)
			if raceName != "concurrently" {
				require.Equal(t, raceName == "stolen first", stolen, raceName)
			}
			if stolen {
				other.release()
			} else {
				_, err := reusedConn.Raw().Write([]byte("x"))
				require.NoError(t, err, "the connection is open")
				own.drop(reusedConn)
			}
			pool.mu.Lock()
			require.Zero(t, pool.openCount)
			pool.mu.Unlock()
		}
	}
}

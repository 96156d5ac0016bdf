package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/transport/transporttest"
)

// scriptedService starts a discovery service on raw sockets and returns its address. Each connection is served by the next
// script, and further connections by the last one. A script is called for each poll on its connection, with the position
// from which it polls.
func scriptedService(t *testing.T, scripts ...func(c net.Conn, tail int)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			script := scripts[min(n, len(scripts)-1)]
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					tail := 0
					_, _ = fmt.Sscan(req.URL.Query().Get("tail"), &tail)
					script(c, tail)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func pollAnswer(pos int, entries ...string) string {
	body := fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, pos, strings.Join(entries, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func entry(pos int, full bool, server string) string {
	return fmt.Sprintf(`{"pos":%d,"hosts":{"version":1,"full":%t,"servers":[%s]}}`, pos, full, server)
}

const (
	oneActive  = `{"id":"one","addr":"127.0.0.1:1","zone":"a","kind":"k","cell":0,"state":"active","weight":1,"started_ms":0}`
	twoActive  = `{"id":"two","addr":"127.0.0.1:2","zone":"a","kind":"k","cell":0,"state":"active","weight":1,"started_ms":0}`
	oneLeaving = `{"id":"one","addr":"127.0.0.1:1","zone":"a","kind":"k","cell":0,"state":"leaving","weight":1,"started_ms":0}`
)

// After a missing, partial, slow or invalid answer, the next connection must poll from the same position and receive all
// events: a partial answer changes nothing.
func TestBrokenWatchResumesAtPosition(t *testing.T) {
	answer := pollAnswer(3, entry(2, false, oneLeaving), entry(3, false, twoActive))
	hold := func(net.Conn, int) { <-t.Context().Done() }
	for name, failPoll := range map[string]func(c net.Conn){
		"silent":         func(c net.Conn) { hold(c, 0) },
		"ends mid-list":  func(c net.Conn) { _, _ = io.WriteString(c, answer[:len(answer)-40]); _ = c.Close() },
		"stops mid-list": func(c net.Conn) { _, _ = io.WriteString(c, answer[:len(answer)-40]); hold(c, 0) },
		"reset mid-list": func(c net.Conn) {
			_, _ = io.WriteString(c, answer[:80])
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		"a byte at a time": func(c net.Conn) {
			for _, b := range []byte(answer[:200]) {
				_, _ = c.Write([]byte{b})
			}
			hold(c, 0)
		},
		"garbage":    func(c net.Conn) { _, _ = io.WriteString(c, pollAnswer(3, `{"pos":2,"hosts":`)) },
		"empty body": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dispatcher, _ := transporttest.Dispatcher(t, false)
			tails := make(chan int, 64)
			listSent := make(chan struct{})
			addr := scriptedService(t, func(c net.Conn, tail int) {
				if tail == 0 {
					_, _ = io.WriteString(c, pollAnswer(1, entry(1, true, oneActive)))
					close(listSent)
					return
				}
				failPoll(c)
				_ = c.Close()
			}, func(c net.Conn, tail int) {
				tails <- tail
				if tail == 1 {
					_, _ = io.WriteString(c, answer)
				} else {
					hold(c, tail)
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); NewWatcher(addr, dispatcher, slog.New(slog.DiscardHandler)).Run(ctx) }()
			defer func() { cancel(); <-ended }()
			transporttest.Receive(t, listSent)
			require.Equal(t, 1, transporttest.Receive(t, tails), "the position after the last complete answer")
			require.Eventually(t, func() bool {
				b := dispatcher.DescribeEndpoints()
				return strings.Contains(b, "name=one id=") && strings.Contains(b, "addr=127.0.0.1:1 ready=false") && strings.Contains(b, "addr=127.0.0.1:2 ready=true")
			}, transporttest.WaitTimeout, time.Millisecond)
		})
	}
}

// Guards against repeating a poll forever: a list that arrived slowly but steadily was cut off at the end of each poll's time
// limit.
func TestSlowListIsReceivedEventually(t *testing.T) {
	dispatcher, _ := transporttest.Dispatcher(t, false)
	addr := scriptedService(t, func(c net.Conn, tail int) {
		if tail > 0 {
			<-t.Context().Done()
			return
		}
		list := pollAnswer(1, entry(1, true, oneActive))
		// The list is sent in 30 pieces and takes longer than the time limit of a poll, which is pollWaitMS plus answerSlack.
		pause := (pollWaitMS*time.Millisecond + 2*answerSlack) / 30
		for n := 30; n > 0 && len(list) > 0; n-- {
			size := (len(list) + n - 1) / n
			if _, err := io.WriteString(c, list[:size]); err != nil {
				return
			}
			list = list[size:]
			time.Sleep(pause)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); NewWatcher(addr, dispatcher, slog.New(slog.DiscardHandler)).Run(ctx) }()
	defer func() { cancel(); <-ended }()
	require.Eventually(t, func() bool { return strings.Contains(dispatcher.DescribeEndpoints(), "name=one id=") }, transporttest.WaitTimeout, time.Millisecond)
}

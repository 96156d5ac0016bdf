package main

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendHalfMessages opens count connections that each send the beginning of a message and then size bytes of it, in
// pieces over one second, and stop before its end. It returns once all have sent what they can.
func sendHalfMessages(t *testing.T, addr, beginning string, count, size int) {
	const pieces = 10
	var all sync.WaitGroup
	for range count {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		all.Go(func() {
			_, err := io.WriteString(c, beginning)
			for n := 0; n < pieces && err == nil; n++ {
				time.Sleep(time.Second / pieces)
				_, err = io.WriteString(c, strings.Repeat("c2Vs", size/pieces/4))
			}
		})
	}
	all.Wait()
}

// Guards against closing a JSON-RPC client's connection, and with it its open requests, because others have used up the
// memory for incomplete messages. A message above the equal quota of that memory is served or rejected.
func TestHalfMessagesOfOthersCloseNoConnection(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startWithSockets(t, j, 512, false)
	sound := dialClient(t, p.clientAddr)
	sound.send(queryLine(1, "ridership-report", "stay", 9000))
	eventually(t, func() bool { return e.count(&e.attempts, "stay") == 1 })
	crowdEnded := make(chan struct{})
	go func() {
		defer close(crowdEnded)
		// 7 MB in all, where the memory for incomplete messages is 2 MB.
		sendHalfMessages(t, p.clientAddr, `{"jsonrpc":"2.0","id":1,"method":"trip-lookup","params":{"doc":"`, 120, 60_000)
	}()
	for id, hasEnded := 2, false; !hasEnded; id++ {
		size, wanted := 3000, `"result"`
		if id%5 == 0 {
			size, wanted = 150_000, `("result"|"error":{"code":-32000,)`
		}
		line := queryLine(id, "trip-lookup", fmt.Sprintf("select '%s' -- %d", strings.Repeat("x", size), id), 9000) + "\n"
		for _, part := range []string{line[:len(line)/2], line[len(line)/2:]} {
			_, err := io.WriteString(sound, part)
			require.NoError(t, err)
			time.Sleep(5 * time.Millisecond)
		}
		require.Regexp(t, fmt.Sprintf(`"id":%d,%s`, id, wanted), sound.readLine())
		select {
		case <-crowdEnded:
			hasEnded = true
		default:
		}
	}
	close(e.release)
	require.Contains(t, sound.readLine(), `"id":1,"result"`)
}

// Guards against the same on the REST front.
func TestHalfRequestsOfOthersCloseNoRESTConnection(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startWithSockets(t, j, 512, true)
	crowdEnded := make(chan struct{})
	go func() {
		defer close(crowdEnded)
		beginning := "POST /v1/statement HTTP/1.1\r\nHost: a\r\nX-Trino-User: u\r\nX-Trino-Source: trip-lookup\r\nContent-Length: 190000\r\n\r\n"
		// 5.4 MB in all, where the memory for incomplete messages is 2 MB.
		sendHalfMessages(t, p.restAddr, beginning, 36, 150_000)
	}()
	client := &http.Client{Timeout: maxWait, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n, hasEnded := 0, false; !hasEnded; n++ {
		body := fmt.Sprintf("select '%s' -- %d", strings.Repeat("x", 20_000), n)
		request, err := http.NewRequest(http.MethodPost, "http://"+p.restAddr+"/v1/statement", io.NopCloser(&inTwoParts{text: body, pause: 5 * time.Millisecond}))
		require.NoError(t, err)
		request.ContentLength = int64(len(body))
		request.Header.Set("X-Trino-User", "u")
		request.Header.Set("X-Trino-Source", "trip-lookup")
		request.Header.Set("X-Aniseloft-Work-Ms", "500")
		request.Header.Set("X-Aniseloft-Memory-Mb", "4")
		answer, err := client.Do(request)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		select {
		case <-crowdEnded:
			hasEnded = true
		default:
		}
	}
}

// sendLargeRequestsAndGo plays count clients that connect, send several valid requests with large statements at once,
// go after 100 ms and come back, until end.
func sendLargeRequestsAndGo(addr string, count int, end time.Time) {
	const requests = 4
	doc := base64.StdEncoding.EncodeToString([]byte("select '" + strings.Repeat("x", 175_000) + "'"))
	var lastCall atomic.Int64
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			for time.Now().Before(end) {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					continue
				}
				go func() {
					for id := range requests {
						line := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"trip-lookup","params":{"call":"%016x","ttl":2500,"work":500,"ram":4,"doc":"%s"}}`+"\n",
							id+1, lastCall.Add(1), doc)
						if _, err := io.WriteString(c, line); err != nil {
							return
						}
					}
				}()
				time.Sleep(100 * time.Millisecond)
				_ = c.Close()
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// Guards against holding statements that are not counted yet, while they wait for the dispatcher: clients that send large
// valid requests and go took the process past its memory limit. Others are answered in time meanwhile, though
// large messages use up the processor.
func TestLargeRequestsOfClientsThatGoStayWithinTheMemoryLimit(t *testing.T) {
	t.Parallel()
	if len(buildFlags) > 0 {
		t.Skip("the race detector needs many times the program's own memory")
	}
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startWithSockets(t, j, 512, false)
	sound := dialClient(t, p.clientAddr)
	end := time.Now().Add(5 * time.Second)
	crowdEnded := make(chan struct{})
	go func() {
		defer close(crowdEnded)
		sendLargeRequestsAndGo(p.clientAddr, 100, end)
	}()
	const timeout = 2500 * time.Millisecond
	for id := 1; time.Now().Before(end); id++ {
		sentAt := time.Now()
		require.Contains(t, sound.call(queryLine(id, "trip-lookup", fmt.Sprintf("select a -- %d", id), int(timeout.Milliseconds()))), fmt.Sprintf(`"id":%d,`, id))
		require.Less(t, time.Since(sentAt), timeout)
		time.Sleep(20 * time.Millisecond)
	}
	<-crowdEnded
	require.Less(t, p.peakMemoryMB(), 32, "the limit is 32 MB")
}

// inTwoParts is a body of which the second half comes after a pause.
type inTwoParts struct {
	text  string
	pause time.Duration
	sent  int
}

func (r *inTwoParts) Read(b []byte) (int, error) {
	switch {
	case r.sent == len(r.text):
		return 0, io.EOF
	case r.sent > 0:
		time.Sleep(r.pause)
	}
	end := len(r.text) / 2
	if r.sent >= end {
		end = len(r.text)
	}
	n := copy(b, r.text[r.sent:end])
	r.sent += n
	return n, nil
}

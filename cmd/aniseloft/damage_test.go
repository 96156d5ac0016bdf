package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// writePage sends a page or, on the first request for it, the damaged answer that its statement names.
func (e *fakeEngine) writePage(w http.ResponseWriter, s, id string, page int, body string) {
	var kind string
	if i := strings.Index(s, "spoil "); i >= 0 {
		_, _ = fmt.Sscan(s[i+6:], &kind)
	}
	repeated := e.requestedBefore(id + fmt.Sprint(page))
	if kind == "interim" {
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusEarlyHints)
	}
	if kind == "" || kind == "interim" || repeated {
		_, _ = io.WriteString(w, body)
		return
	}
	head := func(length int) string {
		var b strings.Builder
		_ = w.Header().Write(&b)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", b.String(), length)
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	e.mu.Lock()
	e.hijacked = append(e.hijacked, c)
	e.mu.Unlock()
	writeEndlessly := func(start, chunk string) {
		_, err := io.WriteString(c, start)
		for n := 0; err == nil && n < 4<<20; n += len(chunk) {
			_, err = io.WriteString(c, chunk)
		}
	}
	good, half := head(len(body))+body, body[:len(body)/2]
	_, rest, _ := strings.Cut(body, "\n")
	switch kind {
	case "copy":
		_, _ = io.WriteString(c, good+good)
	case "latecopy":
		_, _ = io.WriteString(c, good)
		time.Sleep(8 * time.Millisecond) // the client has requested the next page by then
		_, _ = io.WriteString(c, good)
	case "noise":
		_, _ = io.WriteString(c, good+"\x00\x17 noise")
	case "shorter":
		_, _ = io.WriteString(c, head(len(half))+body)
	case "boundary":
		_, _ = io.WriteString(c, head(len(body)-len(rest))+body)
	case "cut":
		_, _ = io.WriteString(c, head(len(body))+half)
		_ = c.Close()
	case "stopped":
		_, _ = io.WriteString(c, head(len(body))+half)
	case "replaced":
		_, _ = io.WriteString(c, head(12)+"\x01\xff\x02 noise\n\n")
	case "head":
		_, _ = io.WriteString(c, "HTP 2oo \x01\r\n:\r\n\r\n"+body)
	case "misnumbered":
		w.Header().Set("X-Batch", "77")
		w.Header().Set("X-Batches", "many")
		_, _ = io.WriteString(c, head(len(body))+body)
	case "endless":
		writeEndlessly("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n")
	case "huge":
		writeEndlessly(head(3000000000), body)
	case "reset":
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

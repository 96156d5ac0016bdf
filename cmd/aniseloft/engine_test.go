package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeEngine stands in for an engine of either protocol. Words in a statement decide how the engine answers it: "fail",
// "full", "stay" (it runs until it is cancelled or release is closed), "rows N" (N pages of two rows); otherwise one row.
// With "spoil KIND" each page is damaged in that way on its first request. With "unread" the first connection that brings
// a call to any engine is reset before the call is accepted. With "odd" the notes and load reports are invalid.
type fakeEngine struct {
	*httptest.Server
	mu                              sync.Mutex
	attempts, cancelled, maxRunning map[string]int // POSTs, cancellations, and the most running at a time, by statement
	running                         map[string]int
	release                         chan struct{} // closed to let statements with "stay" finish
	headers                         []http.Header
	requested                       map[string]bool // pages that have been requested, by call and number
	hijacked                        []net.Conn      // connections taken over from the server for damaged answers
}

// newFakeEngine starts an engine that speaks the paged REST protocol if speaksREST is set, else the protocol of servePaged.
func newFakeEngine(t *testing.T, speaksREST bool) *fakeEngine {
	e := &fakeEngine{attempts: map[string]int{}, cancelled: map[string]int{}, maxRunning: map[string]int{}, running: map[string]int{}, requested: map[string]bool{}, release: make(chan struct{})}
	handler := e.servePaged
	if speaksREST {
		handler = e.serveREST
	}
	e.Server = httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(func() {
		for _, c := range e.hijacked {
			_ = c.Close()
		}
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func (e *fakeEngine) count(countsByStatement *map[string]int, statement string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return (*countsByStatement)[statement]
}

// requestedBefore reports whether a page has been requested before, and notes the request.
func (e *fakeEngine) requestedBefore(pageKey string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.requested[pageKey]
	e.requested[pageKey] = true
	return before
}

func (e *fakeEngine) countStart(r *http.Request, statement string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[statement]++
	e.running[statement]++
	e.maxRunning[statement] = max(e.maxRunning[statement], e.running[statement])
	e.headers = append(e.headers, r.Header.Clone())
}

func (e *fakeEngine) countStop(statement string) {
	e.mu.Lock()
	e.running[statement]--
	e.mu.Unlock()
}

// pagesOf returns the pages of a statement's result as text.
func pagesOf(statement string) []string {
	var pageCount int
	if i := strings.Index(statement, "rows "); i < 0 {
		return []string{"a\tb\tc\n"}
	} else if _, err := fmt.Sscanf(statement[i:], "rows %d", &pageCount); err != nil {
		return nil
	}
	var pages []string
	for i := range pageCount {
		pages = append(pages, fmt.Sprintf("%d\t%s\tz\n%d\ty\tz\n", i, strings.Repeat("x", 4000), i))
	}
	return pages
}

func (e *fakeEngine) stays(statement string) bool {
	if !strings.Contains(statement, "stay") {
		return false
	}
	select {
	case <-e.release:
		return false
	case <-time.After(50 * time.Millisecond):
		return true
	}
}

var (
	statementByID sync.Map // statements that an engine has accepted, by request id
	resetByID     sync.Map // statements whose first connection was reset, by request id
)

func firstConnection(id string) bool { _, before := resetByID.LoadOrStore(id, true); return !before }

func (e *fakeEngine) servePaged(w http.ResponseWriter, r *http.Request) {
	pathParts := strings.Split(r.URL.Path, "/")
	var id, statement string
	switch {
	case r.URL.Path == "/-/gauges":
		w.Header().Set("Load-Report", "inflight:0;util:0.1;x1:0;x0:0")
		return
	case r.Method == "POST":
		body, _ := io.ReadAll(r.Body)
		id, statement = r.Header.Get("Request-Id"), string(body)
		if strings.Contains(statement, "unread") && firstConnection(id) {
			c, _, _ := w.(http.Hijacker).Hijack()
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		e.countStart(r, statement)
		statementByID.Store(id, statement)
	default:
		id = pathParts[2]
		v, ok := statementByID.Load(id)
		if !ok {
			w.WriteHeader(500)
			return
		}
		statement = v.(string)
	}
	page := 0
	if r.Method == "GET" {
		_, _ = fmt.Sscan(pathParts[3], &page)
	}
	switch {
	case r.Method == "DELETE":
		e.mu.Lock()
		e.cancelled[statement]++
		e.mu.Unlock()
		e.countStop(statement)
		w.WriteHeader(204)
	case r.Method == "PUT":
		w.WriteHeader(204)
	case strings.Contains(statement, "fail"):
		e.countStop(statement)
		w.WriteHeader(500)
	case strings.Contains(statement, "full"):
		e.countStop(statement)
		w.Header().Set("Never-Ran", "1")
		w.WriteHeader(503)
	case e.stays(statement):
		if strings.Contains(statement, "odd") {
			w.Header().Set("Outcome", "singing")
		}
		w.WriteHeader(202)
	default:
		pages := pagesOf(statement)
		if page == 0 {
			e.countStop(statement)
			w.Header().Set("X-Batches", fmt.Sprint(len(pages)))
			w.Header().Set("X-Spent", "500")
			w.Header().Set("X-Wanted", "4")
			if strings.Contains(statement, "odd") {
				w.Header().Set("Load-Report", "inflight:-3;x0:lots")
			}
		} else {
			w.Header().Set("X-Batch", fmt.Sprint(page))
		}
		e.writePage(w, statement, id, page, pages[page])
	}
}

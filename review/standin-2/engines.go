package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pollHold      = 250 * time.Millisecond // the longest time that an engine holds a poll
	orphanTimeout = 2 * time.Second        // a query that nobody asks for this long ends
)

// fleet is what the engines of a deployment share: the keys of loads, by which they drop repeats, and what ran.
type fleet struct {
	run         *run
	dedupWindow time.Duration
	rowsPerPage int

	mu      sync.Mutex // guards the fields below
	byKey   map[string]*execution
	byCall  map[string]*execution
	applied map[string]int // completed executions by statement
}

// execution is one run of a statement at an engine.
type execution struct {
	statement, key  string
	startedAt       time.Time
	askedAt         time.Time
	work            time.Duration
	rows            int
	rowsPerPage     int
	applied, ended  bool
	appliedOrGaveUp chan struct{} // closed at its end
}

func newFleet(r *run, dedupWindow time.Duration) *fleet {
	return &fleet{run: r, dedupWindow: dedupWindow, rowsPerPage: platformRowsPerPage, byKey: map[string]*execution{}, byCall: map[string]*execution{}, applied: map[string]int{}}
}

// figure returns the number behind a word of a statement, as in "work 2000".
func figure(statement, word string, otherwise int) int {
	fields := strings.Fields(statement)
	for i := 0; i+1 < len(fields); i++ {
		if n, err := strconv.Atoi(fields[i+1]); err == nil && fields[i] == word {
			return n
		}
	}
	return otherwise
}

// start starts a statement for a call, or drops it as a repeat of the execution with its key.
func (f *fleet) start(engine, call, key, statement string) *execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if first := f.byKey[key]; key != "" && first != nil && now.Sub(first.startedAt) < f.dedupWindow {
		f.run.note("%s drops call %s: a repeat of key %s within the window", engine, call, key)
		f.byCall[call] = first
		first.askedAt = now
		return first
	}
	x := &execution{statement: statement, key: key, startedAt: now, askedAt: now, appliedOrGaveUp: make(chan struct{}),
		work: time.Duration(figure(statement, "work", 50)) * time.Millisecond, rows: figure(statement, "rows", 3), rowsPerPage: f.rowsPerPage}
	f.byCall[call] = x
	if key != "" {
		f.byKey[key] = x
	}
	f.run.note("%s runs call %s, key %q: %.100s", engine, call, key, statement)
	go f.execute(engine, call, x)
	return x
}

// execute completes an execution after its work, unless it is deleted or nobody asks for it.
func (f *fleet) execute(engine, call string, x *execution) {
	for {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		switch {
		case x.ended:
			f.mu.Unlock()
			return
		case time.Since(x.startedAt) >= x.work:
			x.ended, x.applied = true, true
			f.applied[x.statement]++
			f.run.note("%s has completed call %s; times this statement was applied: %d", engine, call, f.applied[x.statement])
			close(x.appliedOrGaveUp)
			f.mu.Unlock()
			return
		case time.Since(x.askedAt) > orphanTimeout:
			f.run.note("%s gives up call %s: nobody asks for it", engine, call)
			f.abandon(x)
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
	}
}

func (f *fleet) find(call string) *execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.byCall[call]
	if x != nil {
		x.askedAt = time.Now()
	}
	return x
}

// giveUp ends an execution at a client's request; one that is complete stays so.
func (f *fleet) giveUp(engine, call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.byCall[call]; x != nil && !x.ended {
		f.run.note("%s gives up call %s: deleted", engine, call)
		f.abandon(x)
	}
}

// abandon ends an execution that is not complete. Nothing was applied, so its key is free. The caller holds f.mu.
func (f *fleet) abandon(x *execution) {
	x.ended = true
	close(x.appliedOrGaveUp)
	if f.byKey[x.key] == x {
		delete(f.byKey, x.key)
	}
}

func (f *fleet) timesApplied(statement string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[statement]
}

// platformRowsPerPage rows of 49 bytes stay below the 6,000 bytes of a page of the platform's protocol.
const platformRowsPerPage = 90

func (x *execution) pageCount() int { return max(1, (x.rows+x.rowsPerPage-1)/x.rowsPerPage) }

// page returns the rows of a page as text.
func (x *execution) page(n int) string {
	var b strings.Builder
	for i := n * x.rowsPerPage; i < min(x.rows, (n+1)*x.rowsPerPage); i++ {
		_, _ = fmt.Fprintf(&b, "row %06d\t%s\tvalue %s\n", i, "column two", strings.Repeat("x", 20))
	}
	return b.String()
}

// engine is an engine of the platform's protocol.
type engine struct {
	name  string
	fleet *fleet
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	w.Header().Set("Load-Report", "queue:0;inflight:1;x0:0.1;x1:0.1")
	switch {
	case r.URL.Path == "/alive" || r.URL.Path == "/-/gauges":
	case r.Method == http.MethodPost && r.URL.Path == "/data":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.answer(w, e.fleet.start(e.name, r.Header.Get("Request-Id"), r.Header.Get("Once-Key"), string(body)), 0)
	case r.Method == http.MethodGet && len(parts) == 3:
		n, _ := strconv.Atoi(parts[2])
		e.answer(w, e.fleet.find(parts[1]), n)
	case r.Method == http.MethodDelete && len(parts) == 2:
		e.fleet.giveUp(e.name, parts[1])
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut && len(parts) == 2:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *engine) answer(w http.ResponseWriter, x *execution, page int) {
	if x == nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case <-x.appliedOrGaveUp:
	case <-time.After(pollHold):
		w.Header().Set("Outcome", "so_far")
		w.Header().Set("X-Num", fmt.Sprintf("%.3f", min(time.Since(x.startedAt).Seconds()/x.work.Seconds(), 1)))
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if !x.applied || page >= x.pageCount() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if page == 0 {
		w.Header().Set("X-Batches", strconv.Itoa(x.pageCount()))
	} else {
		w.Header().Set("X-Batch", strconv.Itoa(page))
	}
	_, _ = io.WriteString(w, x.page(page))
}

// restEngine is an engine of the paged REST protocol.
type restEngine struct {
	name  string
	fleet *fleet
}

func (e *restEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.URL.Path == "/v1/info":
		_, _ = io.WriteString(w, `{"starting":false,"coordinator":true}`)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/statement":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		call := r.Header.Get("X-Trino-Trace-Token")
		e.fleet.start(e.name, call, r.Header.Get("Idempotency-Key"), string(body))
		_, _ = fmt.Fprintf(w, `{"id":%q,"nextUri":"http://%s/v1/statement/executing/%s/s/0","stats":{"state":"QUEUED"}}`, "q-"+call, r.Host, call)
	case r.Method == http.MethodDelete && len(parts) == 6:
		e.fleet.giveUp(e.name, parts[3])
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet && len(parts) == 6:
		token, _ := strconv.Atoi(parts[5])
		e.answer(w, r.Host, parts[3], token)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer answers a poll. While the query runs, each answer names a new token; tokens from 1000 upward are those of pages.
func (e *restEngine) answer(w http.ResponseWriter, host, call string, token int) {
	const firstPage = 1000
	x := e.fleet.find(call)
	if x == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	next := func(token int) string {
		return fmt.Sprintf(`"nextUri":"http://%s/v1/statement/executing/%s/s/%d",`, host, call, token)
	}
	select {
	case <-x.appliedOrGaveUp:
	case <-time.After(pollHold):
		_, _ = fmt.Fprintf(w, `{"id":%q,%s"stats":{"state":"RUNNING"}}`, "q-"+call, next(token+1))
		return
	}
	if !x.applied {
		_, _ = fmt.Fprintf(w, `{"id":%q,"error":{"message":"canceled","errorName":"USER_CANCELED"},"stats":{"state":"FAILED"}}`, "q-"+call)
		return
	}
	page, nextURI := max(0, token-firstPage), ""
	if page+1 < x.pageCount() {
		nextURI = next(firstPage + page + 1)
	}
	var rows []string
	for _, line := range strings.Split(strings.TrimSuffix(x.page(page), "\n"), "\n") {
		columns := strings.Split(line, "\t")
		rows = append(rows, fmt.Sprintf("[%q,%q,%q]", columns[0], columns[1], columns[2]))
	}
	_, _ = fmt.Fprintf(w, `{"id":%q,%s"columns":[{"name":"a","type":"varchar"},{"name":"b","type":"varchar"},{"name":"c","type":"varchar"}],"data":[%s],"stats":{"state":"RUNNING"}}`,
		"q-"+call, nextURI, strings.Join(rows, ","))
}

// serve serves HTTP at a new address and returns it.
func (r *run) serve(h http.Handler) string {
	l := r.listen()
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// journal is a journal service whose list does not change.
type journal struct{ entry string }

func (j journal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if tail, _ := strconv.Atoi(r.URL.Query().Get("tail")); tail < 1 {
		_, _ = fmt.Fprintf(w, `{"pos":1,"entries":[%s]}`, j.entry)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("max_wait"))
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(min(wait, 5000)) * time.Millisecond):
	}
	_, _ = io.WriteString(w, `{"pos":1,"entries":[]}`)
}

// listEntry returns the first event of the list, with engines of one kind at the addresses.
func listEntry(kind string, addrs ...string) string {
	var servers []string
	for i, a := range addrs {
		servers = append(servers, fmt.Sprintf(`{"id":"s-%08x","addr":%q,"zone":"wien-keller","kind":%q,"cell":0,"state":"active","weight":1,"started_ms":0}`, i+1, a, kind))
	}
	return fmt.Sprintf(`{"pos":1,"hosts":{"version":1,"full":true,"servers":[%s]}}`, strings.Join(servers, ","))
}

// link is a TCP proxy whose network can be cut. What is sent during a cut is lost; the connections of that time are reset
// at its end.
type link struct {
	target string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

func (r *run) newLink(target string) (l *link, addr string) {
	l = &link{target: target, conns: map[net.Conn]bool{}}
	listener := r.listen()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, listener.Addr().String()
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
}

// mend ends the cut and resets all connections that exist.
func (l *link) mend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = false
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(l.conns)
}

func (l *link) cutNow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) carry(client net.Conn) {
	server, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l.mu.Lock()
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	go l.pump(server, client)
	l.pump(client, server)
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

func (l *link) pump(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.cutNow() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !l.cutNow() {
				_ = to.Close()
			}
			return
		}
	}
}

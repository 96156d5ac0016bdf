package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	queueTime   = 100 * time.Millisecond // after which a query is turned away from a full queue
	longPoll    = 250 * time.Millisecond // an engine answers a call for news after this time
	orphanLimit = 2 * time.Second        // a query that nobody asks for ends after this time
	pageLimit   = 6000                   // bytes of a page
)

// engineRun is one query at an engine.
type engineRun struct {
	call      string
	class     string
	statement string
	endsAt    time.Time
	askedAt   time.Time
	pages     []string
	rejected  bool // it never runs: at endsAt it leaves the engine's queue with an error
}

// workload says how an engine runs a statement: for how long, and with what rows.
type workload func(g *engine, call, statement string) (duration time.Duration, rows string)

// engine stands in for an engine of the platform's protocol. It answers the calls of a connection one after the other.
type engine struct {
	*environment
	name     string
	listener net.Listener
	work     workload
	// afterAnswer is called after each answer was written, with the run that it was about (nil for other calls). It may write
	// to the connection, which nothing else does meanwhile.
	afterAnswer func(g *engine, c net.Conn, run *engineRun, status int, answer []byte)
	serveREST   bool // speaks the paged REST protocol instead
	// rejects reports whether the engine turns a query away from its queue, which is full; nil: never. Paged REST only.
	rejects func(call, statement string) bool

	mu         sync.Mutex
	runs       map[string]*engineRun
	made       map[string]string // rows by call
	runCounts  map[string]int    // by call
	stillUntil time.Time         // the engine stands still until then
	conns      map[net.Conn]bool
}

func (e *environment) startEngine(name string, work workload) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &engine{environment: e, name: name, listener: listener, work: work, runs: map[string]*engineRun{}, made: map[string]string{}, runCounts: map[string]int{},
		conns: map[net.Conn]bool{}}
	go g.accept()
	e.onClose(func() {
		_ = listener.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		for c := range g.conns {
			_ = c.Close()
		}
	})
	return g, nil
}

func (g *engine) address() string { return g.listener.Addr().String() }

func (g *engine) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		g.conns[c] = true
		g.mu.Unlock()
		go g.serve(c)
	}
}

// standStill makes the engine neither read nor answer for the given time.
func (g *engine) standStill(d time.Duration) {
	g.mu.Lock()
	g.stillUntil = time.Now().Add(d)
	g.mu.Unlock()
	g.say(g.name, "stands still for %s", d)
}

func (g *engine) awaitMoving() {
	for {
		g.mu.Lock()
		left := time.Until(g.stillUntil)
		g.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (g *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		g.say(g.name, "received on connection %s: %s %s %s", port(c), request.Method, request.URL.Path, request.Header.Get("Request-Id"))
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		g.awaitMoving()
		var run *engineRun
		var status int
		var answer []byte
		if g.serveREST {
			run, status, answer = g.answerREST(request, string(body))
		} else {
			run, status, answer = g.answer(request, string(body))
		}
		g.awaitMoving()
		if _, err := c.Write(answer); err != nil {
			return
		}
		if g.afterAnswer != nil {
			g.afterAnswer(g, c, run, status, answer)
		}
	}
}

// answer carries out one call of the platform's protocol.
func (g *engine) answer(request *http.Request, body string) (run *engineRun, status int, answer []byte) {
	parts := strings.Split(strings.Trim(request.URL.Path, "/"), "/")
	switch {
	case request.URL.Path == "/alive":
		return nil, 200, encode(200, nil, "")
	case request.URL.Path == "/-/gauges":
		return nil, 200, encode(200, []string{"Load-Report: " + g.loadReport()}, "")
	case request.Method == "POST" && request.URL.Path == "/data":
		run = g.begin(request.Header.Get("Request-Id"), request.Header.Get("Kind"), body)
		return g.news(run)
	case len(parts) < 2 || parts[0] != "data":
		return nil, 500, encode(500, nil, "")
	case request.Method == "PUT":
		return nil, 204, encode(204, nil, "")
	case request.Method == "DELETE":
		g.remove(parts[1])
		return nil, 204, encode(204, nil, "")
	}
	run = g.find(parts[1])
	if run == nil || len(parts) != 3 {
		g.say(g.name, "GET %s: not known", request.URL.Path)
		return nil, 500, encode(500, nil, "")
	}
	if parts[2] == "0" {
		return g.news(run)
	}
	var page int
	_, _ = fmt.Sscan(parts[2], &page)
	if page < 1 || page >= len(run.pages) {
		return run, 500, encode(500, nil, "")
	}
	return run, 200, encode(200, []string{fmt.Sprintf("X-Batch: %d", page)}, run.pages[page])
}

// begin starts a query.
func (g *engine) begin(call, class, statement string) *engineRun {
	if g.rejects != nil && g.rejects(call, statement) {
		run := &engineRun{call: call, class: class, statement: statement, endsAt: time.Now().Add(queueTime), askedAt: time.Now(), rejected: true}
		g.mu.Lock()
		g.runs[call] = run
		g.mu.Unlock()
		g.say(g.name, "queues call %s, class %s: %s", call, class, shorten(statement))
		return run
	}
	duration, rows := g.work(g, call, statement)
	run := &engineRun{call: call, class: class, statement: statement, endsAt: time.Now().Add(duration), askedAt: time.Now(), pages: split(rows)}
	g.mu.Lock()
	g.runs[call], g.made[call] = run, rows
	g.runCounts[call]++
	g.mu.Unlock()
	g.say(g.name, "runs call %s, class %s, for %s: %s", call, class, duration, shorten(statement))
	go g.watch(run)
	return run
}

// watch gives a query up that nobody asks for.
func (g *engine) watch(run *engineRun) {
	for time.Now().Before(run.endsAt) {
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		deleted, unasked := g.runs[run.call] != run, !g.serveREST && time.Since(run.askedAt) > orphanLimit+longPoll
		if unasked {
			delete(g.runs, run.call)
		}
		g.mu.Unlock()
		if deleted || unasked {
			g.say(g.name, "call %s ends unfinished: deleted=%t, not asked for=%t", run.call, deleted, unasked)
			return
		}
	}
	g.say(g.name, "call %s is finished", run.call)
}

func (g *engine) find(call string) *engineRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.runs[call]
	if run != nil {
		run.askedAt = time.Now()
	}
	return run
}

func (g *engine) remove(call string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runs, call)
}

// runsOf returns how often a call was run here.
func (g *engine) runsOf(call string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runCounts[call]
}

// rowsOf returns the rows that this engine made for a call.
func (g *engine) rowsOf(call string) (rows string, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rows, ran = g.made[call]
	return rows, ran
}

// news waits for the end of a query, for longPoll at most, and returns the answer.
func (g *engine) news(run *engineRun) (*engineRun, int, []byte) {
	time.Sleep(min(time.Until(run.endsAt), longPoll))
	if time.Now().Before(run.endsAt) {
		return run, 202, encode(202, nil, "")
	}
	fields := []string{fmt.Sprintf("X-Batches: %d", len(run.pages)), "X-Spent: 20", "X-Wanted: 64"}
	return run, 200, encode(200, fields, run.pages[0])
}

func (g *engine) loadReport() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := 0
	for _, run := range g.runs {
		if time.Now().Before(run.endsAt) {
			running++
		}
	}
	return fmt.Sprintf("inflight:%d;util:%.2f;x1:0.1;x0:0.1", running, min(float64(running)/16, 1))
}

// port returns the client's port of a connection, by which the record tells connections apart.
func port(c net.Conn) string {
	_, p, _ := net.SplitHostPort(c.RemoteAddr().String())
	return p
}

// encode returns an answer.
func encode(status int, fields []string, body string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, field := range fields {
		b.WriteString(field + "\r\n")
	}
	if status != http.StatusNoContent {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// split divides rows into pages.
func split(rows string) (pages []string) {
	page := ""
	for row := range strings.Lines(rows) {
		if len(page)+len(row) > pageLimit {
			pages, page = append(pages, page), ""
		}
		page += row
	}
	return append(pages, page)
}

// Command toy serves a journal service and two engines on loopback addresses, to try
// the coordinator with. The engines answer every statement with a few rows.
package main

import (
	"fmt"
	"log"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	journalAddr = "127.0.0.1:7070"
	pages       = 3                      // number of pages of each result
	queryTime   = 120 * time.Millisecond // duration of each query
)

var engineAddrs = []string{"127.0.0.1:9001", "127.0.0.1:9002"}

// engine is one engine of the example. It forgets a query one minute after the query's start.
type engine struct {
	addr    string
	mu      sync.Mutex
	queries map[string]time.Time // time at which each query ends, by request ID
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case r.URL.Path == "/-/gauges" || r.URL.Path == "/alive":
		e.mu.Lock()
		w.Header().Set("Load-Report", fmt.Sprintf("inflight:%d;util:0.1;x1:0;x0:0", len(e.queries)))
		e.mu.Unlock()
	case r.Method == http.MethodPost && r.URL.Path == "/data":
		id := r.Header.Get("Request-Id")
		log.Printf("%s runs %s (%s)", e.addr, id, r.Header.Get("Kind"))
		e.mu.Lock()
		e.queries[id] = time.Now().Add(queryTime)
		e.mu.Unlock()
		time.AfterFunc(time.Minute, func() { e.drop(id) })
		e.poll(w, id)
	case len(parts) == 3 && r.Method == http.MethodGet && parts[2] == "0":
		e.poll(w, parts[1])
	case len(parts) == 3 && r.Method == http.MethodGet:
		w.Header().Set("X-Batch", parts[2])
		e.writePage(w, parts[2])
	case r.Method == http.MethodDelete && len(parts) == 2:
		e.drop(parts[1])
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut && len(parts) == 2:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// drop forgets a query, so that further polls of it fail.
func (e *engine) drop(id string) {
	e.mu.Lock()
	delete(e.queries, id)
	e.mu.Unlock()
}

// poll answers with the first page of a query's result, or with 202 if the query has not ended within 250 ms.
func (e *engine) poll(w http.ResponseWriter, id string) {
	e.mu.Lock()
	end, ok := e.queries[id]
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(min(time.Until(end), 250*time.Millisecond))
	if time.Now().Before(end) {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	w.Header().Set("X-Batches", strconv.Itoa(pages))
	w.Header().Set("X-Spent", strconv.FormatInt(queryTime.Milliseconds(), 10))
	w.Header().Set("X-Wanted", "64")
	e.writePage(w, "0")
}

// writePage writes the rows of one page of a result.
func (e *engine) writePage(w http.ResponseWriter, page string) {
	for row := range 4 {
		_, _ = fmt.Fprintf(w, "%s\tpage %s\trow %d\n", e.addr, page, row)
	}
}

// serveJournal answers polls for changes of the endpoint list. The list never changes after the first answer.
func serveJournal(w http.ResponseWriter, r *http.Request) {
	tail, _ := strconv.Atoi(r.URL.Query().Get("tail"))
	if tail >= 1 {
		wait, _ := strconv.Atoi(r.URL.Query().Get("max_wait"))
		time.Sleep(time.Duration(min(wait, 5000)) * time.Millisecond)
		_, _ = fmt.Fprint(w, `{"pos":1,"entries":[]}`)
		return
	}
	var servers []string
	for i, address := range engineAddrs {
		servers = append(servers, fmt.Sprintf(
			`{"id":"s-%08x","addr":%q,"zone":"hall-a","kind":"std-16","cell":0,"state":"active","weight":1,"started_ms":0}`, i+1, address))
	}
	_, _ = fmt.Fprintf(w, `{"pos":1,"entries":[{"pos":1,"hosts":{"version":1,"full":true,"servers":[%s]}}]}`, strings.Join(servers, ","))
}

func main() {
	for _, address := range engineAddrs {
		go func() {
			log.Fatal(http.ListenAndServe(address, &engine{addr: address, queries: map[string]time.Time{}}))
		}()
	}
	log.Printf("journal service at %s, engines at %s", journalAddr, strings.Join(engineAddrs, " and "))
	log.Fatal(http.ListenAndServe(journalAddr, http.HandlerFunc(serveJournal)))
}

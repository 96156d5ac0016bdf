package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxJournalWait is the longest time for which the journal service holds a call.
const maxJournalWait = 5 * time.Second

// journal stands in for the journal service.
type journal struct {
	listener net.Listener
	mu       sync.Mutex
	entries  []json.RawMessage
}

func (e *environment) startJournal() (*journal, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{listener: listener}
	server := &http.Server{Handler: http.HandlerFunc(j.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	e.onClose(func() { _ = server.Close() })
	return j, nil
}

func (j *journal) address() string { return j.listener.Addr().String() }

// listEngines adds the first event, which is the whole list.
func (j *journal) listEngines(engines []*engine) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var servers []map[string]any
	for _, g := range engines {
		servers = append(servers, map[string]any{"id": g.name, "addr": g.address(), "zone": "hall-a", "kind": "std-16", "cell": 0,
			"state": "active", "weight": 1, "started_ms": 0})
	}
	position := len(j.entries) + 1
	entry, _ := json.Marshal(map[string]any{"pos": position, "hosts": map[string]any{"version": position, "full": position == 1, "servers": servers}})
	j.entries = append(j.entries, entry)
}

// batch returns the answer to a call with the position after.
func (j *journal) batch(after int) []byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	later := j.entries[min(max(after, 0), len(j.entries)):]
	if later == nil {
		later = []json.RawMessage{}
	}
	content, _ := json.Marshal(map[string]any{"pos": len(j.entries), "entries": later})
	return content
}

func (j *journal) length() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.entries)
}

func (j *journal) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("tail"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("max_wait"))
	wait := min(time.Duration(waitMS)*time.Millisecond, maxJournalWait)
	for deadline := time.Now().Add(wait); j.length() <= after && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(w, "%s", j.batch(after))
}

package live

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/emulator/observer"
)

var discardLog = log.New(io.Discard, "", 0)

func endpointID(id uint32) decide.EndpointID { return decide.EndpointID(id) }

// entry is one watch event of the journal service, in the form of its answers.
type entry struct {
	Pos   int `json:"pos"`
	Hosts struct {
		Version int      `json:"version"`
		Full    bool     `json:"full"`
		Servers []server `json:"servers"`
	} `json:"hosts"`
}

// server is an engine's entry in the endpoint list.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
	engine  decide.EndpointID
}

// stateNames holds the names of engine states in the endpoint list; statesByName is its inverse.
var stateNames = map[decide.EndpointState]string{decide.EndpointReady: "active", decide.EndpointDraining: "leaving", decide.EndpointRemoved: "left"}
var statesByName = map[string]decide.EndpointState{"active": decide.EndpointReady, "leaving": decide.EndpointDraining, "left": decide.EndpointRemoved}

// discoveryService is the journal service that lists the engines. It listens on one address per coordinator, so that it can tell
// which coordinator it notifies.
type discoveryService struct {
	mu             sync.Mutex // guards entries, changed and isDown
	entries        []entry
	changed        chan struct{}                                         // closed at each change, then replaced
	isDown         bool                                                  // whether the service is unavailable: it closes connections without an answer
	onNotified     func(coord int, s server)                             // called for each entry that a coordinator receives
	serviceAddress func(coord int, service, addr string) (string, error) // see Options.ServiceAddress
	notifyAll      bool                                                  // all coordinators count as notified of an entry once it is published
	servers        []*http.Server
	addrs          []string // address for each coordinator, by index
}

func newDiscoveryService(coordinators int, notify func(coord int, s server)) (*discoveryService, error) {
	j := &discoveryService{changed: make(chan struct{}), onNotified: notify}
	for coord := range coordinators {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("start the journal service: %w", err)
		}
		srv := &http.Server{ReadHeaderTimeout: 5 * time.Second, ErrorLog: discardLog,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { j.serve(coord, w, r) })}
		j.servers, j.addrs = append(j.servers, srv), append(j.addrs, l.Addr().String())
		go func() { _ = srv.Serve(l) }()
	}
	return j, nil
}

func (j *discoveryService) close() {
	for _, s := range j.servers {
		_ = s.Close()
	}
}

// publish adds an event with the complete list (full) or with changed engines.
func (j *discoveryService) publish(full bool, servers ...server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var e entry
	e.Pos = len(j.entries) + 1
	e.Hosts.Version, e.Hosts.Full, e.Hosts.Servers = e.Pos, full, servers
	j.entries = append(j.entries, e)
	if j.notifyAll {
		for coord := range j.addrs {
			for _, s := range servers {
				j.onNotified(coord, s)
			}
		}
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// setDown makes the service unavailable, or available again, and wakes the polls that wait.
func (j *discoveryService) setDown(down bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.isDown = down
	close(j.changed)
	j.changed = make(chan struct{})
}

// entriesAfter returns the events after a position, a channel that is closed at the next change, and whether the
// service is unavailable.
func (j *discoveryService) entriesAfter(tail int) (events []entry, wake chan struct{}, down bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.entries[min(max(tail, 0), len(j.entries)):], j.changed, j.isDown
}

// serve answers a poll for events after a position. If there are none, it waits for max_wait ms, but for 5 s at most.
func (j *discoveryService) serve(coord int, w http.ResponseWriter, r *http.Request) {
	tail, err1 := strconv.Atoi(r.URL.Query().Get("tail"))
	wait, err2 := strconv.Atoi(r.URL.Query().Get("max_wait"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(min(wait, 5000)) * time.Millisecond)
	for {
		events, wake, down := j.entriesAfter(tail)
		if down {
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}
		if len(events) > 0 {
			j.write(coord, w, events)
			return
		}
		select {
		case <-wake:
		case <-end:
			j.write(coord, w, []entry{})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// withServiceAddresses returns the events with the addresses at which a coordinator connects to the engines.
func (j *discoveryService) withServiceAddresses(coord int, events []entry) []entry {
	if j.serviceAddress == nil {
		return events
	}
	out := slices.Clone(events)
	for i := range out {
		out[i].Hosts.Servers = slices.Clone(out[i].Hosts.Servers)
		for k := range out[i].Hosts.Servers {
			s := &out[i].Hosts.Servers[k]
			if addr, err := j.serviceAddress(coord, ToEngine, s.Addr); err == nil {
				s.Addr = addr
			}
		}
	}
	return out
}

// write answers a poll with events, and counts the coordinator that sent the poll as notified of them.
func (j *discoveryService) write(coord int, w http.ResponseWriter, events []entry) {
	j.mu.Lock()
	pos := len(j.entries)
	j.mu.Unlock()
	if len(events) > 0 {
		pos = events[len(events)-1].Pos
	}
	b, err := json.Marshal(map[string]any{"pos": pos, "entries": j.withServiceAddresses(coord, events)})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b)
	for _, e := range events {
		for _, s := range e.Hosts.Servers {
			j.onNotified(coord, s)
		}
	}
}

// notifyObserver returns a function that records a coordinator's watch events with the observer.
func notifyObserver(shared *sharedObserver, now func() float64) func(int, server) {
	return func(coord int, s server) {
		shared.with(func(o *observer.Observer) { o.EndpointNotified(now(), coord, s.engine, statesByName[s.State]) })
	}
}

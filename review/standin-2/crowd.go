package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// sent is a request of a sound client and what came of it.
type sent struct {
	id       int
	deadline time.Time // when the client stops waiting
	answers  int
}

// soundClient sends requests on one connection and reads all answers at once.
type soundClient struct {
	run  *run
	who  string
	conn net.Conn

	mu       sync.Mutex // guards the fields below
	requests map[int]*sent
	kinds    map[string]int // answers by kind
	end      string         // why the connection ended; empty: it is open
}

func (r *run) newSoundClient(who, addr string) *soundClient {
	conn, err := net.Dial("tcp4", addr)
	must(err)
	s := &soundClient{run: r, who: who, conn: conn, requests: map[int]*sent{}, kinds: map[string]int{}}
	go s.read()
	return s
}

func (s *soundClient) read() {
	decoder := json.NewDecoder(s.conn)
	for {
		var m struct {
			ID     int
			Result *struct{ Doc string }
			Error  *struct{ Code int }
		}
		err := decoder.Decode(&m)
		s.mu.Lock()
		if err != nil {
			s.end = err.Error()
			s.run.note("%s: the connection ends: %v; open requests: %d", s.who, err, s.openCount())
			s.mu.Unlock()
			return
		}
		if q := s.requests[m.ID]; q != nil {
			q.answers++
		}
		switch {
		case m.Result != nil:
			s.kinds["served"]++
		case m.Error != nil && m.Error.Code == -32000:
			s.kinds["refused"]++
		default:
			s.kinds["failed"]++
		}
		s.mu.Unlock()
	}
}

// openCount returns the number of requests without an answer. The caller holds s.mu.
func (s *soundClient) openCount() (open int) {
	for _, q := range s.requests {
		if q.answers == 0 {
			open++
		}
	}
	return open
}

// send sends a request. It reports false if the connection has ended.
func (s *soundClient) send(class string, ttl time.Duration, workMS int, statement string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != "" {
		return false
	}
	id := len(s.requests) + 1
	line := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"call":"%08x%08x","ttl":%d,"work":%d,"ram":32,"doc":%q}}`+"\n",
		id, class, s.run.nextCall(), id, ttl.Milliseconds(), workMS, base64.StdEncoding.EncodeToString([]byte(statement)))
	s.requests[id] = &sent{id: id, deadline: time.Now().Add(ttl)}
	if _, err := io.WriteString(s.conn, line); err != nil {
		delete(s.requests, id) // not written as a whole, so the coordinator has not taken it
		return false
	}
	return true
}

// nextCall returns a number that no other call has.
func (r *run) nextCall() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.calls
}

// unanswered returns the number of requests without exactly one answer.
func (s *soundClient) unanswered() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.requests {
		if q.answers != 1 {
			count++
		}
	}
	s.run.note("%s: %d requests, answers %v, without exactly one answer: %d; connection: %s", s.who, len(s.requests), s.kinds, count, s.end)
	return count
}

// crowd opens connections that write a message slowly, in pieces over 2 s, and stop before its end.
func (r *run) crowd(addr string, count int) {
	const (
		pieces    = 20
		pieceSize = 3000
	)
	var all sync.WaitGroup
	var mu sync.Mutex
	written, closedEarly := 0, 0
	for range count {
		all.Go(func() {
			conn, err := net.Dial("tcp4", addr)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"trip-lookup","params":{"doc":"`)
			n := 0
			for ; n < pieces && err == nil; n++ {
				time.Sleep(100 * time.Millisecond)
				_, err = io.WriteString(conn, strings.Repeat("c2Vs", pieceSize/4))
			}
			if err == nil {
				time.Sleep(time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			if written += n * pieceSize; err != nil {
				closedEarly++
			}
		})
	}
	all.Wait()
	r.note("crowd: %d connections wrote %d bytes of messages that do not end; %d were closed while they wrote", count, written, closedEarly)
}

// closedForOthers: a crowd of other clients writes messages that stop half way, while sound clients have open requests.
func closedForOthers(r *run) bool {
	const (
		crowdSize = 300
		waves     = 3
		report    = "select * from trips_17.entries -- work 3000 rows 20"
		clients   = 8
	)
	// A statement of 6 KB comes in several reads.
	lookup := "select a, b, c from trips_4.entries where a in (" + strings.Repeat("'some-stop-of-a-line', ", 260) + "'x') -- work 50 rows 3"
	_, entry := r.threeEngines("std-16")
	c := r.startCoordinator(coordinatorSpec{name: "n0", label: "n0", journal: r.serve(journal{entry}), servers: entry, settings: strings.Replace(dar, `"balancers":2`, `"balancers":1`, 1)})
	var sound []*soundClient
	for i := range clients {
		s := r.newSoundClient(fmt.Sprintf("client %d", i), c.client)
		s.send("ridership-report", 20*time.Second, 3000*4, report)
		sound = append(sound, s)
	}
	time.Sleep(500 * time.Millisecond)
	crowdEnded := make(chan struct{})
	go func() {
		defer close(crowdEnded)
		for range waves {
			if r.trouble {
				r.crowd(c.client, crowdSize)
			}
		}
	}()
	for range 100 {
		for _, s := range sound {
			s.send("trip-lookup", 2500*time.Millisecond, 50, lookup)
		}
		time.Sleep(100 * time.Millisecond)
	}
	<-crowdEnded
	time.Sleep(6 * time.Second)
	lost := 0
	for _, s := range sound {
		lost += s.unanswered()
	}
	r.note("requests lost: %d", lost)
	return lost > 0
}

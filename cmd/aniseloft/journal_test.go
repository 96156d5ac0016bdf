package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeJournal stands in for the journal service.
type fakeJournal struct {
	*httptest.Server
	mu         sync.Mutex
	entries    []string      // entries of the journal, as JSON
	polls      int           // number of polls received
	unanswered chan struct{} // if set, polls are not answered until it is closed
}

func newFakeJournal(t *testing.T) *fakeJournal {
	j := &fakeJournal{}
	j.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var tail int
		_, _ = fmt.Sscan(r.URL.Query().Get("tail"), &tail)
		j.mu.Lock()
		j.polls++
		j.mu.Unlock()
		for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if j.len() > tail {
				break
			}
		}
		j.mu.Lock()
		unanswered := j.unanswered
		j.mu.Unlock()
		if unanswered != nil {
			<-unanswered
		}
		_, _ = io.WriteString(w, j.batch(tail))
	}))
	t.Cleanup(func() {
		if j.unanswered != nil {
			close(j.unanswered)
		}
		j.CloseClientConnections()
		j.Close()
	})
	return j
}

// stopAnswering leaves polls without an answer until the test ends.
func (j *fakeJournal) stopAnswering() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unanswered = make(chan struct{})
}

func (j *fakeJournal) len() int { j.mu.Lock(); defer j.mu.Unlock(); return len(j.entries) }

func (j *fakeJournal) batch(tail int) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf(`{"pos":%d,"entries":[%s]}`, len(j.entries), strings.Join(j.entries[min(tail, len(j.entries)):], ","))
}

func serverEntry(n int, e *fakeEngine, state string) string {
	kind := "std-16"
	if e.Config.Handler != nil && e.isREST() {
		kind = "rest-16"
	}
	return fmt.Sprintf(`{"id":"s-%08x","addr":%q,"zone":"hall-a","kind":%q,"cell":0,"state":%q,"weight":1,"started_ms":0}`,
		n, e.Listener.Addr(), kind, state)
}

func (e *fakeEngine) isREST() bool {
	res, err := http.Get(e.URL + "/v1/info")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == 200
}

// add appends an update of the endpoint list; a full one replaces the whole list.
func (j *fakeJournal) add(full bool, servers ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, fmt.Sprintf(`{"pos":%d,"hosts":{"version":1,"full":%t,"servers":[%s]}}`, len(j.entries)+1, full, strings.Join(servers, ",")))
}

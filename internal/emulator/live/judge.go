package live

import (
	"sync"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// sharedObserver lets goroutines share an observer, which is not safe for concurrent use, and holds the open requests of
// clients.
type sharedObserver struct {
	mu       sync.Mutex // guards the fields below
	inner    *observer.Observer
	requests map[string]*clientRequest // requests that engines can look up, by request ID
}

// clientRequest is one try of a client's query: a request to one coordinator, which engines look up by its ID.
type clientRequest struct {
	observed    *observer.Request
	query       scenario.Query
	coordinator int
	sentAt      float64 // time at which the client sent the request
	doneWork    float64 // work of the execution that succeeded
	served      bool    // whether the client got a successful answer
}

// with calls f with the observer while it holds the lock.
func (s *sharedObserver) with(f func(o *observer.Observer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.inner)
}

// findRequest returns the request with the given ID that clients have sent, or nil.
func (s *sharedObserver) findRequest(id string) *clientRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

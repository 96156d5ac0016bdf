package live

import (
	"sync"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// judge guards the observer, which is not safe for concurrent use, and the open requests of clients.
type judge struct {
	mu       sync.Mutex
	observer *observer.Observer
	calls    map[string]*attempt
}

// attempt is a try as engines may receive it, from one coordinator.
type attempt struct {
	request     *observer.Request
	query       scenario.Query
	coordinator int
	sentAt      float64 // by its client
	doneWork    float64 // work of the execution that succeeded
	served      bool
}

func (b *judge) with(f func(o *observer.Observer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.observer)
}

func (b *judge) find(id string) *attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[id]
}

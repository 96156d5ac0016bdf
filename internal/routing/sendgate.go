package routing

import "sync"

// sendGate orders a request's final answer relative to the first bytes of its attempts: no attempt starts after the
// answer, and the answer is delayed while a first byte is being written. Attempts call begin on their own goroutines, and
// the dispatcher calls close; neither call blocks.
type sendGate struct {
	mu           sync.Mutex // guards the fields below
	closed       bool       // set with the final answer: no further attempt may start
	sendingCount int        // number of attempts whose first byte is being written
	onIdle       func()     // set by close while sendingCount is above 0; called when sendingCount becomes 0
}

// begin reports whether an attempt may send its first byte. If so, the caller must call sendDone as soon as the byte has been
// written or can no longer be written.
func (g *sendGate) begin() (sendDone func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.sendingCount++
	return sync.OnceFunc(g.end), true
}

// end records that the first byte of an attempt has been written or can no longer be written.
func (g *sendGate) end() {
	g.mu.Lock()
	g.sendingCount--
	var notify func()
	if g.sendingCount == 0 {
		notify, g.onIdle = g.onIdle, nil
	}
	g.mu.Unlock()
	if notify != nil {
		notify()
	}
}

// close prevents further attempts from starting. It reports whether no first byte is being written. Otherwise notify is
// called once that is the case, on the goroutine of the last attempt that wrote one.
func (g *sendGate) close(notify func()) (idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.sendingCount == 0 {
		return true
	}
	g.onIdle = notify
	return false
}

func (g *sendGate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

package routing

import "sync"

// sendGate orders a request's final answer and the first bytes of its attempts: once the answer is given no attempt begins,
// and an answer waits for the first byte that is being written. Attempts pass it on their own goroutines, the dispatcher
// closes it; neither waits.
type sendGate struct {
	mu           sync.Mutex // guards the fields below
	closed       bool
	sending      int    // attempts whose first byte is being written
	afterSending func() // of the close, where it has to wait
}

// begin reports whether an attempt may begin. The caller then calls sent, once, as soon as its first byte is written or is
// known not to be.
func (g *sendGate) begin() (sent func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, false
	}
	g.sending++
	return sync.OnceFunc(g.end), true
}

func (g *sendGate) end() {
	g.mu.Lock()
	g.sending--
	var then func()
	if g.sending == 0 {
		then, g.afterSending = g.afterSending, nil
	}
	g.mu.Unlock()
	if then != nil {
		then()
	}
}

// close lets no further attempt begin. It reports whether none is being sent; else waiting is called, on the goroutine of
// the last of them, once that is so.
func (g *sendGate) close(waiting func()) (idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.sending == 0 {
		return true
	}
	g.afterSending = waiting
	return false
}

func (g *sendGate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

package drill

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay stands on the way from one process to another, for TCP, and harms what passes as it is told.
type Relay struct {
	target string
	net    net.Listener
	mu     sync.Mutex
	cond   *sync.Cond
	conns  map[net.Conn]struct{}
	closed bool
	there  bool // bytes to the target are kept back
	back   bool // bytes from it are
	delay  time.Duration
	jitter time.Duration
	rate   int // bytes a second each way; 0: any
}

// NewRelay listens on loopback for what is to go to target.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, net: l, conns: map[net.Conn]struct{}{}}
	r.cond = sync.NewCond(&r.mu)
	go r.run()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.net.Addr().String() }

// Cut keeps bytes back, each way for itself, until it is called again. What is kept goes on its way
// then, as TCP would send it again.
func (r *Relay) Cut(there, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.there, r.back = there, back
	r.cond.Broadcast()
}

// Slow delays what passes by up to jitter around delay, and bounds its bytes a second; 0: any.
func (r *Relay) Slow(delay, jitter time.Duration, rate int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.jitter, r.rate = delay, jitter, rate
}

// Reset breaks all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.cond.Broadcast()
	r.mu.Unlock()
	_ = r.net.Close()
	r.Reset()
}

func (r *Relay) run() {
	for {
		c, err := r.net.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go r.pass(c)
	}
}

func (r *Relay) keep(c net.Conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.conns[c] = struct{}{}
	} else {
		delete(r.conns, c)
	}
}

func (r *Relay) pass(c net.Conn) {
	r.keep(c, true)
	defer func() { r.keep(c, false); _ = c.Close() }()
	if !r.open(&r.there) { // a connection does not come up through a cut either
		return
	}
	to, err := net.Dial("tcp4", r.target)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	r.keep(to, true)
	defer func() { r.keep(to, false); _ = to.Close() }()
	done := make(chan struct{}, 2)
	go func() { r.copy(to, c, &r.there); done <- struct{}{} }()
	go func() { r.copy(c, to, &r.back); done <- struct{}{} }()
	<-done
}

// open waits while a way is cut; false: the relay has ended.
func (r *Relay) open(cut *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for *cut && !r.closed {
		r.cond.Wait()
	}
	return !r.closed
}

func (r *Relay) copy(to, from net.Conn, cut *bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !r.open(cut) {
			_ = to.Close()
			return
		}
		r.mu.Lock()
		wait := r.delay
		if r.jitter > 0 {
			wait += rand.N(2*r.jitter) - r.jitter
		}
		if r.rate > 0 {
			wait += time.Duration(n) * time.Second / time.Duration(r.rate)
		}
		r.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		if !r.open(cut) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

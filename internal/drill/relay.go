package drill

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"aniseloft/internal/emulator/receivetime"
)

// Relay forwards TCP connections to a target, and delays or blocks their bytes. One goroutine accepts connections until
// Close; two goroutines for each connection copy its bytes until either side closes.
type Relay struct {
	target   string
	listener net.Listener
	origins  *connectionOrigins // records the client's connection of each connection to the target; nil: not recorded

	mu                sync.Mutex // guards the fields below
	unblocked         *sync.Cond // signals a change of the blocked fields or of closed
	connections       map[net.Conn]struct{}
	closed            bool
	blockedToTarget   bool
	blockedFromTarget bool
	delay             time.Duration
	jitter            time.Duration
	bytesPerSecond    int // limit of the throughput in each direction; 0: no limit
}

// NewRelay opens a relay that listens on loopback and forwards connections to target.
func NewRelay(target string) (*Relay, error) { return newRelay(target, nil) }

// newRelay opens a relay like NewRelay, which records the client's connection of each connection in origins.
func newRelay(target string, origins *connectionOrigins) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: listener, origins: origins, connections: map[net.Conn]struct{}{}}
	r.unblocked = sync.NewCond(&r.mu)
	go r.acceptLoop()
	return r, nil
}

// Addr returns the address where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Block sets for each direction whether the relay holds bytes back. Held bytes are forwarded when their direction is
// unblocked, as TCP would retransmit them after an interruption.
func (r *Relay) Block(toTarget, fromTarget bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blockedToTarget, r.blockedFromTarget = toTarget, fromTarget
	r.unblocked.Broadcast()
}

// SetDelay delays bytes by delay plus or minus jitter, and limits the throughput of each direction. Zero values mean no
// delay and no limit.
func (r *Relay) SetDelay(delay, jitter time.Duration, bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay, r.jitter, r.bytesPerSecond = delay, jitter, bytesPerSecond
}

// ResetConnections resets all connections; new ones are accepted.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		resetOnClose(connection)
		_ = connection.Close()
	}
}

// resetOnClose makes Close end a connection with a TCP reset.
func resetOnClose(connection net.Conn) {
	if tcp, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// Close resets all connections and stops the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.unblocked.Broadcast()
	r.mu.Unlock()
	_ = r.listener.Close()
	r.ResetConnections()
}

func (r *Relay) acceptLoop() {
	const retryAfter = time.Millisecond // pause after an Accept error such as a lack of file descriptors
	for {
		connection, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(retryAfter)
			continue
		}
		go r.forward(connection)
	}
}

// track records an open connection, so that ResetConnections can reset it.
func (r *Relay) track(connection net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[connection] = struct{}{}
}

// closeConnection closes a connection that track has added, and removes it from the connections.
func (r *Relay) closeConnection(connection net.Conn) {
	r.mu.Lock()
	delete(r.connections, connection)
	r.mu.Unlock()
	_ = connection.Close()
}

// forward connects to the target once the direction to it is not blocked, and copies bytes both ways until one direction
// ends.
func (r *Relay) forward(accepted net.Conn) {
	client, err := receivetime.New(accepted.(*net.TCPConn))
	if err != nil { // the client has already reset the connection
		_ = accepted.Close()
		return
	}
	r.track(client)
	defer r.closeConnection(client)
	if !r.waitUnblocked(&r.blockedToTarget) {
		return
	}
	target, err := net.Dial("tcp4", r.target)
	if err != nil {
		resetOnClose(client)
		return
	}
	r.track(target)
	defer r.closeConnection(target)
	if r.origins != nil {
		r.origins.add(target, client)
	}
	done := make(chan struct{}, 2)
	go func() {
		r.copy(target, client, &r.blockedToTarget)
		done <- struct{}{}
	}()
	go func() {
		r.copy(client, target, &r.blockedFromTarget)
		done <- struct{}{}
	}()
	<-done
}

// waitUnblocked waits while a direction is blocked. It reports whether the relay is still open.
func (r *Relay) waitUnblocked(blocked *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for *blocked && !r.closed {
		r.unblocked.Wait()
	}
	return !r.closed
}

// copy copies bytes with the delay of the relay, and only while their direction is not blocked, until either side
// closes.
func (r *Relay) copy(to, from net.Conn, blocked *bool) {
	const bufferSize = 16 << 10
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil || !r.waitUnblocked(blocked) {
			_ = to.Close()
			return
		}
		if delay := r.delayOf(n); delay > 0 {
			time.Sleep(delay)
		}
		if !r.waitUnblocked(blocked) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// delayOf returns the delay of n bytes, including the time that they take at the throughput limit.
func (r *Relay) delayOf(n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.delay
	if r.jitter > 0 {
		delay += rand.N(2*r.jitter) - r.jitter
	}
	if r.bytesPerSecond > 0 {
		delay += time.Duration(n) * time.Second / time.Duration(r.bytesPerSecond)
	}
	return delay
}

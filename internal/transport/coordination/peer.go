package coordination

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"aniseloft/internal/consensus"
)

const (
	dialTimeout    = 500 * time.Millisecond
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 800 * time.Millisecond
)

// peer holds the connection to another replica. Only the replica goroutine uses it.
type peer struct {
	conn     *conn         // nil: never connected
	backoff  time.Duration // latest pause between two dials, without jitter; 0 after a send on an open connection
	nextDial time.Time     // no dial is started before this time
}

func (p *peer) closeConn() {
	if p.conn != nil {
		p.conn.close()
	}
}

// sendToPeer sends a frame to another replica. Without a connection it dials, with exponential backoff; the frame that
// starts a dial is sent once connected, and others are dropped until then, which raft tolerates.
func (h *replicaHost) sendToPeer(ctx context.Context, name string, frame []byte) {
	p := h.peers[name]
	if p == nil {
		p = &peer{}
		h.peers[name] = p
	}
	if p.conn != nil && !p.conn.isClosed() {
		p.backoff = 0
		p.conn.send(frame)
		return
	}
	now := time.Now()
	if now.Before(p.nextDial) {
		return
	}
	p.backoff = min(max(2*p.backoff, minDialBackoff), maxDialBackoff)
	p.nextDial = now.Add(dialTimeout + jitter(p.backoff))
	go h.dialPeer(ctx, p, p.backoff, h.node.config().ReplicaAddr(name), frame)
}

// jitter returns a random pause between half the backoff and one and a half times the backoff.
func jitter(backoff time.Duration) time.Duration { return backoff/2 + rand.N(backoff) }

// dialPeer dials a peer on its own goroutine and hands the connection to the replica goroutine, which sends the frame.
func (h *replicaHost) dialPeer(ctx context.Context, p *peer, backoff time.Duration, addr string, frame []byte) {
	socket, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", addr)
	wasQueued := h.node.enqueue(func(*consensus.Replica) {
		if err != nil {
			p.nextDial = time.Now().Add(jitter(backoff))
			return
		}
		p.conn = h.node.serve(ctx, socket, h.handleFrame)
		p.conn.send(frame)
	})
	if !wasQueued && err == nil {
		_ = socket.Close()
	}
}

// Package gossip sends and receives datagrams between coordinators. A datagram may be late, lost, duplicated or
// forged, so its content is only a hint for the decisions, which use no sockets themselves.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/transport/netconn"
	"aniseloft/internal/transport/violations"
)

// MaxDatagram is the protocol's maximum length of one message, in bytes. Longer messages are not sent, as they
// would violate the protocol.
const MaxDatagram = 256

// readErrorPause is the pause after a failed read. Reads fail, for example, after an ICMP error that reports a
// peer's port as closed.
const readErrorPause = time.Millisecond

// Transport sends and receives datagrams. SendGossip may be called from any goroutine. Run receives
// datagrams and closes the socket.
type Transport struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort       // addresses by the coordinator's index
	indexes   map[netip.AddrPort]int // index of the coordinator at an address
	broadcast netip.AddrPort         // address that reaches all others; zero: each peer is sent a copy
	self      int                    // index of this coordinator
	log       *slog.Logger

	unknownSender, oversized, malformed violations.Counter // received datagrams that were dropped
	sent, received, unsent              atomic.Int64       // numbers of datagrams; unsent: dropped before sending
}

// Listen opens the socket that receives datagrams at the address listen. peers holds the addresses of the
// coordinators by index. broadcast is empty, or an address that reaches all of them. Errors name the
// configuration field.
func Listen(listen string, peers []string, broadcast string, self int, log *slog.Logger) (*Transport, error) {
	t := &Transport{indexes: map[netip.AddrPort]int{}, self: self, log: log}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		if other, duplicate := t.indexes[addr]; duplicate {
			return nil, fmt.Errorf("peers[%d]: %s is also the address of peers[%d]", i, text, other)
		}
		t.peers = append(t.peers, addr)
		t.indexes[addr] = i
	}
	var err error
	if broadcast != "" {
		if t.broadcast, err = netip.ParseAddrPort(broadcast); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	// During an upgrade the old process still listens: each datagram reaches one of the two processes.
	conf := net.ListenConfig{Control: netconn.ReusePort}
	c, err := conf.ListenPacket(context.Background(), "udp4", addr.String())
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	t.conn = c.(*net.UDPConn)
	return t, nil
}

// SendGossip sends one datagram to the coordinator with index to, or to all others if it is decide.AllPeers.
// A datagram that can't be sent at once is dropped and counted, as any datagram may be lost.
func (t *Transport) SendGossip(to int, data []byte) {
	switch {
	case len(data) > MaxDatagram:
		t.unsent.Add(1)
	case to == decide.AllPeers && t.broadcast.IsValid():
		t.send(t.broadcast, data)
	case to == decide.AllPeers:
		for n, addr := range t.peers {
			if n != t.self {
				t.send(addr, data)
			}
		}
	case to >= 0 && to < len(t.peers) && to != t.self:
		t.send(t.peers[to], data)
	default:
		t.unsent.Add(1)
	}
}

func (t *Transport) send(to netip.AddrPort, data []byte) {
	if _, err := t.conn.WriteToUDPAddrPort(data, to); err != nil {
		t.unsent.Add(1)
		return
	}
	t.sent.Add(1)
}

// Run passes a copy of each valid datagram, and the index of the coordinator that sent it, to deliver until ctx
// ends.
func (t *Transport) Run(ctx context.Context, deliver func(from int, data []byte)) {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	var buf [MaxDatagram + 1]byte // one byte more than allowed, to detect datagrams that are too long
	for {
		n, addr, err := t.conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readErrorPause)
			continue
		}
		if from, ok := t.accept(addr, buf[:n]); ok {
			t.received.Add(1)
			deliver(from, append([]byte(nil), buf[:n]...))
		}
	}
}

// accept returns the index of a datagram's sender. ok is false for a datagram that is dropped.
func (t *Transport) accept(addr netip.AddrPort, data []byte) (from int, ok bool) {
	from, known := t.indexes[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
	switch {
	case !known || from == t.self:
		t.drop(&t.unknownSender, "stranger", addr)
	case len(data) > MaxDatagram:
		t.drop(&t.oversized, "oversize", addr)
	case !decide.ValidGossip(data):
		t.drop(&t.malformed, "unreadable", addr)
	default:
		return from, true
	}
	return 0, false
}

func (t *Transport) drop(c *violations.Counter, kind string, from netip.AddrPort) {
	c.Record(t.log, "datagram dropped; more of the kind are only counted", kind, from.String())
}

// String returns the line of counters for operators.
func (t *Transport) String() string {
	return fmt.Sprintf("counters peers sent=%d unsent=%d heard=%d stranger=%d oversize=%d unreadable=%d\n", t.sent.Load(), t.unsent.Load(),
		t.received.Load(), t.unknownSender.Count(), t.oversized.Count(), t.malformed.Count())
}

package drill

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDatagramSize is the size of the receive buffer in bytes. Datagrams between coordinators are smaller.
const maxDatagramSize = 2048

// DatagramRelay forwards datagrams between two coordinators, and drops, duplicates or delays them. It has one socket in
// place of each coordinator, because a coordinator accepts a datagram only from the address that it sends to. One goroutine
// for each socket reads until Close.
type DatagramRelay struct {
	sockets      [2]*net.UDPConn   // each socket stands in place of the coordinator with the same index
	coordinators [2]netip.AddrPort // addresses at which the coordinators receive datagrams

	mu             sync.Mutex // guards the fields below
	lossRatio      float64
	duplicateRatio float64 // ratio of duplicated datagrams among those that are not lost
	maxDelay       time.Duration
}

// NewDatagramRelay opens a relay on loopback between two coordinators that receive datagrams at the addresses first and
// second.
func NewDatagramRelay(first, second string) (*DatagramRelay, error) {
	r := &DatagramRelay{}
	for i, address := range []string{first, second} {
		var err error
		if r.coordinators[i], err = netip.ParseAddrPort(address); err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		if r.sockets[i], err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	go r.forward(0)
	go r.forward(1)
	return r, nil
}

// Address returns the address to which the other coordinator sends datagrams for the given coordinator: 0 for the first,
// 1 for the second.
func (r *DatagramRelay) Address(coordinator int) string {
	return r.sockets[coordinator].LocalAddr().String()
}

// SetFaults sets the ratios of datagrams that are dropped and duplicated, and delays each by a random time below maxDelay,
// so that they are reordered.
func (r *DatagramRelay) SetFaults(lossRatio, duplicateRatio float64, maxDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossRatio, r.duplicateRatio, r.maxDelay = lossRatio, duplicateRatio, maxDelay
}

// Close closes both sockets, which ends the goroutines.
func (r *DatagramRelay) Close() {
	for _, socket := range r.sockets {
		_ = socket.Close()
	}
}

// forward receives the datagrams for a coordinator, and sends them to it from the socket in place of the other one.
func (r *DatagramRelay) forward(coordinator int) {
	for {
		buffer := make([]byte, maxDatagramSize)
		n, _, err := r.sockets[coordinator].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error: the port of an earlier datagram is closed
			continue
		}
		send := func() { _, _ = r.sockets[1-coordinator].WriteToUDPAddrPort(buffer[:n], r.coordinators[coordinator]) }
		copies, maxDelay := r.drawFaults()
		for range copies {
			if maxDelay > 0 {
				time.AfterFunc(rand.N(maxDelay), send)
			} else {
				send()
			}
		}
	}
}

// drawFaults returns the number of copies of a datagram to send, and the upper bound of their delay.
func (r *DatagramRelay) drawFaults() (copies int, maxDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	copies = 1
	if rand.Float64() < r.lossRatio {
		copies = 0
	} else if rand.Float64() < r.duplicateRatio {
		copies = 2
	}
	return copies, r.maxDelay
}

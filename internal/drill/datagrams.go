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

// Datagrams stands between two coordinators' datagrams. Each end knows the other by one of its two sockets, as the
// protocol has it: what a coordinator hears comes from the address that it sends to.
type Datagrams struct {
	ends  [2]*net.UDPConn // where the first end, and the second, is reached by the other
	real  [2]netip.AddrPort
	mu    sync.Mutex
	lost  float64 // of all, as a part
	twice float64
	late  time.Duration // up to so long, so that they overtake each other
}

// NewDatagrams listens on loopback between two coordinators that hear datagrams at a and b.
func NewDatagrams(a, b string) (*Datagrams, error) {
	d := &Datagrams{}
	for i, addr := range []string{a, b} {
		var err error
		if d.real[i], err = netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		if d.ends[i], err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	go d.pass(0)
	go d.pass(1)
	return d, nil
}

// Known is the address by which the other end knows the first (0) or the second (1).
func (d *Datagrams) Known(end int) string { return d.ends[end].LocalAddr().String() }

// Harm has a part of all datagrams lost, a part come twice, and any come late by up to so long.
func (d *Datagrams) Harm(lost, twice float64, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost, d.twice, d.late = lost, twice, late
}

// Close ends the relay.
func (d *Datagrams) Close() {
	for _, e := range d.ends {
		_ = e.Close()
	}
}

// pass takes what is sent to one end, and has it come there from the address of the other.
func (d *Datagrams) pass(end int) {
	for {
		buf := make([]byte, 2048)
		n, _, err := d.ends[end].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // word that a port is closed
			continue
		}
		d.mu.Lock()
		times := 1
		if rand.Float64() < d.lost {
			times = 0
		} else if rand.Float64() < d.twice {
			times = 2
		}
		late := d.late
		d.mu.Unlock()
		for range times {
			send := func() { _, _ = d.ends[1-end].WriteToUDPAddrPort(buf[:n], d.real[end]) }
			if late > 0 {
				time.AfterFunc(rand.N(late), send)
			} else {
				send()
			}
		}
	}
}

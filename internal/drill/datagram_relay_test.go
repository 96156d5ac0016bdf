package drill

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A coordinator accepts a datagram only from the address that it sends to, so the relay must send from that address. Without
// faults each datagram arrives once; with them it is dropped, or duplicated and delayed.
func TestDatagramRelayPreservesSenderAddress(t *testing.T) {
	listen := func() *net.UDPConn {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = socket.Close() })
		return socket
	}
	first, second := listen(), listen()
	relay, err := NewDatagramRelay(first.LocalAddr().String(), second.LocalAddr().String())
	require.NoError(t, err)
	defer relay.Close()
	receiveAll := func(timeout time.Duration) (received int) {
		buffer := make([]byte, 16)
		for {
			_ = second.SetReadDeadline(time.Now().Add(timeout))
			_, from, err := second.ReadFromUDP(buffer)
			if err != nil {
				return received
			}
			require.Equal(t, relay.Address(0), from.String())
			received++
		}
	}
	to, err := net.ResolveUDPAddr("udp4", relay.Address(1))
	require.NoError(t, err)
	send := func(count int) {
		for range count {
			_, err := first.WriteToUDP([]byte("x"), to)
			require.NoError(t, err)
		}
	}
	send(5)
	require.Equal(t, 5, receiveAll(500*time.Millisecond))
	relay.SetFaults(1, 0, 0)
	send(5)
	require.Zero(t, receiveAll(200*time.Millisecond))
	relay.SetFaults(0, 1, 20*time.Millisecond)
	send(5)
	require.Equal(t, 10, receiveAll(500*time.Millisecond))
}

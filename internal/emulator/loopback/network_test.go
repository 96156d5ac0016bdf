package loopback

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// claim claims a network until the test's end.
func claim(t *testing.T) *Network {
	t.Helper()
	n, err := Claim()
	require.NoError(t, err)
	t.Cleanup(n.Release)
	return n
}

func TestClaimedNetworksShareNoHost(t *testing.T) {
	hosts := map[string]bool{}
	for range 10 {
		n := claim(t)
		for _, index := range []int{0, 199, 200, 300} {
			host := n.Host(3, index)
			addr, err := netip.ParseAddr(host)
			require.NoError(t, err)
			require.True(t, addr.IsLoopback())
			require.False(t, hosts[host], "%s was claimed twice", host)
			hosts[host] = true
		}
	}
}

func TestClaimLastsUntilRelease(t *testing.T) {
	n := claim(t)
	_, err := net.Listen("tcp4", n.claim.Addr().String())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	n.Release()
	require.ErrorIs(t, n.claim.Close(), net.ErrClosed)
}

func TestFreeAddressesCanBeBoundAgain(t *testing.T) {
	n := claim(t)
	address, err := n.FreeTCPAddress(0, 4)
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	address, err = n.FreeUDPAddress(0, 4)
	require.NoError(t, err)
	socket, err := net.ListenPacket("udp4", address)
	require.NoError(t, err)
	require.NoError(t, socket.Close())
}

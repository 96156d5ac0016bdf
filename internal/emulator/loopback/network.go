// Package loopback gives each run with real processes loopback addresses that no other run on the machine uses.
//
// A coordinator listens with SO_REUSEPORT, so that an upgrade can replace it. If two runs chose the same address, both
// coordinators would listen on it, and the kernel would distribute the clients of each run over both.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// The networks are 127.firstNetwork.0.0/16 to 127.lastNetwork.0.0/16.
const (
	firstNetwork = 100
	lastNetwork  = 249
	// claimPort is the port on which a run listens to claim a network. It is outside the range of ephemeral ports.
	claimPort = 20000
	// hostsPerSubnet is the number of hosts used in each /24.
	hostsPerSubnet = 200
)

// ErrNoneFree is returned by Claim when other runs have claimed all networks.
var ErrNoneFree = errors.New("all loopback networks are claimed")

// Network is a /16 of loopback addresses that only its owner uses, until Release or the end of the owner's process.
type Network struct {
	octet int          // second octet of the network's addresses
	claim net.Listener // has no SO_REUSEPORT, so that only one run can listen on the network's claim address
}

// Claim claims a free network. It returns ErrNoneFree if there is none, or the error of the claiming socket.
func Claim() (*Network, error) {
	for octet := firstNetwork; octet <= lastNetwork; octet++ {
		claim, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.254:%d", octet, claimPort))
		if err == nil {
			return &Network{octet: octet, claim: claim}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("claim a loopback network: %w", err)
		}
	}
	return nil, ErrNoneFree
}

// Release lets other runs claim the network. The caller must no longer use its addresses.
func (n *Network) Release() { _ = n.claim.Close() }

// Host returns the address of the process with an index in a block. A block holds the processes of one kind and begins at the
// /24 with its number. It takes one /24 for every 200 processes, so the caller must keep the numbers of blocks far enough apart.
func (n *Network) Host(block, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.octet, block+index/hostsPerSubnet, 1+index%hostsPerSubnet)
}

// FreeTCPAddress returns an address with a free TCP port on a process's host. The port stays free until that process listens,
// as no other process uses the host.
func (n *Network) FreeTCPAddress(block, index int) (string, error) {
	listener, err := net.Listen("tcp4", n.Host(block, index)+":0")
	if err != nil {
		return "", fmt.Errorf("free TCP address: %w", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// FreeUDPAddress returns an address with a free UDP port on a process's host, which stays free as in FreeTCPAddress.
func (n *Network) FreeUDPAddress(block, index int) (string, error) {
	socket, err := net.ListenPacket("udp4", n.Host(block, index)+":0")
	if err != nil {
		return "", fmt.Errorf("free UDP address: %w", err)
	}
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().String(), nil
}

package gossip

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/golden"
	"aniseloft/internal/transport/transporttest"
)

// The golden file holds every byte that the transport sends. To rewrite it:
// go test ./internal/transport/gossip -run WireBytes -update

// Datagrams are sent unchanged to one coordinator and to all, those that must not be sent are only counted, and the format of
// the counters' line does not change.
func TestGossipWireBytes(t *testing.T) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	transport, err := Listen("127.0.0.1:0", []string{"127.0.0.1:9", peer.LocalAddr().String()}, "", 0, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer func() { _ = transport.conn.Close() }()
	transport.SendGossip(1, []byte{1, 2, 3, 0xff})
	transport.SendGossip(decide.AllPeers, []byte("all"))
	transport.SendGossip(1, make([]byte, MaxDatagram+1))
	transport.SendGossip(0, []byte("self"))
	out, buf := &transporttest.Transcript{}, make([]byte, MaxDatagram+1)
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(transporttest.WaitTimeout)))
	for range 2 {
		n, err := peer.Read(buf)
		require.NoError(t, err)
		out.Add("<", string(buf[:n]))
	}
	out.Add("=", transport.String())
	golden.Equal(t, "testdata/gossip.txt", []byte(out.String()))
}

package drill

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEchoServer returns the address of a server that sends back the bytes that it reads from each connection.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// A relay holds bytes back while their direction is blocked, and forwards them after that. ResetConnections ends open
// connections.
func TestRelayBlocksEachDirectionByItself(t *testing.T) {
	relay, err := NewRelay(startEchoServer(t))
	require.NoError(t, err)
	defer relay.Close()
	connection, err := net.Dial("tcp4", relay.Addr())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	send := func(message string) {
		_, err := connection.Write([]byte(message))
		require.NoError(t, err)
	}
	receives := func(message string, timeout time.Duration) bool {
		buffer := make([]byte, len(message))
		_ = connection.SetReadDeadline(time.Now().Add(timeout))
		_, err := io.ReadFull(connection, buffer)
		return err == nil && string(buffer) == message
	}
	send("a")
	require.True(t, receives("a", 10*time.Second))
	for _, blocked := range []struct{ toTarget, fromTarget bool }{{true, false}, {false, true}, {true, true}} {
		relay.Block(blocked.toTarget, blocked.fromTarget)
		send("b")
		require.False(t, receives("b", 100*time.Millisecond), "while blocked")
		relay.Block(false, false)
		require.True(t, receives("b", 10*time.Second), "lost")
	}
	relay.ResetConnections()
	require.False(t, receives("c", 10*time.Second))
}

package netconn

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a stall of the process beyond a connection's deadline, requests that have arrived meanwhile must be read, as closing
// the connection would reset it. A read without bytes still times out.
func TestArrivedDataIsReadAfterDeadline(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	conn := New(server, SmallBuffer)
	past := time.Now().Add(-time.Second)
	_, err = conn.Read(t.Context(), past)
	require.True(t, IsTimeout(err), "no bytes have arrived")
	_, err = client.Write([]byte("a request\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		b, err := conn.Read(t.Context(), past)
		return err == nil && string(b) == "a request\n"
	}, 10*time.Second, time.Millisecond)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Write([]byte("late\n"))
	require.NoError(t, err)
	_, err = conn.Read(ended, past)
	require.Error(t, err, "no read after the end of ctx")
}

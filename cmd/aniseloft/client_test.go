package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// client is a client's JSON-RPC connection to the coordinator.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dialClient(t *testing.T, addr string) *client {
	var c net.Conn
	require.Eventually(t, func() (ok bool) {
		var err error
		c, err = net.Dial("tcp", addr)
		return err == nil
	}, maxWait, 5*time.Millisecond)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(2*maxWait)))
	return &client{c, t, bufio.NewReader(c)}
}

func (c *client) send(line string) {
	_, err := io.WriteString(c, line+"\n")
	require.NoError(c.t, err)
}

func (c *client) readLine() string {
	s, err := c.reader.ReadString('\n')
	require.NoError(c.t, err)
	return s
}

func (c *client) call(line string) string { c.send(line); return c.readLine() }

func queryLine(id int, class, statement string, timeoutMS int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"call":"%016x","ttl":%d,"work":500,"ram":4,"doc":%q}}`,
		id, class, time.Now().UnixNano(), timeoutMS, base64.StdEncoding.EncodeToString([]byte(statement)))
}

// answerText returns the text of the result in an answer.
func answerText(t *testing.T, line string) string {
	var a struct {
		Result struct{ Doc string }
	}
	require.NoError(t, json.Unmarshal([]byte(line), &a), line)
	b, err := base64.StdEncoding.DecodeString(a.Result.Doc)
	require.NoError(t, err)
	return string(b)
}

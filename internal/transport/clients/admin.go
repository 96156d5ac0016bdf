package clients

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"aniseloft/internal/protocol/admin"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/netconn"
)

const (
	// MaxAdminConnections is the maximum number of concurrent admin connections, whatever the limit
	// of file descriptors; a further connection evicts the oldest one. The descriptors of admin
	// connections are reserved for the program itself and do not count against those for clients and
	// endpoints.
	MaxAdminConnections = 16
	// adminCallTimeout is how long a caller may take to send its line. A caller that keeps a
	// connection open for 4 s without a complete call only uses up its own connection.
	adminCallTimeout = 5 * time.Second
	// adminWriteTimeout limits the write of the answer.
	adminWriteTimeout = time.Second
)

// AdminServer serves the operators' calls on the second address, one call per connection.
type AdminServer struct {
	// Execute executes a call and returns its answer. It must not wait for the request path: the
	// answer is due within 1 s under any load.
	Execute func(admin.Command) []byte
	Log     *slog.Logger
}

// Serve reads the single call of a connection and answers it.
func (s *AdminServer) Serve(ctx context.Context, c *listener.Conn) {
	stop := context.AfterFunc(ctx, func() { netconn.InterruptRead(c) })
	defer stop()
	if err := c.SetReadDeadline(time.Now().Add(adminCallTimeout)); err != nil {
		return
	}
	answer := s.readCall(ctx, c)
	if answer == nil {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(adminWriteTimeout))
	_, _ = c.Write(answer)
}

// readCall reads from a connection until a call is complete, executes it and returns the answer. Input
// that is not a valid call is answered with an error. It returns nil where no answer is to be sent.
func (s *AdminServer) readCall(ctx context.Context, c *listener.Conn) (answer []byte) {
	var parser admin.Parser
	buf := make([]byte, admin.MaxLineBytes)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			if call, done, invalid := parser.Feed(buf[:n]); done && invalid != nil {
				return admin.Nak(invalid.Error())
			} else if done {
				return s.execute(call)
			}
			continue
		}
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return nil
		case netconn.IsTimeout(err):
			return admin.Nak(parser.Finish().Error() + " in time")
		case errors.Is(err, io.EOF): // the caller closed its side before the end of the line
			return admin.Nak(parser.Finish().Error())
		default:
			return nil
		}
	}
}

func (s *AdminServer) execute(call admin.Command) []byte {
	answer := s.Execute(call)
	s.Log.Info("admin call", "call", call.String(), "answer", string(answer[:len(answer)-1]))
	return answer
}

package coordination

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	acceptBackoff = 50 * time.Millisecond // pause after an error of Accept, such as too many open files
	maxConns      = 1024                  // maximum number of open accepted connections
)

// accept serves connections from other replicas, clients and operators until ctx ends.
func (h *replicaHost) accept(ctx context.Context) {
	stopCloser := context.AfterFunc(ctx, func() { _ = h.listener.Close() })
	defer stopCloser()
	slots := make(chan struct{}, maxConns)
	for {
		socket, err := h.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptBackoff)
			continue
		}
		select {
		case slots <- struct{}{}:
			c := h.node.serve(ctx, socket, h.handleFrame)
			go func() { <-c.closed; <-slots }()
		default:
			_ = socket.Close()
		}
	}
}

package coordination

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"aniseloft/internal/protocol/fleet"
)

const (
	writeTimeout    = 2 * time.Second // a peer that reads nothing for this long is disconnected
	maxQueueLength  = 256             // frames queued per connection, and tasks queued for the replica; further ones are dropped
	readBufferBytes = 16 << 10        // bytes per read
)

// frameHandler handles a frame on the reader goroutine of its connection. An error closes the connection.
type frameHandler func(*conn, fleet.Frame) error

// conn is a connection with a queue of frames to write. It is safe for concurrent use.
type conn struct {
	socket    net.Conn
	frames    chan []byte   // encoded frames that wait for the writer goroutine
	closed    chan struct{} // closed by close
	closeOnce sync.Once     // guards close
	counters  *counters
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.socket.Close()
	})
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// send queues a frame. If the queue is full because the peer does not read, the frame is dropped.
func (c *conn) send(frame []byte) {
	select {
	case c.frames <- frame:
	default:
		c.counters.droppedFrames.Add(1)
	}
}

// serve starts the reader and the writer goroutine of a connection. Both end when the connection
// closes, which it does on an error and when ctx ends.
func (n *Node) serve(ctx context.Context, socket net.Conn, handle frameHandler) *conn {
	c := &conn{socket: socket, frames: make(chan []byte, maxQueueLength), closed: make(chan struct{}), counters: &n.counters}
	stop := context.AfterFunc(ctx, c.close)
	go c.write()
	go func() {
		defer stop()
		defer c.close()
		if err := c.read(fleet.NewDecoder(n.installation), handle); err != nil {
			n.logRejected(c, err)
		}
	}()
	return c
}

func (c *conn) write() {
	defer c.close()
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.frames:
			_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.socket.Write(frame); err != nil {
				return
			}
			c.counters.bytesWritten.Add(int64(len(frame)))
		}
	}
}

// read handles frames until the connection ends. It returns an error only if the peer violated the protocol.
func (c *conn) read(decoder *fleet.Decoder, handle frameHandler) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := c.socket.Read(buf)
		c.counters.bytesRead.Add(int64(n))
		frames, err := decoder.Feed(buf[:n])
		for _, f := range frames {
			if err == nil {
				err = handle(c, f)
			}
		}
		if err != nil {
			return err
		}
		if readErr != nil {
			return nil
		}
	}
}

// logRejected logs a connection whose peer violated the protocol. A connection from another installation is logged only
// if it is the first rejected connection, as its peer keeps reconnecting.
func (n *Node) logRejected(c *conn, err error) {
	isFirst := n.counters.rejectedConns.Add(1) == 1
	if isFirst || !errors.Is(err, fleet.ErrOtherInstallation) {
		n.Log.Warn("fleet connection rejected", "remote", c.socket.RemoteAddr().String(), "reason", err)
	}
}

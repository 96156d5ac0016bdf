// Package netconn reads and writes connections with deadlines, and inspects their state without reading. The
// packages for clients, endpoints and discovery share it. It implements no protocol.
package netconn

import (
	"bufio"
	"context"
	"net"
	"net/textproto"
	"time"
)

// Sizes of a connection's read buffer, in bytes. They are small, as hundreds of connections are open at a time
// and most messages are short; a result page with its header should still fit into one read.
const (
	SmallBuffer = 2 << 10
	PageBuffer  = 8 << 10
)

// lateDataWait is how long a read whose deadline has passed still waits for bytes that have already arrived.
const lateDataWait = time.Millisecond

// Conn is a buffered connection. At most one goroutine may read and one goroutine may write at a time; Interrupt and
// Close may be called from any goroutine.
type Conn struct {
	raw  net.Conn
	text *textproto.Conn
}

// New returns a buffered connection over raw, which it owns from then on. readBuffer is the size of the
// read buffer in bytes.
func New(raw net.Conn, readBuffer int) *Conn {
	return &Conn{raw: raw, text: &textproto.Conn{Reader: textproto.Reader{R: bufio.NewReaderSize(raw, readBuffer)},
		Writer: textproto.Writer{W: bufio.NewWriterSize(raw, SmallBuffer)}}}
}

// Raw returns the underlying connection.
func (c *Conn) Raw() net.Conn { return c.raw }

// Close closes the connection. Bytes in the write buffer are lost.
func (c *Conn) Close() error { return c.raw.Close() }

// Interrupt makes current reads and writes fail with a timeout, and later ones too until a new deadline is
// set.
func (c *Conn) Interrupt() { _ = c.raw.SetDeadline(pastDeadline) }

// pastDeadline is a deadline that has always passed.
var pastDeadline = time.Unix(1, 0)

// InterruptRead makes current reads of a connection fail with a timeout, and later ones too until a new
// deadline is set.
func InterruptRead(c net.Conn) { _ = c.SetReadDeadline(pastDeadline) }

// Buffer appends bytes to the write buffer, which is sent when it is full.
func (c *Conn) Buffer(b []byte) error {
	_, err := c.text.W.Write(b)
	return err
}

// Flush sends the contents of the write buffer.
func (c *Conn) Flush() error { return c.text.W.Flush() }

// Write sends bytes within the deadline. A connection keeps the deadline of the previous call, so each call
// sets its own. It checks ctx only after that: the end of ctx sets a deadline in the past, which must not
// be overwritten unnoticed.
func (c *Conn) Write(ctx context.Context, b []byte, deadline time.Time) error {
	if err := c.raw.SetWriteDeadline(deadline); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.Buffer(b); err != nil {
		return err
	}
	return c.Flush()
}

// Read waits for bytes until the deadline and returns those that the read buffer holds. They are valid until
// the next read.
func (c *Conn) Read(ctx context.Context, deadline time.Time) ([]byte, error) {
	if c.text.R.Buffered() == 0 {
		if err := c.fill(ctx, deadline); err != nil {
			return nil, err
		}
	}
	b, err := c.text.R.Peek(c.text.R.Buffered())
	if err != nil {
		return nil, err
	}
	_, err = c.text.R.Discard(len(b))
	return b, err
}

// fill waits until the read buffer holds at least one byte.
func (c *Conn) fill(ctx context.Context, deadline time.Time) error {
	if err := c.raw.SetReadDeadline(deadline); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	_, err := c.text.R.Peek(1)
	if !IsTimeout(err) || ctx.Err() != nil {
		return err
	}
	// After a stall of the process, the deadline may have passed while bytes have arrived: they are still read.
	if err := c.raw.SetReadDeadline(time.Now().Add(lateDataWait)); err != nil {
		return err
	}
	_, err = c.text.R.Peek(1)
	return err
}

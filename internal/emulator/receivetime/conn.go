// Package receivetime reads from TCP connections and records when the kernel received the bytes. An observer that uses
// these times does not mistake its own delay on a busy machine for a delay of the other side.
package receivetime

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection that records when its bytes arrived. One goroutine may read and one may write at a time; any
// goroutine may ask for the times.
type Conn struct {
	*net.TCPConn
	rawConn syscall.RawConn

	mu             sync.Mutex // guards the fields below
	latestRead     time.Time  // value that LatestRead returns
	messageBegan   time.Time  // value that MessageBegan returns
	atMessageStart bool       // the next bytes that are read begin a message
}

// New enables the kernel's receive time stamps on a connection, which the returned Conn owns from then on. The kernel
// starts to take time stamps some milliseconds after they are first enabled; bytes that arrived before get the time of
// their Read.
func New(c *net.TCPConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("enable receive time stamps: %w", err)
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err = errors.Join(err, optionErr); err != nil {
		return nil, fmt.Errorf("enable receive time stamps: %w", err)
	}
	return &Conn{TCPConn: c, rawConn: raw, atMessageStart: true}, nil
}

// Read reads like net.TCPConn, and records when the bytes arrived.
func (c *Conn) Read(b []byte) (n int, err error) {
	var control [64]byte
	var controlSize int
	waitErr := c.rawConn.Read(func(fd uintptr) bool {
		for {
			n, controlSize, _, _, err = unix.Recvmsg(int(fd), b, control[:], unix.MSG_DONTWAIT)
			if !errors.Is(err, unix.EINTR) {
				return !errors.Is(err, unix.EAGAIN)
			}
		}
	})
	switch {
	case waitErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: waitErr}
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	c.recordReceive(receiveTime(control[:controlSize]))
	return n, nil
}

// receiveTime decodes the kernel's time stamp. Without one it returns the current time.
func receiveTime(control []byte) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err == nil {
		for _, m := range messages {
			if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SCM_TIMESTAMPNS && len(m.Data) >= int(unsafe.Sizeof(unix.Timespec{})) {
				stamp := *(*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
				return time.Unix(stamp.Unix())
			}
		}
	}
	return time.Now().Round(0)
}

// recordReceive records the arrival of the bytes that were just read.
func (c *Conn) recordReceive(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latestRead = at
	if c.atMessageStart {
		c.messageBegan, c.atMessageStart = at, false
	}
}

// Write writes like net.TCPConn. The next bytes that are read begin a message.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.atMessageStart = true // set before the Write, so that an early answer counts as a new message
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

// LatestRead returns the arrival time of the last Read's newest bytes. The kernel merges bytes that are not read yet, so
// other bytes of that Read may have arrived earlier.
func (c *Conn) LatestRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestRead
}

// MessageBegan returns the arrival time of the first bytes that were read since the last Write. If the two sides of the
// connection take turns, this is when the other side's message began to arrive.
func (c *Conn) MessageBegan() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.messageBegan
}

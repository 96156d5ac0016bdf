package netconn

import (
	"net"
	"time"
)

// MaxLinger is the maximum number of bytes that a lingering close discards on one connection.
const MaxLinger = 1 << 20

// Linger is the first half of a lingering close: it closes this side's sending half and discards bytes that
// still arrive, up to MaxLinger bytes and for the given time. Closing a connection with unread bytes would
// reset it, and the peer would lose answers in transit. The caller then closes the connection.
func Linger(c net.Conn, timeout time.Duration) {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	b := make([]byte, SmallBuffer)
	for left := MaxLinger; left > 0; {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
}

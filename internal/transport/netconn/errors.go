package netconn

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// IsTimeout reports whether err was caused by a passed deadline.
func IsTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// IsReset reports whether err was caused by the peer resetting the connection.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// IsDialError reports whether err was caused by a failure to establish a connection.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Earlier returns the earlier of two deadlines.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

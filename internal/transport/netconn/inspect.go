package netconn

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer has closed its sending half or the connection has failed, even while
// unread bytes precede the close.
func PeerClosed(c net.Conn) bool {
	poll := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err := withDescriptor(c, func(fd int) {
		poll[0].Fd = int32(fd)
		_, _ = unix.Poll(poll, 0)
	})
	return err != nil && !errors.Is(err, errors.ErrUnsupported) || poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// HasUnread reports whether the kernel's receive buffer holds unread bytes.
func HasUnread(c net.Conn) bool {
	n, _ := peek(c)
	return n > 0
}

// IsReusable reports whether an idle connection can be used for another call: the peer has neither closed it nor sent
// unsolicited bytes. A close that has not arrived yet is not detected.
func IsReusable(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// peek checks, without waiting, for an unread byte: n is 1 if there is an unread byte, and 0 with a nil error if
// the peer has closed the connection. The error is EAGAIN if there is no unread byte and no close. peek uses the
// descriptor, as Read would fail on a connection whose last deadline has passed.
func peek(c net.Conn) (n int, err error) {
	cerr := withDescriptor(c, func(fd int) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if errors.Is(cerr, errors.ErrUnsupported) {
		return 0, syscall.EAGAIN
	}
	if cerr != nil {
		return 0, cerr
	}
	return max(n, 0), err
}

// withDescriptor calls f with the descriptor of a connection. It returns errors.ErrUnsupported for a connection
// without one.
func withDescriptor(c net.Conn, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

package netconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ReusePort is a net.ListenConfig.Control function that lets another process listen at the same address. During
// an upgrade the kernel distributes new connections and datagrams between the two processes.
func ReusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if ctl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); ctl != nil {
		return ctl
	}
	return err
}

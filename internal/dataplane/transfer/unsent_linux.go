package transfer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// LimitUnsent limits the data of a TCP connection that the kernel holds and has not sent yet. Without
// it, the kernel accepts the whole body of a slow reader, whose bytes are then charged to the link
// although they do not use it. Data on its way is not limited.
func LimitUnsent(conn net.Conn) {
	direct, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := direct.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { // without the limit, the connection works too
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

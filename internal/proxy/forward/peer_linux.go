package forward

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// The states of a TCP connection whose peer has closed or reset it, as in
// TCP_INFO (include/net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// PeerClosed reports whether the peer has ended its direction of a TCP connection,
// or reset it, even if bytes from before wait to be read. It is false for other
// connections and where the system cannot tell.
func PeerClosed(conn net.Conn) bool {
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	closed := false
	err := raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait || info.State == tcpLastAck)
	})
	return err == nil && closed
}

func rawConn(conn net.Conn) (syscall.RawConn, bool) {
	for {
		if direct, ok := conn.(syscall.Conn); ok {
			raw, err := direct.SyscallConn()
			return raw, err == nil
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = wrapped.NetConn()
	}
}

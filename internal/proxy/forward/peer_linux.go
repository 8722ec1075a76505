package forward

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection whose peer has closed or reset it, as in TCP_INFO
// (include/net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// PeerClosed reports whether the peer of a TCP connection has closed its sending
// direction or reset the connection, even if earlier bytes are still unread. It
// returns false for other connections and if the kernel cannot tell.
func PeerClosed(conn net.Conn) bool {
	state, known := tcpState(conn)
	return known && (state == tcpClose || state == tcpCloseWait || state == tcpLastAck)
}

// PeerReset reports whether the peer of an open TCP connection has reset it, even if the error was already
// reported to a read or write. It returns false for other connections and if the kernel cannot tell.
func PeerReset(conn net.Conn) bool {
	state, known := tcpState(conn)
	return known && state == tcpClose
}

func tcpState(conn net.Conn) (state uint8, known bool) {
	raw, ok := rawConn(conn)
	if !ok {
		return 0, false
	}
	err := raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state, known = info.State, true
		}
	})
	return state, known && err == nil
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

package client

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// isOpenAndEmpty reports whether an idle connection is open and has no data to read.
func isOpenAndEmpty(conn net.Conn) bool {
	direct, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := direct.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// The TCP timeouts after which a connection to an unresponsive peer fails.
const (
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveIdle         = time.Second
	keepAliveInterval     = 500 * time.Millisecond
	keepAliveCount        = 3
)

// DialRemote establishes a connection to another machine. If the machine or the network
// fails, the connection soon returns errors instead of hanging.
func DialRemote(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(descriptor uintptr) {
				failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unacknowledgedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return dialer.DialContext(ctx, network, address)
}

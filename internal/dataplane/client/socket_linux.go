package client

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// isSilent reports whether a resting connection is open and nothing came on it.
func isSilent(conn net.Conn) bool {
	direct, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := direct.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// The times after which a peer that says nothing is given up.
const (
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveIdle         = time.Second
	keepAliveInterval     = 500 * time.Millisecond
	keepAliveCount        = 3
)

// DialRemote makes a connection to another machine that fails soon after the
// machine or the network between is gone, instead of hanging.
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

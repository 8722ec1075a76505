//go:build !linux

package transfer

import "net"

// LimitUnsent has no effect on this system.
func LimitUnsent(net.Conn) {}

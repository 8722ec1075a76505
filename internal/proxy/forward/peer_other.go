//go:build !linux

package forward

import "net"

// PeerClosed returns false, as the state is not available on this platform.
func PeerClosed(net.Conn) bool { return false }

// PeerReset returns false, as the state is not available on this platform.
func PeerReset(net.Conn) bool { return false }

package server

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const canReadDescriptors = true

func readDescriptor(descriptor uintptr, data []byte) (int, error) {
	return syscall.Read(int(descriptor), data)
}

// hasUnread reports whether a socket has data to read.
func hasUnread(descriptor uintptr) bool {
	var one [1]byte
	count, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && count > 0
}

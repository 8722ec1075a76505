//go:build !linux

package server

import "syscall"

const canReadDescriptors = false

// readDescriptor is not used on this system.
func readDescriptor(uintptr, []byte) (int, error) { return 0, syscall.EINVAL }

// hasUnread is not used on this system.
func hasUnread(uintptr) bool { return false }

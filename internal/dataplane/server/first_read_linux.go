package server

import "syscall"

const canReadDescriptors = true

func readDescriptor(descriptor uintptr, data []byte) (int, error) {
	return syscall.Read(int(descriptor), data)
}

//go:build !linux

package process

// awaitStopped does nothing: only Linux tells when a process has stopped.
func awaitStopped(int) error { return nil }

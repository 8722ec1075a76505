//go:build !linux

package process

// awaitStopped does nothing: only on Linux can it be observed that a process has stopped.
func awaitStopped(int) error { return nil }

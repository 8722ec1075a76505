package cli

import (
	"os"
	"runtime/debug"

	"github.com/winchhead/winchhead/internal/settings"
)

const (
	// heapShare of the machine's memory is what the runtime may take before it collects
	// garbage as often as it must. The rest is for what it does not count: the kernel's
	// buffers of connections, threads' stacks of C, bytes that came and are not yet read.
	heapShare = 0.7
	// bytesPerMegabyte turns the setting node.memory_mb to bytes.
	bytesPerMegabyte = 1 << 20
	// variableMemoryLimit is the runtime's own setting, which goes first.
	variableMemoryLimit = "GOMEMLIMIT"
)

// memoryLimit is the limit of the runtime on a machine with that much memory; zero: none
// of our own.
func memoryLimit(configured settings.Node) int64 {
	return int64(heapShare * configured.MemoryMb * bytesPerMegabyte)
}

// limitMemory makes the runtime keep to the machine's memory.
func limitMemory(configured settings.Node) {
	_, given := os.LookupEnv(variableMemoryLimit)
	if limit := memoryLimit(configured); limit > 0 && !given {
		debug.SetMemoryLimit(limit)
	}
}

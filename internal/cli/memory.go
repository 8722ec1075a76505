package cli

import (
	"os"
	"runtime/debug"

	"github.com/winchhead/winchhead/internal/settings"
)

const (
	// goMemoryShare is the share of the configured memory that is set as the memory limit of the
	// Go runtime, above which it collects garbage as often as necessary. The rest is for what the
	// limit does not count: kernel buffers of connections, including data received but not yet
	// read, and the C stacks of threads.
	goMemoryShare = 0.7
	// bytesPerMegabyte converts the setting node.memory_mb to bytes.
	bytesPerMegabyte = 1 << 20
	// memoryLimitVariable sets the limit of the runtime. It takes precedence.
	memoryLimitVariable = "GOMEMLIMIT"
)

// memoryLimit returns the memory limit of the runtime for the configured memory, or 0 for no
// limit.
func memoryLimit(configured settings.Node) int64 {
	return int64(goMemoryShare * configured.MemoryMb * bytesPerMegabyte)
}

// limitMemory sets the memory limit of the runtime, unless the environment does.
func limitMemory(configured settings.Node) {
	_, isSet := os.LookupEnv(memoryLimitVariable)
	if limit := memoryLimit(configured); limit > 0 && !isSet {
		debug.SetMemoryLimit(limit)
	}
}

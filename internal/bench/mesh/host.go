package mesh

import (
	"fmt"
	"os"
	"runtime"
	"sync/atomic"
)

// started counts the meshes of this process.
var started atomic.Uint32

// NextHost returns a loopback IP. Linux answers on all of 127.0.0.0/8, so each
// mesh of each process gets one of its own and fixed ports never collide.
// Elsewhere there is only 127.0.0.1.
func NextHost() string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1"
	}
	const octets, usable = 256, 254
	process := uint32(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d", 1+process/octets%usable, process%octets, 1+started.Add(1)%usable)
}

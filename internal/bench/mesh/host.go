package mesh

import (
	"fmt"
	"os"
	"runtime"
	"sync/atomic"
)

// hostsUsed counts the loopback IPs that this process has used.
var hostsUsed atomic.Uint32

// NextHost returns a loopback IP for a mesh. Linux has all of 127.0.0.0/8, so each
// mesh of each process gets its own IP and fixed ports don't collide. Other systems
// have only 127.0.0.1.
func NextHost() string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1"
	}
	const octets, usable = 256, 254
	process := uint32(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d", 1+process/octets%usable, process%octets, 1+hostsUsed.Add(1)%usable)
}

package storesoak

import (
	"context"

	"github.com/winchhead/winchhead/internal/bench/process"
)

// cpuLoadScript keeps one CPU busy until its parent process has exited.
const cpuLoadScript = "while kill -0 $PPID; do i=0; while [ $i -lt 100000 ]; do i=$((i+1)); done; done"

// startCPULoad starts processes that each keep one CPU busy; stop kills them.
func startCPULoad(ctx context.Context, count int) (stop func(), err error) {
	var running []*process.Process
	stop = func() {
		for _, each := range running {
			_ = each.Kill()
		}
	}
	for range count {
		each := process.New("/bin/sh", []string{"-c", cpuLoadScript}, nil)
		if err := each.Start(); err != nil {
			stop()
			return nil, err
		}
		running = append(running, each)
	}
	return stop, ctx.Err()
}

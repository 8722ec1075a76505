// Command winchhead-bench tests and measures winchhead. It contains emulators of the
// platform and of backends, a load generator, runs of whole example deployments with
// injected faults, and experiments with the number of nodes of large fleets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/winchhead/winchhead/internal/bench/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

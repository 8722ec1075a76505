// Command winchhead-bench rehearses winchhead: stand-ins for the platform and for
// back ends, a load generator, whole example deployments under faults, and
// experiments at the size of large fleets.
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

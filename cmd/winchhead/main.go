// Command winchhead runs a node, which distributes configuration to the proxies of a
// service mesh and proxies requests, and provides the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/winchhead/winchhead/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

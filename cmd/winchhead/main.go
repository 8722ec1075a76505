// Command winchhead runs a node that distributes configuration to the proxies of
// a service mesh, and the commands of its operators.
package main

import (
	"context"
	"os"

	"github.com/winchhead/winchhead/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

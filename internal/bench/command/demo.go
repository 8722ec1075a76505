package command

import (
	"fmt"
	"path/filepath"

	"github.com/winchhead/winchhead/internal/bench/demo"
	"github.com/winchhead/winchhead/internal/bench/deployment"
)

const demoHelp = "Runs the Montevideo example in this process over loopback TCP: submits a policy, revises it, " +
	"revises it with an error and withdraws it, checks each state with requests, and exits with 0 only if all checks succeeded."

// demoDeployment is the example deployment that the demo runs.
const demoDeployment = "montevideo"

// exampleFlags are the flags that locate the example deployments.
type exampleFlags struct {
	Examples string `long:"examples" default:"examples" value-name:"DIR" description:"directory of the example deployments"`
}

func (f exampleFlags) load(name string) (*deployment.Deployment, error) {
	return deployment.Load(filepath.Join(f.Examples, name))
}

// demoCommand runs the demo.
type demoCommand struct {
	environment
	exampleFlags
	Verbose bool `long:"verbose" description:"print what the nodes log"`
}

// Execute runs the demo and prints its steps.
func (c *demoCommand) Execute([]string) error {
	plan, err := c.load(demoDeployment)
	if err != nil {
		return err
	}
	options := demo.Options{Deployment: plan, Output: c.stdout}
	if c.Verbose {
		options.Logs = c.stderr
	}
	_, _ = fmt.Fprintf(c.stdout, "winchhead demo: %s, %d nodes\n", plan.Name, len(plan.Nodes))
	return demo.Run(c.ctx, options)
}

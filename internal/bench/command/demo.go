package command

import (
	"fmt"
	"path/filepath"

	"github.com/winchhead/winchhead/internal/bench/demo"
	"github.com/winchhead/winchhead/internal/bench/deployment"
)

const demoHelp = "Runs Montevideo in this process over loopback TCP: submits a policy, revises it, " +
	"revises it badly and withdraws it, tries each state with requests, and exits with 0 only if all held."

// demoDeployment is the example that the demo shows.
const demoDeployment = "montevideo"

// exampleFlags say where the example deployments are.
type exampleFlags struct {
	Examples string `long:"examples" default:"examples" value-name:"DIR" description:"directory of the example deployments"`
}

func (f exampleFlags) load(name string) (*deployment.Deployment, error) {
	return deployment.Load(filepath.Join(f.Examples, name))
}

// demoCommand shows the main job.
type demoCommand struct {
	environment
	exampleFlags
	Verbose bool `long:"verbose" description:"print what the nodes log"`
}

// Execute runs the demo.
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

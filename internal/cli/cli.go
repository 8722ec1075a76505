// Package cli implements the command line of winchhead: the subcommands, one per
// file, their output as text or JSON, and the exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// environment holds the context and output streams of a subcommand.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// subcommand describes one subcommand to the parser.
type subcommand struct {
	name    string
	short   string
	long    string
	command flags.Commander
}

// Run parses the arguments (without the program's name), runs the subcommand and
// returns the exit code. Cancelling ctx starts a graceful shutdown of a node.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	env := environment{ctx: ctx, stdout: stdout, stderr: stderr}
	parser, err := newParser(env)
	if err != nil {
		panic(err)
	}
	_, err = parser.ParseArgs(arguments)
	return reportError(env, err)
}

func newParser(env environment) (*flags.Parser, error) {
	parser := flags.NewNamedParser("winchhead", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Winchhead distributes configuration to the proxies of a service mesh."
	node := &nodeCommand{environment: env}
	showSettings := &settingsCommand{environment: env}
	subcommands := []subcommand{
		{"node", "Run a node", nodeHelp, node},
		{"check", "Compile policies without a node", checkHelp, &checkCommand{environment: env}},
		{"explain", "Show where a node would send a request", explainHelp, &explainCommand{environment: env}},
		{"status", "Show which version each node holds", statusHelp, &statusCommand{environment: env}},
		{"suspects", "Show which requests may crash instances, or let one in again", suspectsHelp, &suspectsCommand{environment: env}},
		{"statements", "Show the instances that limit their requests or leave", statementsHelp, &statementsCommand{environment: env}},
		{"faults", "Show what is not used of the configuration in force", faultsHelp, &faultsCommand{environment: env}},
		{"tenants", "Show the tenants and what they use of their quotas", tenantsHelp, &tenantsCommand{environment: env}},
		{"watch", "Wait until a revision is in force everywhere", watchHelp, &watchCommand{environment: env}},
		{"trace", "Show what the logs tell of one request", traceHelp, &traceCommand{environment: env}},
		{"convergence", "Show how fast changes came into force, and at what cost", convergenceHelp, &convergenceCommand{environment: env}},
		{"losses", "Show which requests were not served in time, and why", lossesHelp, &lossesCommand{environment: env}},
		{"settings", "Show the effective settings and their origin", settingsHelp, showSettings},
		{"version", "Show the build", "Prints the version of the program and of Go.", &versionCommand{environment: env}},
	}
	added := map[string]*flags.Command{}
	for _, description := range subcommands {
		command, err := parser.AddCommand(description.name, description.short, description.long, description.command)
		if err != nil {
			return nil, err
		}
		added[description.name] = command
	}
	if err := addSettingsFlags(added["node"], &node.settingsFlags); err != nil {
		return nil, err
	}
	return parser, addSettingsFlags(added["settings"], &showSettings.settingsFlags)
}

// reportError prints err, with advice if there is any, and returns the exit code. A
// request for help is not an error.
func reportError(env environment, err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(env.stdout, usage.Message)
		return ExitOK
	}
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintln(env.stderr, "winchhead:", err)
		if next := advice(err); next != "" {
			_, _ = fmt.Fprintln(env.stderr, next)
		}
	}
	return exitCode(err)
}

// Package command implements the command line of winchhead-bench: the subcommands,
// each in its own file, and the exit codes.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// The exit codes of winchhead-bench.
const (
	// ExitOK means that the command succeeded and no guarantee was violated.
	ExitOK = 0
	// ExitFailure means that a guarantee was violated or that the command failed.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

// environment holds the context and the output streams of a subcommand.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// progress prints a line about the progress of a long run if stderr is a terminal.
func (e environment) progress(line string) {
	file, ok := e.stderr.(*os.File)
	if !ok {
		return
	}
	info, err := file.Stat()
	if err == nil && info.Mode()&os.ModeCharDevice != 0 {
		_, _ = fmt.Fprintln(file, line)
	}
}

// subcommand describes one subcommand for the parser.
type subcommand struct {
	name, short, long string
	command           flags.Commander
}

// Run parses the arguments (without the program name), runs the subcommand and
// returns the exit code. Canceling ctx makes the subcommand stop in an orderly way.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	env := environment{ctx: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("winchhead-bench", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "winchhead-bench tests and measures winchhead with emulators of the platform and of back ends."
	for _, description := range subcommands(env) {
		if _, err := parser.AddCommand(description.name, description.short, description.long, description.command); err != nil {
			panic(err) // an invalid struct tag in this package
		}
	}
	_, err := parser.ParseArgs(arguments)
	return report(env, err)
}

func subcommands(env environment) []subcommand {
	return []subcommand{
		{"platform", "Run the emulated platform", platformHelp, &platformCommand{environment: env}},
		{"demo", "Demonstrate policy changes on the Montevideo example", demoHelp, &demoCommand{environment: env}},
		{"overhead", "Measure the latency that the two proxy hops add", overheadHelp, &overheadCommand{environment: env}},
		{"load", "Measure goodput below and above the capacity", loadHelp, &loadCommand{environment: env}},
		{"soak", "Run the examples under random faults", soakHelp, &soakCommand{environment: env}},
		{"store-soak", "Run a fleet with a store under random faults", storeSoakHelp, &storeSoakCommand{environment: env}},
		{"backend", "Run an emulated back end", backendHelp, &backendCommand{environment: env}},
	}
}

// report prints err and returns the exit code.
func report(env environment, err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(env.stdout, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(env.stderr, "winchhead-bench:", err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(env.stderr, "winchhead-bench:", err)
		return ExitFailure
	}
}

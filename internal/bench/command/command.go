// Package command owns the command line of winchhead-bench: one file a
// subcommand and the exit codes.
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
	// ExitOK: all that was promised held.
	ExitOK = 0
	// ExitBroken: a promise broke or an experiment could not be run to its end.
	ExitBroken = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
)

// environment is what a subcommand gets from the process.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// progress prints a line about a long run, if somebody watches a terminal.
func (e environment) progress(line string) {
	file, ok := e.stderr.(*os.File)
	if !ok {
		return
	}
	information, err := file.Stat()
	if err == nil && information.Mode()&os.ModeCharDevice != 0 {
		_, _ = fmt.Fprintln(file, line)
	}
}

// subcommand describes one subcommand to the parser.
type subcommand struct {
	name, short, long string
	command           flags.Commander
}

// Run parses the arguments (without the program's name), runs the subcommand and
// returns the exit code. Cancelling ctx ends it in order.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	env := environment{ctx: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("winchhead-bench", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "winchhead-bench rehearses winchhead with stand-ins for what surrounds it."
	for _, description := range subcommands(env) {
		if _, err := parser.AddCommand(description.name, description.short, description.long, description.command); err != nil {
			panic(err) // a wrong struct tag in this package
		}
	}
	_, err := parser.ParseArgs(arguments)
	return report(env, err)
}

func subcommands(env environment) []subcommand {
	return []subcommand{
		{"platform", "Run the emulated platform", platformHelp, &platformCommand{environment: env}},
		{"demo", "Show the main job on Montevideo", demoHelp, &demoCommand{environment: env}},
		{"overhead", "Measure what the two hops add", overheadHelp, &overheadCommand{environment: env}},
		{"load", "Measure goodput around the capacity", loadHelp, &loadCommand{environment: env}},
		{"soak", "Run random faults against the examples", soakHelp, &soakCommand{environment: env}},
		{"store-soak", "Run random faults against a fleet on a store", storeSoakHelp, &storeSoakCommand{environment: env}},
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
		return ExitBroken
	}
}

package command_test

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/command"
)

// TestExitCodes checks the exit codes, which scripts rely on. The context is already
// canceled, so that subcommands that serve requests stop at once.
func TestExitCodes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, row := range []struct {
		name      string
		arguments []string
		code      int
		shown     string
	}{
		{"help", []string{"--help"}, command.ExitOK, "soak"},
		{"help of a subcommand", []string{"load", "--help"}, command.ExitOK, "--depth"},
		{"no subcommand", nil, command.ExitUsage, "specify one command"},
		{"unknown subcommand", []string{"dance"}, command.ExitUsage, "dance"},
		{"unknown flag", []string{"demo", "--quickly"}, command.ExitUsage, "quickly"},
		{"missing flag", []string{"backend"}, command.ExitUsage, "listen"},
		{"unknown examples", []string{"demo", "--examples", "nowhere"}, command.ExitFailure, "nowhere"},
		{"back end", []string{"backend", "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"}, command.ExitOK, "back end backend listens on 127.0.0.1:"},
		{"platform", []string{"platform", "--listen", "127.0.0.1:0", "--operators", "127.0.0.1:0", "--content", "../../../examples/kerlann/content.yaml", "--members", "../../../examples/kerlann/settings/*.yaml"}, command.ExitOK, "platform listens on"},
		{"platform without content", []string{"platform", "--listen", "127.0.0.1:0", "--content", "nowhere.yaml"}, command.ExitFailure, "nowhere.yaml"},
	} {
		t.Run(row.name, func(t *testing.T) {
			var output bytes.Buffer
			code := command.Run(ctx, row.arguments, &output, &output)
			qt.Assert(t, code, qt.Equals, row.code, qt.Commentf("%s", &output))
			qt.Assert(t, output.String(), qt.Contains, row.shown)
		})
	}
}

package cli

import (
	"errors"
	"net"

	"github.com/jessevdk/go-flags"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/app"
	"github.com/winchhead/winchhead/internal/settings"
)

// The exit codes of winchhead. docs/OPERATIONS.md lists them.
const (
	// ExitOK: what was asked holds.
	ExitOK = 0
	// ExitRefused: a check failed, a revision was refused, or no route matches.
	ExitRefused = 1
	// ExitUsage: the command line or the settings are wrong.
	ExitUsage = 2
	// ExitUnreachable: the node asked gave no answer.
	ExitUnreachable = 3
	// ExitPending: the version is not, or not yet, in force everywhere.
	ExitPending = 4
	// ExitFailed: a part of the node failed and ended the process.
	ExitFailed = 5
	// ExitCutShort: a second signal ended a planned stop before its end.
	ExitCutShort = 6
)

// result is an error that carries the exit code of the process.
type result struct {
	code    int
	message string
}

// Error returns the message for the operator; it may be empty when the output
// already says everything.
func (r *result) Error() string { return r.message }

// exitCode returns the exit code that tells of err.
func exitCode(err error) int {
	var (
		ended       *result
		usage       *flags.Error
		fault       *settings.Error
		unusable    *app.SettingsError
		unreachable *admin.UnreachableError
		answer      *admin.AnswerError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &ended):
		return ended.code
	case errors.As(err, &usage), errors.As(err, &fault), errors.As(err, &unusable):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &answer):
		return ExitRefused
	default:
		return ExitFailed
	}
}

// advice tells the operator what to do next, or returns "".
func advice(err error) string {
	var (
		usage       *flags.Error
		unreachable *admin.UnreachableError
		network     *net.OpError
	)
	switch {
	case errors.As(err, &unreachable):
		return "Check that the node runs and that --admin is its admin.listen."
	case errors.As(err, &usage):
		return "Run the command with --help to see its options."
	case errors.As(err, &network) && network.Op == "listen":
		return "Free the address or set another one; 'winchhead settings' shows where it comes from."
	default:
		return ""
	}
}

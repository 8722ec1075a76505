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
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitRefused: a check failed, a revision was refused, or no route matches.
	ExitRefused = 1
	// ExitUsage: the command line or the settings are wrong.
	ExitUsage = 2
	// ExitUnreachable: the queried node did not respond.
	ExitUnreachable = 3
	// ExitPending: the version is not, or not yet, in force everywhere.
	ExitPending = 4
	// ExitFailed: a part of the node failed and ended the process.
	ExitFailed = 5
	// ExitCutShort: SIGINT cut a graceful shutdown short.
	ExitCutShort = 6
)

// exitError is an error that carries the exit code of the process.
type exitError struct {
	code    int
	message string
}

// Error returns the message for the operator, which is empty if the output already
// contains all information.
func (e *exitError) Error() string { return e.message }

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var (
		withCode    *exitError
		usage       *flags.Error
		invalid     *settings.Error
		unusable    *app.SettingsError
		unreachable *admin.UnreachableError
		response    *admin.ResponseError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &withCode):
		return withCode.code
	case errors.As(err, &usage), errors.As(err, &invalid), errors.As(err, &unusable):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &response):
		return ExitRefused
	default:
		return ExitFailed
	}
}

// advice returns what the operator can do about err, or "".
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

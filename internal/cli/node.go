package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/app"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/settings"
)

const nodeHelp = `Runs a node: beside a back end, as the settings' inbound section says, or alone as an entry for callers. Every setting can be given in the file or as a flag of the same name; flags win. SIGTERM or SIGINT stops the node in the planned way: it takes no new work, finishes what it has and leaves the fleet. A further SIGTERM changes nothing; SIGINT during the stop ends it at once. Exit codes: 0 planned stop, 2 wrong settings, 5 a part failed, 6 a planned stop was cut short.`

// logFlushTimeout is how long the process waits at its end for the last log lines to be
// written.
const logFlushTimeout = 200 * time.Millisecond

type nodeCommand struct {
	environment
	settingsFlags
}

// Execute runs the node until it is stopped.
func (c *nodeCommand) Execute([]string) error {
	hangups := catchSIGHUP()
	defer signal.Stop(hangups)
	loaded, err := c.load()
	if err != nil {
		return err
	}
	limitMemory(loaded.Node)
	logWriter := logging.NewWriter(c.stderr, logging.DefaultBufferBytes)
	defer logWriter.Close(logFlushTimeout)
	logger, err := logging.New(logWriter, loaded.Log.Level, loaded.Log.Format)
	if err != nil {
		return err
	}
	node, err := app.New(loaded.Settings, app.Options{Logger: logger})
	if err != nil {
		return err
	}
	ctx, release := stopOnSignal(c.ctx, logging.Part(logger, "node"), func() { logWriter.Close(logFlushTimeout) })
	defer release()
	settingsReloader := newReloader(&c.settingsFlags, loaded, logging.Part(logger, "settings"))
	settingsReloader.apply = func(next *settings.Loaded) {
		node.Reconfigure(next.Settings)
		logger.SetLevel(logLevel(next.Settings))
	}
	go settingsReloader.run(ctx, hangups)
	return node.Run(ctx)
}

// stopOnSignal returns a context that is cancelled by the first SIGTERM or SIGINT. A later SIGINT calls flush
// and exits the process; a later SIGTERM changes nothing, as supervisors repeat it.
func stopOnSignal(parent context.Context, logger logrus.FieldLogger, flush func()) (context.Context, func()) {
	const signalBuffer = 8
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(parent)
	go func() {
		stopping := false
		for received := range signals {
			switch {
			case !stopping:
				logger.Infof("received %s, stopping after the requests in progress", received)
				stopping = true
				cancel()
			case received == os.Interrupt:
				logger.Warnf("received %s again, exiting at once", received)
				flush()
				os.Exit(ExitCutShort)
			default:
				logger.Infof("received %s again, already stopping", received)
			}
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		cancel()
	}
}

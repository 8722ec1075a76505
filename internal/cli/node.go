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

const nodeHelp = `Runs a node: beside a back end, as the settings' inbound section says, or alone as an entry for callers. Every setting can be given in the file or as a flag of the same name; flags win. SIGTERM or SIGINT stops the node in the planned way: it takes no new work, finishes what it has and leaves the fleet; a second signal ends it at once. Exit codes: 0 planned stop, 2 wrong settings, 5 a part failed, 6 a planned stop was cut short.`

// lastLinesWait is how long the end of the process waits for its last log lines to
// be taken.
const lastLinesWait = 200 * time.Millisecond

type nodeCommand struct {
	environment
	settingsFlags
}

// Execute runs the node until it is stopped.
func (c *nodeCommand) Execute([]string) error {
	hangups := catchHangups()
	defer signal.Stop(hangups)
	loaded, err := c.load()
	if err != nil {
		return err
	}
	limitMemory(loaded.Node)
	lines := logging.NewWriter(c.stderr, logging.DefaultBacklogBytes)
	defer lines.Close(lastLinesWait)
	logger, err := logging.New(lines, loaded.Log.Level, loaded.Log.Format)
	if err != nil {
		return err
	}
	node, err := app.New(loaded.Settings, app.Options{Logger: logger})
	if err != nil {
		return err
	}
	ctx, release := stopOnSignal(c.ctx, logging.Part(logger, "node"), func() { lines.Close(lastLinesWait) })
	defer release()
	reloaded := newReloader(&c.settingsFlags, loaded, logging.Part(logger, "settings"))
	reloaded.apply = func(next *settings.Loaded) {
		node.Reconfigure(next.Settings)
		logger.SetLevel(levelOf(next.Settings))
	}
	go reloaded.run(ctx, hangups)
	return node.Run(ctx)
}

// stopOnSignal returns a context that ends at the first signal to stop. The
// second signal ends the process, after flush.
func stopOnSignal(parent context.Context, logger logrus.FieldLogger, flush func()) (context.Context, func()) {
	const signalsKept = 2
	signals := make(chan os.Signal, signalsKept)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case received := <-signals:
			logger.Infof("received %s, stopping in the planned way", received)
			cancel()
		case <-ctx.Done():
			return
		}
		received, open := <-signals
		if open {
			logger.Warnf("received %s again, ending at once", received)
			flush()
			os.Exit(ExitCutShort)
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		close(signals)
		cancel()
	}
}

package cli

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for changes
// that are not announced by SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloadableKeys are the keys, or sections ending in a dot, whose changes a running node
// applies; others need a restart.
var reloadableKeys = []string{"log.level", "retries."}

// reloader reloads the settings on SIGHUP and when their file changes.
type reloader struct {
	flags    *settingsFlags
	current  *settings.Loaded
	lastInfo os.FileInfo
	logger   logrus.FieldLogger
	apply    func(next *settings.Loaded)
}

func newReloader(flags *settingsFlags, current *settings.Loaded, logger logrus.FieldLogger) *reloader {
	created := &reloader{flags: flags, current: current, logger: logger, apply: func(*settings.Loaded) {}}
	created.fileChanged()
	return created
}

// catchSIGHUP delivers SIGHUP to the returned channel, so that it no longer ends the
// process.
func catchSIGHUP() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// run reloads the settings when necessary, until the context ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.fileChanged()
			r.reload("SIGHUP")
		case <-ticker.C:
			if r.fileChanged() {
				r.reload("the file changed")
			}
		}
	}
}

// fileChanged reports whether the settings file changed since the last call.
func (r *reloader) fileChanged() bool {
	if r.flags.File == "" {
		return false
	}
	now, err := os.Stat(r.flags.File)
	if err != nil {
		return false // the file may be missing while it is being replaced
	}
	before := r.lastInfo
	r.lastInfo = now
	return before != nil && (!now.ModTime().Equal(before.ModTime()) || now.Size() != before.Size())
}

// reload reads and applies the settings. If they are invalid, the current ones remain.
func (r *reloader) reload(cause string) {
	logger := r.logger.WithField("cause", cause)
	next, err := r.flags.load()
	if err != nil {
		logger.WithError(err).Error("could not reload the settings, keeping the current ones")
		return
	}
	applied, needRestart := changedKeys(r.current, next)
	r.current = next
	r.apply(next)
	logger.WithField("applied", strings.Join(applied, ",")).WithField("needs_restart", strings.Join(needRestart, ",")).Info("settings reloaded")
}

// changedKeys returns the keys that changed: those that a running node applies and those
// that need a restart.
func changedKeys(current, next *settings.Loaded) (applied, needRestart []string) {
	for _, field := range settings.Fields() {
		if field.Text(&current.Settings) == field.Text(&next.Settings) {
			continue
		}
		if slices.ContainsFunc(reloadableKeys, func(key string) bool { return strings.HasPrefix(field.Key, key) }) {
			applied = append(applied, field.Key)
		} else {
			needRestart = append(needRestart, field.Key)
		}
	}
	return applied, needRestart
}

// logLevel returns the log level of settings that were checked.
func logLevel(configured settings.Settings) logrus.Level {
	level, err := logrus.ParseLevel(configured.Log.Level)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

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

// settingsInterval is the time between two looks at the settings file, for changes
// that no signal tells of.
const settingsInterval = 2 * time.Second

// changeable are the keys, or sections ending in a dot, that a running node takes
// over; others need a restart.
var changeable = []string{"log.level", "retries."}

// reloader reads the settings again at SIGHUP and when their file changes.
type reloader struct {
	flags  *settingsFlags
	held   *settings.Loaded
	seen   os.FileInfo
	logger logrus.FieldLogger
	apply  func(next *settings.Loaded)
}

func newReloader(flags *settingsFlags, held *settings.Loaded, logger logrus.FieldLogger) *reloader {
	created := &reloader{flags: flags, held: held, logger: logger, apply: func(*settings.Loaded) {}}
	created.changed()
	return created
}

// catchHangups makes SIGHUP a message: from now on it no longer ends the process.
func catchHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// run reloads until the context ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.changed()
			r.reload("SIGHUP")
		case <-ticker.C:
			if r.changed() {
				r.reload("the file changed")
			}
		}
	}
}

// changed reports whether the file is another one than when it was last asked.
func (r *reloader) changed() bool {
	if r.flags.File == "" {
		return false
	}
	now, err := os.Stat(r.flags.File)
	if err != nil {
		return false // as while it is being replaced
	}
	before := r.seen
	r.seen = now
	return before != nil && (!now.ModTime().Equal(before.ModTime()) || now.Size() != before.Size())
}

// reload takes the settings over. Those that cannot be read change nothing.
func (r *reloader) reload(cause string) {
	logger := r.logger.WithField("cause", cause)
	next, err := r.flags.load()
	if err != nil {
		logger.WithError(err).Error("settings not reloaded, the former stay")
		return
	}
	applied, later := difference(r.held, next)
	r.held = next
	r.apply(next)
	logger.WithField("applied", strings.Join(applied, ",")).WithField("needs_restart", strings.Join(later, ",")).Info("settings reloaded")
}

// difference returns the keys that changed, by whether a running node takes them.
func difference(held, next *settings.Loaded) (applied, later []string) {
	for _, field := range settings.Fields() {
		if field.Text(&held.Settings) == field.Text(&next.Settings) {
			continue
		}
		if slices.ContainsFunc(changeable, func(key string) bool { return strings.HasPrefix(field.Key, key) }) {
			applied = append(applied, field.Key)
		} else {
			later = append(later, field.Key)
		}
	}
	return applied, later
}

// levelOf returns the log level of checked settings.
func levelOf(configured settings.Settings) logrus.Level {
	level, err := logrus.ParseLevel(configured.Log.Level)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

package distribution_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
)

// lineHook passes the lines of a log on.
type lineHook chan string

func (lineHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h lineHook) Fire(entry *logrus.Entry) error {
	select {
	case h <- entry.Message:
	default: // nobody waits for a line yet
	}
	return nil
}

// TestSuspendedMachineAsksItsPeers: a machine was suspended for some seconds. Its steady clock
// stood still, so that its node took what it held for as fresh as before. By the clock that
// counts suspensions it has slept, and asks its peers before it relies on what it believes.
func TestSuspendedMachineAsksItsPeers(t *testing.T) {
	c := qt.New(t)
	platform := newFakePlatform()
	platform.document = document(1)
	lines := make(lineHook, 1024)
	var suspended atomic.Int64
	startNode(c, platform, "a", "z", nil)
	node := startNodeWith(c, platform, "b", "z", func(options *distribution.Options) {
		logger := logging.Discard()
		logger.SetLevel(logrus.InfoLevel)
		logger.AddHook(lines)
		options.Logger = logger
		options.Now = func() time.Time { return time.Now().Round(0).Add(time.Duration(suspended.Load())) }
	})
	node.awaitVersion(c, document(1).Version())
	node.awaitView(func(view *membership.View) bool { return view.Len() == 2 })
	suspended.Store(int64(10 * time.Second))
	for line := range lines {
		if strings.HasPrefix(line, "slept for") {
			return
		}
	}
}

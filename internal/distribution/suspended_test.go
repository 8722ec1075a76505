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

// messageHook sends the messages of a log to a channel.
type messageHook chan string

func (messageHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h messageHook) Fire(entry *logrus.Entry) error {
	select {
	case h <- entry.Message:
	default: // the test is not reading messages yet
	}
	return nil
}

// TestSuspendedMachineAsksItsPeers: the monotonic clock of a machine stops while the machine is
// suspended, so that its node considered outdated state fresh. By a clock that includes
// suspensions, the node must notice them and check with its peers first.
func TestSuspendedMachineAsksItsPeers(t *testing.T) {
	c := qt.New(t)
	platform := newFakePlatform()
	platform.document = document(1)
	lines := make(messageHook, 1024)
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

package distribution_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
)

// TestSumsOfDelaysStayWithinBound checks that no way by which a change reaches a node adds up to more than the
// required time, however long each of its timers waits. A timer that is chosen by itself easily
// takes all of it.
func TestSumsOfDelaysStayWithinBound(t *testing.T) {
	const (
		required = 2 * time.Second
		// margin is left for messages, the answer of the source and compiling.
		margin = 500 * time.Millisecond
	)
	c := qt.New(t)
	for _, delay := range distribution.DefaultTiming().ForCurrentSource().ChangeDelays() {
		c.Check(delay.Total() <= required-margin, qt.IsTrue, qt.Commentf("%s: %s, %+v", delay.Way, delay.Total(), delay.Steps))
	}
}

// TestConfirmationsArriveBeforeNodesStandIn checks that calm and the failure of one reader leave no node
// without a confirmation for so long that it reads the source itself.
func TestConfirmationsArriveBeforeNodesStandIn(t *testing.T) {
	c := qt.New(t)
	for _, timing := range []distribution.Timing{distribution.DefaultTiming(), distribution.DefaultTiming().ForCurrentSource()} {
		// The reader whose confirmations a link passed on fails, and those of another one follow after
		// ReportInterval, once in each SourceWait.
		c.Check(timing.ReportInterval+timing.SourceWait < timing.ConfirmationLimit, qt.IsTrue)
		// A reader whose reads fail reports the next failure before the last one is forgotten.
		c.Check(timing.FailureMemory > timing.RetryAfterMax || timing.FailureMemory > 2*timing.BackoffMax, qt.IsTrue)
	}
}

package retryafter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/retryafter"
)

// TestSpreadWait guards against callers that are told to wait for longer than they do, so that they all return
// when a third of their time is over, and together.
func TestSpreadWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		refusal := retryafter.Refusal{
			Cause: retryafter.Full, NextSlot: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "slot")),
			Left:     time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "left")),
			Pressure: rapid.Float64Range(0, 1).Draw(t, "pressure"),
		}
		wait := refusal.SpreadWait(rapid.Float64Range(0, 1).Draw(t, "random"))
		if wait <= 0 && refusal.Left >= time.Millisecond || refusal.Left > 0 && wait > refusal.Left/3 {
			t.Fatalf("%v with %v left", wait, refusal.Left)
		}
	})
	full := retryafter.Refusal{Cause: retryafter.Full, NextSlot: time.Hour, Left: 3 * time.Second}
	qt.Check(t, full.SpreadWait(0), qt.Equals, time.Second)
	qt.Check(t, full.SpreadWait(1), qt.Equals, 750*time.Millisecond)
}

package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/retryafter"
)

const ms = time.Millisecond

// TestDue checks how long a request may still wait for a slot, and which value (Full, Reduced
// or Late) its answer then has.
func TestDue(t *testing.T) {
	for name, row := range map[string]struct {
		allowed, waited, elapsed, wait time.Duration
		value                          queue.Value
	}{
		"new":                              {500 * ms, 0, 0, 500 * ms, queue.ValueFull},
		"new, waited":                      {500 * ms, 100 * ms, 0, 400 * ms, queue.ValueFull},
		"new, waited for too long":         {500 * ms, 600 * ms, 0, 0, queue.ValueLate},
		"early retry":                      {500 * ms, 0, 100 * ms, 400 * ms, queue.ValueFull},
		"late retry":                       {500 * ms, 0, 400 * ms, 500 * ms, queue.ValueReduced},
		"late retry, waited":               {500 * ms, 100 * ms, 400 * ms, 400 * ms, queue.ValueReduced},
		"late retry, waited for too long":  {500 * ms, 600 * ms, 400 * ms, 0, queue.ValueLate},
		"retry after more than its target": {500 * ms, 0, 1500 * ms, 500 * ms, queue.ValueReduced},
		"early retry, little wait allowed": {200 * ms, 0, 50 * ms, 200 * ms, queue.ValueReduced},
	} {
		t.Run(name, func(t *testing.T) {
			wait, value := dueOf(1000*ms, row.allowed, row.waited, row.elapsed)
			qt.Check(t, wait, qt.Equals, row.wait)
			qt.Check(t, value, qt.Equals, row.value)
		})
	}
}

// TestAllowedWait: the target latency less the service time with some spread, or at least a
// share of the target.
func TestAllowedWait(t *testing.T) {
	qt.Check(t, allowedWait(1000*ms, 200*ms), qt.Equals, 500*ms)
	qt.Check(t, allowedWait(1000*ms, 900*ms), qt.Equals, 200*ms)
}

// TestFinalAttemptWait: the request of a caller that cannot retry waits until its deadline,
// unless that would most likely be in vain.
func TestFinalAttemptWait(t *testing.T) {
	qt.Check(t, finalAttemptWait(100*ms, 1000*ms, 0), qt.Equals, 1000*ms)
	qt.Check(t, finalAttemptWait(100*ms, 1000*ms, retryafter.SaturatedPressure/2), qt.Equals, 550*ms)
	qt.Check(t, finalAttemptWait(100*ms, 1000*ms, 0.9), qt.Equals, 100*ms)
	qt.Check(t, finalAttemptWait(100*ms, 50*ms, 0), qt.Equals, 100*ms)
}

package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestQueueingDelay checks that a report that waited in a link that was cut off counts as old as it is, with
// any offset between the clocks and with clocks that drift apart.
func TestQueueingDelay(t *testing.T) {
	const (
		transit = 3 * time.Millisecond
		period  = 600 * time.Millisecond
		waited  = 7 * time.Second
		drift   = 0.0005 // the rate at which a system clock is slewed at most
	)
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour} {
		c := qt.New(t)
		var delay queueingDelay
		sentAt := time.Duration(0)
		received := func(extra time.Duration) time.Duration {
			return offset + sentAt + time.Duration(drift*float64(sentAt)) + transit + extra
		}
		for range 2000 {
			sentAt += period
			c.Assert(delay.of(sentAt, received(0)) <= 100*time.Millisecond, qt.IsTrue)
		}
		measured := delay.of(sentAt, received(waited))
		c.Assert(measured >= waited && measured <= waited+100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", measured))
	}
}

package inbound

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/instanceload"
)

// TestExpectedServiceTime checks that the expected service time follows the usual and the stated slowdown, and that
// service times of other nodes which make no sense give none that is negative: the latest start of a request would
// then be after its deadline.
func TestExpectedServiceTime(t *testing.T) {
	const usual = 2 // times as long as an ordinary instance
	now := time.Unix(1000, 0)
	for name, row := range map[string]struct {
		ordinary, want time.Duration
		statedPercent  int
	}{
		"as usual":       {100 * time.Millisecond, 200 * time.Millisecond, 100},
		"slow":           {100 * time.Millisecond, 500 * time.Millisecond, 250},
		"not stated":     {100 * time.Millisecond, 0, 0},
		"not known":      {0, 0, 250},
		"negative":       {-time.Second, 0, 250},
		"long, slow":     {time.Hour, maxExpectedServiceTime, 10_000},
		"longer than it": {math.MaxInt64, maxExpectedServiceTime, 250},
	} {
		t.Run(name, func(t *testing.T) {
			load := &instanceLoad{enabled: true}
			for range minSamples {
				load.speed.record(usual*time.Second, time.Second, 100, 100)
			}
			load.record.Observe(instanceload.Load{Slots: 1, SlowdownPercent: row.statedPercent}, now, now)
			qt.Check(t, load.expectedServiceTime(row.ordinary, now), qt.Equals, row.want)
		})
	}
}

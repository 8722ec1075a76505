package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUsualSpeed checks that the usual speed follows from requests of any stated slowdown, and that one during
// which the slowdown changed, or whose answer states none, does not count.
func TestUsualSpeed(t *testing.T) {
	const ordinary = 100 * time.Millisecond
	for name, row := range map[string]struct{ atStart, atAnswer, takes, want int }{
		"usual":             {100, 100, 120, 120},
		"slow":              {250, 250, 300, 120},
		"slightly changed":  {100, 120, 132, 120},
		"unknown at start":  {0, 250, 300, 120},
		"became slow":       {100, 250, 300, 0},
		"became usual":      {250, 100, 300, 0},
		"not stated at end": {250, 0, 300, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var speed usualSpeed
			for range minSamples {
				speed.record(time.Duration(row.takes)*time.Millisecond, ordinary, row.atStart, row.atAnswer)
			}
			qt.Check(t, speed.percent(), qt.Equals, row.want)
		})
	}
}

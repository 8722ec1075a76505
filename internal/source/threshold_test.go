package source_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/source"
)

// TestWithByteThreshold checks that the callback runs each time that the reads have together received
// the given number of bytes, and not for small reads.
func TestWithByteThreshold(t *testing.T) {
	const large = 100
	for name, row := range map[string]struct {
		reads []int
		calls int
	}{
		"small":           {[]int{0, 50, 49}, 0},
		"just large":      {[]int{100}, 1},
		"several reads":   {[]int{60, 0, 60}, 1},
		"one large read":  {[]int{1000}, 1},
		"repeatedly":      {[]int{100, 50, 50, 10, 90}, 3},
		"no reads":        {nil, 0},
		"only its header": {[]int{0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			ctx := source.WithByteThreshold(context.Background(), large, func() { calls++ })
			timed, end := source.WithStallTimeout(ctx, time.Minute, time.Minute)
			defer end()
			for _, bytes := range row.reads {
				source.ReportProgress(timed, bytes)
			}
			qt.Check(t, calls, qt.Equals, row.calls)
		})
	}
}

package source_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/source"
)

// TestWhileLarge: it is told again and again, by all reads taken together, and not for small ones.
func TestWhileLarge(t *testing.T) {
	const large = 100
	for name, row := range map[string]struct {
		reads []int
		calls int
	}{
		"small":           {[]int{0, 50, 49}, 0},
		"just large":      {[]int{100}, 1},
		"in several":      {[]int{60, 0, 60}, 1},
		"all at once":     {[]int{1000}, 1},
		"large for long":  {[]int{100, 50, 50, 10, 90}, 3},
		"nothing at all":  {nil, 0},
		"only its header": {[]int{0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			ctx := source.WhileLarge(context.Background(), large, func() { calls++ })
			patient, end := source.WithPatience(ctx, time.Minute, time.Minute)
			defer end()
			for _, bytes := range row.reads {
				source.Progress(patient, bytes)
			}
			qt.Check(t, calls, qt.Equals, row.calls)
		})
	}
}

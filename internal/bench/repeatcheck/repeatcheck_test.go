package repeatcheck_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/repeatcheck"
)

// every returns the times from from (included) to to (excluded) at intervals of step.
func every(step, from, to time.Duration) (times []time.Duration) {
	for at := from; at < to; at += step {
		times = append(times, at)
	}
	return times
}

func TestWorst(t *testing.T) {
	bound := repeatcheck.Bound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	for name, row := range map[string]struct {
		seen repeatcheck.Observations
		want repeatcheck.Window
	}{
		"no requests": {},
		"all requests and repeats in one window": {
			repeatcheck.Observations{Requests: every(100*time.Millisecond, 0, 10*time.Second), Repeats: every(time.Second, 0, 10*time.Second)},
			repeatcheck.Window{Share: 10.0 / 30, Repeats: 10, Requests: 100, Allowed: 30},
		},
		"requests in the window before the repeats": {
			repeatcheck.Observations{Requests: every(100*time.Millisecond, 0, 10*time.Second), Repeats: every(100*time.Millisecond, 10*time.Second, 14*time.Second)},
			repeatcheck.Window{Share: 40.0 / 30, From: 10 * time.Second, Repeats: 40, Requests: 100, Allowed: 30},
		},
		"repeats at both ends of a window": {
			repeatcheck.Observations{Repeats: []time.Duration{0, 10 * time.Second}},
			repeatcheck.Window{Share: 0.2, Repeats: 2, Allowed: 10},
		},
		"repeats in two windows": {
			repeatcheck.Observations{Repeats: []time.Duration{0, 10*time.Second + 1}},
			repeatcheck.Window{Share: 0.1, Repeats: 1, Allowed: 10},
		},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, row.seen.Worst(bound), qt.Equals, row.want)
		})
	}
}

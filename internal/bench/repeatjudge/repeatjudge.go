// Package repeatjudge judges, from what callers and instances saw, whether a fleet kept its
// bound on repeats: in no window of time may a service get more arrivals beyond the first of
// each request than a ratio of its requests and a slack.
package repeatjudge

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Bound is what a fleet may do.
type Bound struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Seen is what one service saw, each by its moment.
type Seen struct {
	// Requests are those that were sent for the service, arrived or not.
	Requests []time.Duration
	// Beyond are the arrivals beyond the first of each request, and all arrivals of calls
	// that repeated runs made.
	Beyond []time.Duration
}

// Worst is the window in which most of the bound was used.
type Worst struct {
	// Share of the bound that was used; above 1 it was broken.
	Share float64
	// From is when the window begins.
	From             time.Duration
	Beyond, Requests int
	Allowed          float64
}

// String says what the window held.
func (w Worst) String() string {
	return fmt.Sprintf("%d arrivals beyond the first from %v on, for %d requests; allowed %.0f", w.Beyond, w.From, w.Requests, w.Allowed)
}

// Worst returns the worst window. The requests of a window are those in it, in the one
// before it or in the one half a window before it, whichever holds most.
func (s Seen) Worst(bound Bound) (worst Worst) {
	requests, beyond := slices.Sorted(slices.Values(s.Requests)), slices.Sorted(slices.Values(s.Beyond))
	for _, from := range beyond {
		held := Worst{
			From: from, Beyond: within(beyond, from, from+bound.Window),
			Requests: max(within(requests, from, from+bound.Window), within(requests, from-bound.Window, from),
				within(requests, from-bound.Window/2, from+bound.Window/2)),
		}
		held.Allowed = bound.Ratio*float64(held.Requests) + bound.Slack
		if held.Share = float64(held.Beyond) / held.Allowed; held.Share > worst.Share {
			worst = held
		}
	}
	return worst
}

// within counts the moments from one to another; they are in order.
func within(moments []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(moments, from)
	after, _ := slices.BinarySearchFunc(moments, to, func(moment, to time.Duration) int {
		return cmp.Or(cmp.Compare(moment, to), -1) // behind the last one that is equal
	})
	return after - first
}

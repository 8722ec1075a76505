// Package repeatcheck checks, from what callers and instances observed, that a fleet kept its
// limit on repeats: within any time window, the arrivals at a service beyond the first of each
// request must not exceed a ratio of the service's requests plus a constant slack.
package repeatcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Bound is the limit on repeats: in each Window at most Ratio times the requests plus Slack.
type Bound struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Observations holds the times of the requests for one service and of their repeated arrivals.
type Observations struct {
	// Requests are the times of the requests sent to the service, whether they arrived or not.
	Requests []time.Duration
	// Repeats are the times of the arrivals beyond the first of each request, and of all
	// arrivals of onward calls made by repeated runs.
	Repeats []time.Duration
}

// Window describes one time window and how much of the bound it used.
type Window struct {
	// Share is the used share of the bound; above 1 the bound was exceeded.
	Share float64
	// From is the start of the window.
	From              time.Duration
	Repeats, Requests int
	Allowed           float64
}

// String describes the window and its limit.
func (w Window) String() string {
	return fmt.Sprintf("%d repeated arrivals in the window from %v on, for %d requests; allowed %.0f", w.Repeats, w.From, w.Requests, w.Allowed)
}

// Worst returns the window that used the largest share of the bound. The requests of a
// window are those in it, in the window before it or in the window that starts half a window
// earlier, whichever has most.
func (s Observations) Worst(bound Bound) (worst Window) {
	requests, repeats := slices.Sorted(slices.Values(s.Requests)), slices.Sorted(slices.Values(s.Repeats))
	for _, from := range repeats {
		window := Window{
			From: from, Repeats: countBetween(repeats, from, from+bound.Window),
			Requests: max(countBetween(requests, from, from+bound.Window), countBetween(requests, from-bound.Window, from),
				countBetween(requests, from-bound.Window/2, from+bound.Window/2)),
		}
		window.Allowed = bound.Ratio*float64(window.Requests) + bound.Slack
		if window.Share = float64(window.Repeats) / window.Allowed; window.Share > worst.Share {
			worst = window
		}
	}
	return worst
}

// countBetween counts the sorted times between from and to, both included.
func countBetween(times []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearchFunc(times, to, func(at, to time.Duration) int {
		return cmp.Or(cmp.Compare(at, to), -1) // positions after the last equal time
	})
	return end - first
}

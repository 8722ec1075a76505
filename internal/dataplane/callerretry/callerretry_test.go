package callerretry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const name = "r"

var start = time.Unix(1000, 0)

// TestElapsed checks that a request whose caller has less time left than usual counts as a
// retry, and one with about as much or more as new.
func TestElapsed(t *testing.T) {
	c := qt.New(t)
	tracker := New()
	c.Check(tracker.Arrived(name, 2500*time.Millisecond, start), qt.Equals, Caller{RetriesRefused: true})
	for range 20 {
		tracker.Arrived(name, 2500*time.Millisecond, start)
	}
	for range 40 { // more retries than new requests, with different times left
		tracker.Arrived(name, time.Duration(len(tracker.routes[name].times))*100*time.Millisecond, start)
	}
	for callerTime, want := range map[time.Duration]time.Duration{
		2499 * time.Millisecond: 0,
		2501 * time.Millisecond: 0,
		9000 * time.Millisecond: 0,
		1700 * time.Millisecond: 800 * time.Millisecond,
	} {
		got := tracker.Arrived(name, callerTime, start).Elapsed
		c.Check((got-want).Abs() < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %s, want %s", callerTime, got, want))
	}
}

// TestRetriesRefused checks that callers count as not retrying only once the time of enough
// refused requests has passed without a retry.
func TestRetriesRefused(t *testing.T) {
	for label, row := range map[string]struct {
		refused, returned int
		later             time.Duration
		want              bool
	}{
		"nothing refused":        {0, 0, time.Minute, true},
		"few refusals":           {minRefusals - 1, 0, 2 * time.Second, true},
		"callers have time left": {50, 0, 500 * time.Millisecond, true},
		"no retries":             {50, 0, 2 * time.Second, false},
		"some retries":           {50, 25, 2 * time.Second, true},
		"too few retries":        {50, 5, 2 * time.Second, false},
		"refusals long ago":      {50, 0, 5 * time.Minute, true},
		"just enough refusals":   {minRefusals + 1, 0, 2 * time.Second, false},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			tracker := New()
			for range 100 {
				tracker.Arrived(name, time.Second, start)
			}
			for range row.refused {
				tracker.Refused(name, time.Second, start)
			}
			for range row.returned {
				tracker.Arrived(name, 700*time.Millisecond, start)
			}
			tracker.Arrived(name, time.Second, start.Add(min(row.later, 2*time.Second)))
			c.Check(tracker.Arrived(name, time.Second, start.Add(row.later)).RetriesRefused, qt.Equals, row.want)
		})
	}
}

// TestMemoryIsBounded checks that the data of a route stays small, whatever times callers
// state.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New()
		for _, millis := range rapid.SliceOfN(rapid.Int64Range(0, 1<<40), 0, 2000).Draw(t, "times") {
			callerTime := time.Duration(millis) * time.Microsecond
			if got := tracker.Arrived(name, callerTime, start); got.Elapsed < 0 {
				t.Fatalf("elapsed %s", got.Elapsed)
			}
			tracker.Refused(name, callerTime, start)
		}
		if known := tracker.routes[name]; known != nil && (len(known.times) > 2*decayThreshold || len(known.pending) > maxPending) {
			t.Fatalf("%d times and %d refusals are stored", len(known.times), len(known.pending))
		}
	})
}

// TestPressure checks that the pressure is the share of refused new requests, that the
// counts halve within a second, and that retries do not count.
func TestPressure(t *testing.T) {
	c := qt.New(t)
	tracker := New()
	c.Check(tracker.Pressure(name, start), qt.Equals, 0.0)
	for i := range 100 {
		tracker.Ended(name, Caller{}, i%2 == 0, start)
		tracker.Ended(name, Caller{Elapsed: time.Second}, true, start)
	}
	now := tracker.Pressure(name, start)
	c.Check(now > 0.45 && now < 0.55, qt.IsTrue, qt.Commentf("%f", now))
	later := start.Add(time.Second)
	for range 50 {
		tracker.Ended(name, Caller{}, false, later)
	}
	now = tracker.Pressure(name, later)
	c.Check(now > 0.2 && now < 0.3, qt.IsTrue, qt.Commentf("%f", now))
}

package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClock: suspensions count, jumps of the time of day do not, in any order of both; the
// clock that counts suspensions is read only when the time of day has moved.
func TestClock(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var steady, suspended, jumped time.Duration
	looks := 0
	tested := newClock(readings{
		now:       func() (time.Time, time.Duration) { return start.Add(steady + suspended + jumped), steady },
		sinceBoot: func() (time.Duration, bool) { looks++; return time.Hour + steady + suspended, true },
	})
	looks = 0
	for _, step := range []struct {
		name                       string
		runs, isSuspended, isMoved time.Duration
		looks                      int
	}{
		{name: "it runs", runs: time.Minute},
		{name: "the time of day is set back", isMoved: -time.Hour, looks: 1},
		{name: "the machine is suspended", isSuspended: 10 * time.Second, looks: 1},
		{name: "the time of day is set forward", runs: time.Second, isMoved: 2 * time.Hour, looks: 1},
		{name: "both at once, which hide each other", isSuspended: 5 * time.Second, isMoved: -5 * time.Second},
		{name: "it is suspended again", isSuspended: time.Minute, looks: 1},
		{name: "it runs on", runs: time.Second},
		{name: "the time of day drifts", runs: time.Second, isMoved: time.Millisecond},
	} {
		steady += step.runs
		suspended += step.isSuspended
		jumped += step.isMoved
		looks = 0
		got := tested.Now().Sub(start)
		if step.name != "both at once, which hide each other" {
			c.Check(got, qt.Equals, steady+suspended, qt.Commentf(step.name))
		}
		c.Check(looks, qt.Equals, step.looks, qt.Commentf(step.name))
	}
}

// TestClockWithoutSuspensions: where no clock counts them, time goes on as the steady clock.
func TestClockWithoutSuspensions(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	steady, jumped := time.Duration(0), time.Hour
	tested := newClock(readings{
		now:       func() (time.Time, time.Duration) { return start.Add(steady + jumped), steady },
		sinceBoot: func() (time.Duration, bool) { return 0, false },
	})
	began := tested.Now()
	steady, jumped = time.Minute, -time.Hour
	c.Check(tested.Now().Sub(began), qt.Equals, time.Minute)
}

// TestSystemClock: the clock of the process goes on.
func TestSystemClock(t *testing.T) {
	c := qt.New(t)
	before := Now()
	c.Check(Since(before) >= 0, qt.IsTrue)
	c.Check(Until(before) <= 0, qt.IsTrue)
}

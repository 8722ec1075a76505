package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestClock checks that suspensions count and settings of the wall clock do not, in any order
// of both, and that the boot clock is read only after the wall clock has moved.
func TestClock(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var monotonic, suspended, wallShift time.Duration
	bootReads := 0
	tested := newClock(clockSources{
		now:       func() (time.Time, time.Duration) { return start.Add(monotonic + suspended + wallShift), monotonic },
		sinceBoot: func() (time.Duration, bool) { bootReads++; return time.Hour + monotonic + suspended, true },
	})
	bootReads = 0
	for _, step := range []struct {
		name                          string
		runs, suspendedFor, wallMoves time.Duration
		bootReads                     int
	}{
		{name: "the machine runs", runs: time.Minute},
		{name: "the wall clock is set back", wallMoves: -time.Hour, bootReads: 1},
		{name: "the machine is suspended", suspendedFor: 10 * time.Second, bootReads: 1},
		{name: "the wall clock is set forward", runs: time.Second, wallMoves: 2 * time.Hour, bootReads: 1},
		{name: "a suspension and a setting that cancel each other", suspendedFor: 5 * time.Second, wallMoves: -5 * time.Second},
		{name: "the machine is suspended again", suspendedFor: time.Minute, bootReads: 1},
		{name: "the machine runs on", runs: time.Second},
		{name: "the wall clock drifts", runs: time.Second, wallMoves: time.Millisecond},
	} {
		monotonic += step.runs
		suspended += step.suspendedFor
		wallShift += step.wallMoves
		bootReads = 0
		got := tested.Now().Sub(start)
		if step.name != "a suspension and a setting that cancel each other" {
			c.Check(got, qt.Equals, monotonic+suspended, qt.Commentf(step.name))
		}
		c.Check(bootReads, qt.Equals, step.bootReads, qt.Commentf(step.name))
	}
}

// TestClockWithoutSuspensions checks that without a boot clock the time follows the monotonic
// clock.
func TestClockWithoutSuspensions(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	monotonic, wallShift := time.Duration(0), time.Hour
	tested := newClock(clockSources{
		now:       func() (time.Time, time.Duration) { return start.Add(monotonic + wallShift), monotonic },
		sinceBoot: func() (time.Duration, bool) { return 0, false },
	})
	before := tested.Now()
	monotonic, wallShift = time.Minute, -time.Hour
	c.Check(tested.Now().Sub(before), qt.Equals, time.Minute)
}

// TestSystemClock checks that the clock of the process does not go back.
func TestSystemClock(t *testing.T) {
	c := qt.New(t)
	before := Now()
	c.Check(Since(before) >= 0, qt.IsTrue)
	c.Check(Until(before) <= 0, qt.IsTrue)
}

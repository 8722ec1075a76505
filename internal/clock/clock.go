// Package clock tells a time that goes on while the machine is suspended and that does not
// jump with the time of day: ages and windows that are counted in it are true after a
// suspension. Go's own steady clock stands still meanwhile.
package clock

import (
	"sync/atomic"
	"time"
)

// mostDrift is how far the time of day may move against the steady clock before it is looked
// up whether the machine was suspended. The look takes a system call, the rest of Now none.
const mostDrift = 10 * time.Millisecond

// readings are what a Clock is made from.
type readings struct {
	// now reads the time of day and a steady clock, together.
	now func() (day time.Time, steady time.Duration)
	// sinceBoot reads a steady clock that counts suspensions; false: there is none.
	sinceBoot func() (time.Duration, bool)
}

// Clock is safe for concurrent use.
type Clock struct {
	readings readings
	// The three were read together at the start.
	day    time.Time
	steady time.Duration
	boot   time.Duration
	// seen is what was found at the last look.
	seen atomic.Pointer[look]
}

// look is a comparison of the clocks.
type look struct {
	// ahead is how far the time of day was ahead of the steady clock since the start.
	ahead time.Duration
	// suspended is how long the machine was suspended since the start.
	suspended time.Duration
}

// started is where the steady clock of this process begins.
var started = time.Now()

var system = newClock(readings{now: readSystem, sinceBoot: sinceBoot})

func readSystem() (day time.Time, steady time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(started) // Round takes the reading of the steady clock off
}

// Now returns the time. Differences to other times of this package are true; it differs from
// the time of day by what that has jumped since the process started.
func Now() time.Time { return system.Now() }

// Since returns how long ago a time of this package was.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

// Until returns how far ahead a time of this package is.
func Until(later time.Time) time.Duration { return later.Sub(Now()) }

func newClock(from readings) *Clock {
	created := &Clock{readings: from}
	created.day, created.steady = from.now()
	created.boot, _ = from.sinceBoot()
	created.seen.Store(&look{})
	return created
}

// Now is like the function of that name.
func (c *Clock) Now() time.Time {
	day, reading := c.readings.now()
	steady := reading - c.steady
	ahead := day.Sub(c.day) - steady
	seen := c.seen.Load()
	if drift := ahead - seen.ahead; drift > mostDrift || drift < -mostDrift {
		seen = c.lookAt(ahead, steady)
	}
	return c.day.Add(steady + seen.suspended)
}

// lookAt finds out whether the time of day moved as the machine was suspended, or was set.
// Time never goes back: of two looks at once the longer suspension counts.
func (c *Clock) lookAt(ahead, steady time.Duration) *look {
	found := &look{ahead: ahead, suspended: c.seen.Load().suspended}
	if boot, ok := c.readings.sinceBoot(); ok {
		found.suspended = max(boot-c.boot-steady, found.suspended)
	}
	c.seen.Store(found)
	return found
}

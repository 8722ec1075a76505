// Package clock provides a clock that advances while the machine is suspended and that does
// not jump when the wall clock is set, so that ages and time windows remain correct after a
// suspension. Go's monotonic clock stops during a suspension.
package clock

import (
	"sync/atomic"
	"time"
)

// maxDrift is how far the wall clock may move against the monotonic clock before Now checks
// whether the machine was suspended. Only that check needs a system call.
const maxDrift = 10 * time.Millisecond

// clockSources are the system clocks that a Clock reads.
type clockSources struct {
	// now reads the wall clock and a monotonic clock at the same moment.
	now func() (wall time.Time, monotonic time.Duration)
	// sinceBoot reads a monotonic clock that includes suspensions; false: there is none.
	sinceBoot func() (time.Duration, bool)
}

// Clock is monotonic and includes suspensions. It is safe for concurrent use.
type Clock struct {
	sources clockSources
	// startWall, startMonotonic and startBoot were read together when the Clock was created.
	startWall      time.Time
	startMonotonic time.Duration
	startBoot      time.Duration
	// last is the latest comparison.
	last atomic.Pointer[comparison]
}

// comparison is what a comparison of the clocks found.
type comparison struct {
	// wallLead is how much further than the monotonic clock the wall clock has advanced since
	// the start.
	wallLead time.Duration
	// suspended is how long the machine has been suspended since the start.
	suspended time.Duration
}

// processStart is the zero point of the monotonic clock of this process.
var processStart = time.Now()

var systemClock = newClock(clockSources{now: readSystemClocks, sinceBoot: sinceBoot})

func readSystemClocks() (wall time.Time, monotonic time.Duration) {
	now := time.Now()
	return now.Round(0), now.Sub(processStart) // Round strips the monotonic reading
}

// Now returns the current time. Differences between times of this package are correct; the
// time differs from the wall clock by as much as that was set since the process started.
func Now() time.Time { return systemClock.Now() }

// Since returns the time elapsed since earlier, a time of this package.
func Since(earlier time.Time) time.Duration { return Now().Sub(earlier) }

// Until returns the time left until later, a time of this package.
func Until(later time.Time) time.Duration { return later.Sub(Now()) }

func newClock(from clockSources) *Clock {
	created := &Clock{sources: from}
	created.startWall, created.startMonotonic = from.now()
	created.startBoot, _ = from.sinceBoot()
	created.last.Store(&comparison{})
	return created
}

// Now returns the current time, as the function Now does.
func (c *Clock) Now() time.Time {
	wall, reading := c.sources.now()
	monotonic := reading - c.startMonotonic
	wallLead := wall.Sub(c.startWall) - monotonic
	last := c.last.Load()
	if drift := wallLead - last.wallLead; drift > maxDrift || drift < -maxDrift {
		last = c.compare(wallLead, monotonic)
	}
	return c.startWall.Add(monotonic + last.suspended)
}

// compare determines whether the wall clock moved because the machine was suspended or because
// it was set. The suspended time never decreases, so that Now never goes back when two
// goroutines compare at once.
func (c *Clock) compare(wallLead, monotonic time.Duration) *comparison {
	found := &comparison{wallLead: wallLead, suspended: c.last.Load().suspended}
	if boot, ok := c.sources.sinceBoot(); ok {
		found.suspended = max(boot-c.startBoot-monotonic, found.suspended)
	}
	c.last.Store(found)
	return found
}

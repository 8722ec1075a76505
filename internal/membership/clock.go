package membership

import "time"

// maxClockStep limits how much one call of advance may add. A process that was
// paused receives nothing from its neighbours until it resumes, so the pause must
// not count as their silence.
const maxClockStep = 15 * time.Second

// clock converts the times that callers pass in to the time elapsed while this
// process was running, which leaves out pauses and never goes back.
type clock struct {
	wall    time.Time
	elapsed time.Duration
}

// advance moves the clock to now and returns the elapsed time.
func (c *clock) advance(now time.Time) time.Duration {
	if c.wall.IsZero() {
		c.wall = now
	}
	step := now.Sub(c.wall)
	c.wall = now
	c.elapsed += min(max(step, 0), maxClockStep)
	return c.elapsed
}

// startTime estimates when the process of an incarnation started, in elapsed
// time. It relies on the wall clock of that process and is never later than now.
func (c *clock) startTime(incarnation Incarnation) time.Duration {
	age := c.wall.Sub(time.UnixMilli(int64(incarnation)))
	return c.elapsed - max(age, 0)
}

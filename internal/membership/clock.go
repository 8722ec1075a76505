package membership

import "time"

// maxClockStep bounds how much time one step of the clock may account for. A
// process that was paused hears its neighbours only after it woke, so that the
// time it slept must not count as their silence.
const maxClockStep = 15 * time.Second

// clock turns the times that callers pass in into the time this table has been
// awake, which never goes back.
type clock struct {
	wall  time.Time
	awake time.Duration
}

// advance moves the clock to now and returns the time awake.
func (c *clock) advance(now time.Time) time.Duration {
	if c.wall.IsZero() {
		c.wall = now
	}
	step := now.Sub(c.wall)
	c.wall = now
	c.awake += min(max(step, 0), maxClockStep)
	return c.awake
}

// startOf estimates when a process of that incarnation started, in time awake.
// It relies on the clock of the process and is never later than now.
func (c *clock) startOf(incarnation Incarnation) time.Duration {
	age := c.wall.Sub(time.UnixMilli(int64(incarnation)))
	return c.awake - max(age, 0)
}

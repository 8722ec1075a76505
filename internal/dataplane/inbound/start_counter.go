package inbound

import "time"

const (
	// countedStep is the resolution of a startCounter, countedSteps how many steps it remembers.
	countedStep  = 10 * time.Millisecond
	countedSteps = 500
)

// startCounter counts the requests that have started in the last seconds.
type startCounter struct {
	epoch time.Time
	// counts holds the number of starts in each step; step is the last step that was counted in.
	counts [countedSteps]int
	step   int
}

// stepOf returns the step of a time.
func (c *startCounter) stepOf(at time.Time) int { return max(int(at.Sub(c.epoch)/countedStep), 0) }

// add counts a start.
func (c *startCounter) add(now time.Time) {
	c.advance(now)
	c.counts[c.step%countedSteps]++
}

// advance clears the steps that have begun since the last one. A time before that belongs to the last step.
func (c *startCounter) advance(now time.Time) {
	next := c.stepOf(now)
	for cleared := 0; c.step < next && cleared < countedSteps; cleared++ {
		c.step++
		c.counts[c.step%countedSteps] = 0
	}
	c.step = max(c.step, next)
}

// since returns the number of starts since a time, or in all steps that are remembered if that is fewer.
func (c *startCounter) since(since, now time.Time) (count int) {
	c.advance(now)
	first := max(c.stepOf(since), c.step-countedSteps+1)
	for step := first; step <= c.step; step++ {
		count += c.counts[step%countedSteps]
	}
	return count
}

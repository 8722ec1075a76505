package callpriority

import (
	"math"
	"time"
)

const (
	// minCalls is the number of calls of a route before its parents count as known.
	minCalls = 30
	// maxMemory is the number of calls over which the estimate is averaged once it is settled.
	maxMemory = 256
	// stepExponent determines how fast early calls, attributed before much was known, lose their weight.
	// Online expectation maximization needs a value between 0.5 and 1.
	stepExponent = 0.6
	// priorWeight is the weight of the assumption that all routes make calls equally often.
	priorWeight = 0.02
)

// callRoute estimates which requests make the calls of one route, by expectation maximization: each call is
// divided among the routes that run when it arrives, in proportion to the rates at which they make such calls
// by the calls before. The estimates are averages over calls that decay.
type callRoute struct {
	seen int
	// links holds the estimate for each parent route.
	links map[*parentRoute]*link
	// background stands for calls that no running request makes: as a parent that always runs once.
	background link
	// startedAt is when the background began to run.
	startedAt time.Time
}

// link is the estimate of how often the requests of a route make calls.
type link struct {
	// calls is the mean share of a call that the route makes, seconds the mean time for which its requests
	// run between two calls.
	calls, seconds float64
	// countedSeconds is the running time of the route at the call before.
	countedSeconds float64
	// likelihood is the probability that the route made the last call.
	likelihood float64
}

// newCallRoute returns the estimate before the first call. Running time before it does not count.
func newCallRoute(parents map[string]*parentRoute, now time.Time) *callRoute {
	created := &callRoute{links: make(map[*parentRoute]*link), startedAt: now}
	for _, parent := range parents {
		created.links[parent] = &link{countedSeconds: parent.seconds}
	}
	return created
}

// arrived takes a call into the estimate.
func (c *callRoute) arrived(parents map[string]*parentRoute, now time.Time) {
	step := max(math.Pow(float64(c.seen+2), -stepExponent), 1.0/maxMemory)
	c.seen++
	c.background.ran(now.Sub(c.startedAt).Seconds(), step)
	total := c.background.seconds
	for _, parent := range parents {
		known := c.links[parent]
		if known == nil {
			known = &link{}
			c.links[parent] = known
		}
		known.ran(parent.seconds, step)
		total += known.seconds
	}
	sum := c.background.weigh(1, total)
	for parent, known := range c.links {
		sum += known.weigh(parent.total, total)
	}
	c.background.attribute(sum, step)
	for _, known := range c.links {
		known.attribute(sum, step)
	}
}

// ran takes the running time since the call before into the estimate.
func (l *link) ran(seconds, step float64) {
	l.seconds += step * (max(seconds-l.countedSeconds, 0) - l.seconds)
	l.countedSeconds = seconds
}

// weigh sets the likelihood to the rate at which the running requests make calls, and returns it. total is the
// running time of all routes between two calls.
func (l *link) weigh(running int, total float64) float64 {
	l.likelihood = float64(running) * (l.calls + priorWeight) / (l.seconds + priorWeight*total + math.SmallestNonzeroFloat32)
	return l.likelihood
}

// attribute divides the likelihood by the sum of all and takes it into the estimate as a share of the call.
func (l *link) attribute(sum, step float64) {
	l.likelihood /= sum
	l.calls += step * (l.likelihood - l.calls)
}

// likelyPriority returns the priority of the request that most likely made the last call; own stands for
// none of those that run.
func (c *callRoute) likelyPriority(own int) int {
	likelihoods := map[int]float64{own: c.background.likelihood}
	for parent, known := range c.links {
		for priority, running := range parent.running {
			likelihoods[priority] += known.likelihood * float64(running) / float64(parent.total)
		}
	}
	likely, highest := own, likelihoods[own]
	for priority, likelihood := range likelihoods {
		if likelihood > highest || likelihood == highest && likely != own && priority < likely {
			likely, highest = priority, likelihood
		}
	}
	return likely
}

// likelyParent returns the route that most likely made the last call; empty if no parent route is known.
func (c *callRoute) likelyParent() string {
	name, highest := "", -1.0
	for parent, known := range c.links {
		if known.likelihood > highest || known.likelihood == highest && parent.name < name {
			name, highest = parent.name, known.likelihood
		}
	}
	return name
}

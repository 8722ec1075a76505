package admission

import "slices"

// route is the state of one route on the backend.
type route struct {
	name     string
	limits   RouteLimits
	inFlight int
	waiting  []*waiter // in order of arrival
	credit   int       // slots that may still be granted in this turn
}

// mayRun reports whether the route's limit allows one more running request.
func (r *route) mayRun() bool {
	return r.limits.MaxInFlight <= 0 || r.inFlight < r.limits.MaxInFlight
}

func (r *route) weight() int { return max(r.limits.Weight, 1) }

// weightedQueueLength returns the number of waiting requests plus more, divided by the
// weight.
func (r *route) weightedQueueLength(more int) float64 {
	return float64(len(r.waiting)+more) / float64(r.weight())
}

func (r *route) remove(w *waiter) {
	r.waiting = slices.DeleteFunc(r.waiting, func(other *waiter) bool { return other == w })
}

// roundRobin is a weighted round robin over the routes that have requests waiting.
type roundRobin struct {
	routes []*route
	cursor int
}

func (g *roundRobin) addRoute(r *route) {
	r.credit = r.weight()
	g.routes = append(g.routes, r)
}

func (g *roundRobin) removeRoute(r *route) {
	index := slices.Index(g.routes, r)
	g.routes = slices.Delete(g.routes, index, index+1)
	if index < g.cursor {
		g.cursor--
	}
	if g.cursor >= len(g.routes) {
		g.cursor = 0
	}
}

// pick returns the route whose turn it is among those that may run, or nil.
func (g *roundRobin) pick() *route {
	for range g.routes {
		r := g.routes[g.cursor]
		if !r.mayRun() {
			g.advance(r)
			continue
		}
		r.credit--
		if r.credit <= 0 {
			g.advance(r)
		}
		return r
	}
	return nil
}

func (g *roundRobin) advance(r *route) {
	r.credit = r.weight()
	g.cursor = (g.cursor + 1) % len(g.routes)
}

// longest returns the route with the most waiting requests relative to its weight, or
// nil.
func (g *roundRobin) longest() *route {
	var longest *route
	for _, r := range g.routes {
		if longest == nil || r.weightedQueueLength(0) > longest.weightedQueueLength(0) {
			longest = r
		}
	}
	return longest
}

package admission

import "slices"

// route is the state of one route on the back end.
type route struct {
	name     string
	limits   RouteLimits
	inFlight int
	waiting  []*waiter // in order of arrival
	credit   int       // grants left in this turn
}

// mayRun reports whether the route's own limit leaves room for one more.
func (r *route) mayRun() bool {
	return r.limits.MaxInFlight <= 0 || r.inFlight < r.limits.MaxInFlight
}

func (r *route) weight() int { return max(r.limits.Weight, 1) }

// share is the number waiting, with so many more, by weight.
func (r *route) share(more int) float64 {
	return float64(len(r.waiting)+more) / float64(r.weight())
}

func (r *route) remove(w *waiter) {
	r.waiting = slices.DeleteFunc(r.waiting, func(other *waiter) bool { return other == w })
}

// ring gives turns to the routes that have requests waiting: weighted round robin.
type ring struct {
	routes []*route
	cursor int
}

func (g *ring) join(r *route) {
	r.credit = r.weight()
	g.routes = append(g.routes, r)
}

func (g *ring) leave(r *route) {
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
func (g *ring) pick() *route {
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

func (g *ring) advance(r *route) {
	r.credit = r.weight()
	g.cursor = (g.cursor + 1) % len(g.routes)
}

// longest returns the route with the most waiting by weight, or nil.
func (g *ring) longest() *route {
	var longest *route
	for _, r := range g.routes {
		if longest == nil || r.share(0) > longest.share(0) {
			longest = r
		}
	}
	return longest
}

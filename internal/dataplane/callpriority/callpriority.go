// Package callpriority infers for which request an instance makes a call, and gives the call the priority of
// that request. An instance propagates nothing that links the two, but its node sees which requests the
// instance runs and when calls arrive: routes whose requests run more often than usual when calls arrive are
// the likely parents.
package callpriority

import (
	"sync"
	"time"
)

// maxRoutes limits the number of parent routes and of call routes that are tracked.
const maxRoutes = 64

// Tracker estimates how often the requests of each route make calls of each route. It is safe for concurrent
// use. A nil Tracker knows nothing.
type Tracker struct {
	mutex   sync.Mutex
	parents map[string]*parentRoute
	calls   map[string]*callRoute
}

// New returns a Tracker that knows no calls.
func New() *Tracker {
	return &Tracker{parents: make(map[string]*parentRoute), calls: make(map[string]*callRoute)}
}

// parentRoute is a route of which the local instance runs requests.
type parentRoute struct {
	name string
	// running is the number of its requests that run now, by effective priority.
	running map[int]int
	total   int
	// seconds is the time for which its requests have run, added up over all of them, until advancedAt.
	seconds    float64
	advancedAt time.Time
}

// advance counts the running time until now.
func (p *parentRoute) advance(now time.Time) {
	if now.After(p.advancedAt) {
		p.seconds += float64(p.total) * now.Sub(p.advancedAt).Seconds()
		p.advancedAt = now
	}
}

// Run is a request that the local instance runs.
type Run struct {
	tracker  *Tracker
	route    *parentRoute
	priority int
}

// Begin records that the local instance starts to run a request of a route with an effective priority. The
// caller must end the returned run once.
func (t *Tracker) Begin(route string, priority int, now time.Time) *Run {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	parent := t.parentOf(route)
	if parent == nil {
		return nil
	}
	parent.advance(now)
	parent.total++
	parent.running[priority]++
	return &Run{tracker: t, route: parent, priority: priority}
}

// End records that the request has ended.
func (r *Run) End(now time.Time) {
	if r == nil {
		return
	}
	r.tracker.mutex.Lock()
	defer r.tracker.mutex.Unlock()
	r.route.advance(now)
	r.route.total--
	if r.route.running[r.priority]--; r.route.running[r.priority] == 0 {
		delete(r.route.running, r.priority)
	}
}

// parentOf returns the entry of a route, or nil if there are too many routes with running requests.
func (t *Tracker) parentOf(route string) *parentRoute {
	found := t.parents[route]
	if found == nil {
		if len(t.parents) >= maxRoutes {
			t.forgetIdle()
		}
		if len(t.parents) >= maxRoutes {
			return nil
		}
		found = &parentRoute{name: route, running: make(map[int]int)}
		t.parents[route] = found
	}
	return found
}

// forgetIdle forgets the parent routes of which no request runs.
func (t *Tracker) forgetIdle() {
	for name, parent := range t.parents {
		if parent.total > 0 {
			continue
		}
		delete(t.parents, name)
		for _, call := range t.calls {
			delete(call.links, parent)
		}
	}
}

// Assessment is what is known about a request that the local instance may have sent.
type Assessment struct {
	// Priority is the effective priority, never lower than that of the request's own route.
	Priority int
	// IsCall is set if requests of its route are known to be sent by requests that the instance runs.
	IsCall bool
	// Parent is the route of the request for which the call is most likely made; empty if it is no call. It
	// is only logged.
	Parent string
}

// Assess records a request that the local instance may have sent, and returns its assessment. own is the
// priority by its route.
func (t *Tracker) Assess(route string, own int, now time.Time) Assessment {
	if t == nil {
		return Assessment{Priority: own}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, parent := range t.parents {
		parent.advance(now)
	}
	call := t.calls[route]
	if call == nil {
		if len(t.calls) >= maxRoutes {
			t.calls = make(map[string]*callRoute)
		}
		call = newCallRoute(t.parents, now)
		t.calls[route] = call
	}
	call.arrived(t.parents, now)
	if call.seen < minCalls {
		return Assessment{Priority: own}
	}
	assessed := Assessment{Priority: min(own, call.likelyPriority(own)), IsCall: call.background.likelihood < 0.5}
	if assessed.IsCall {
		assessed.Parent = call.likelyParent()
	}
	return assessed
}

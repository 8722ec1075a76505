// Package balance chooses the instance for a request: the one at which the risk to be
// late and the price of the bytes between zones are least together. It knows of each
// instance what its answers reported and what this node has in progress there, and of each
// route how its service times are spread.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Result is what became of a request at an instance.
type Result uint8

// The results.
const (
	// Served: the instance answered.
	Served Result = 1
	// Busy: the node beside the instance had no slot for the request.
	Busy Result = 2
	// Leaving: the instance or its node takes no new work, or is another one.
	Leaving Result = 3
	// Failed: no connection, or no valid answer.
	Failed Result = 4
	// Abandoned: the request ended here; it says nothing of the instance.
	Abandoned Result = 5
	// Erred: the instance failed the request, or did not answer it in its time.
	Erred Result = 6
	// Paced: the instance is cold after its start and takes no more requests just now.
	Paced Result = 7
)

const (
	// leavingTime is how long an instance that leaves gets no requests.
	leavingTime = 2 * time.Second
	// firstEjection is how long an instance that failed gets no requests; it
	// doubles with each failure in a row up to longestEjection.
	firstEjection   = 250 * time.Millisecond
	longestEjection = 4 * time.Second
	// busyTime is how long an instance without a free slot counts as full.
	busyTime = 100 * time.Millisecond
	// reportAge is how long a report of the load counts.
	reportAge = 2 * time.Second
	// fullAge is how long an instance of another zone that had no free slot is not
	// asked again: while all are full, sending requests around helps nobody.
	fullAge = 250 * time.Millisecond
	// forgetAfter is how long an instance that is not chosen is remembered.
	forgetAfter = time.Minute

	// defaultSlots are those of an instance that names none.
	defaultSlots = 8
)

// Options set up a Balancer.
type Options struct {
	Zone string
	// LocalAddress is that of the instance beside this node; empty: none.
	LocalAddress string
	// Mechanisms that are on.
	Mechanisms mechanism.Set
	// Random chooses among equals; nil takes a random one.
	Random *rand.Rand
}

// Balancer is safe for concurrent use.
type Balancer struct {
	options Options

	mutex     sync.Mutex
	instances map[string]*state
	routes    map[string]*timing
	loads     map[string]*serviceLoad
	mean      time.Duration // of all requests
	prunedAt  time.Time
}

// New returns a Balancer that knows nothing.
func New(options Options) *Balancer {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Balancer{options: options, instances: make(map[string]*state), routes: make(map[string]*timing), loads: make(map[string]*serviceLoad), mean: initialService}
}

// Request is what a choice depends on.
type Request struct {
	Route  string
	Target time.Duration
	// Waited is how much of the target is over.
	Waited time.Duration
	// Bytes are those of the body.
	Bytes int
	// Instances are those of the service.
	Instances []snapshot.Instance
	// Avoid reports instances that must not be chosen.
	Avoid func(name string) bool
	Now   time.Time
}

// Choice is one instance that was chosen. Done must be called once.
type Choice struct {
	Instance snapshot.Instance
	// Expected is how long the request is expected to take there, with its wait for
	// a slot; Service without.
	Expected, Service time.Duration
	// Ordinary is how long an instance of ordinary speed takes.
	Ordinary time.Duration
	// Local is set for the instance beside this node.
	Local bool

	balancer *Balancer
	route    string
	// counted is where the request counts as in progress: what becomes of it says nothing of
	// a later life of the instance.
	counted *state
}

// Pick chooses an instance, or none when there is none left.
func (b *Balancer) Pick(request Request) (Choice, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.prune(request.Now)
	best, found := b.best(request, false)
	if !found {
		best, found = b.best(request, true)
	}
	if !found {
		return Choice{}, false
	}
	chosen := b.stateOf(&best.instance, request.Now)
	if chosen.outstanding == 0 {
		chosen.heardAt = request.Now
	}
	chosen.outstanding++
	chosen.usedAt = request.Now
	return Choice{
		Instance: best.instance, Expected: best.expected, Service: best.service, Ordinary: b.timingOf(request.Route).mean,
		balancer: b, route: request.Route, counted: chosen,
		Local: b.isLocal(&best.instance),
	}, true
}

// best returns the cheapest candidate; ejected ones count only as a last resort.
func (b *Balancer) best(request Request, ejected bool) (best candidate, found bool) {
	ties := 0
	spare := !b.isShort(request.Route) && b.hasOwnZone(request)
	eligible := func(instance *snapshot.Instance) bool {
		known := b.stateOf(instance, request.Now)
		return instance.State == snapshot.InstanceReady && !request.Avoid(instance.Name) &&
			known.ejectedUntil.After(request.Now) == ejected && !known.isPaced(request.Now) &&
			(!spare || b.isNear(instance) || !known.isFull(instance, request.Now))
	}
	sampled := b.sample(request, eligible)
	for i := range request.Instances {
		instance := &request.Instances[i]
		if !eligible(instance) {
			continue
		}
		known := b.stateOf(instance, request.Now)
		if !known.isFresh(request.Now) && !sampled.take(b, instance) {
			continue
		}
		next := b.evaluate(instance, known, request)
		switch {
		case !found || next.cost < best.cost:
			best, found, ties = next, true, 1
		case next.cost == best.cost:
			ties++
			if b.options.Random.IntN(ties) == 0 {
				best = next
			}
		}
	}
	return best, found
}

// PacedFor is the time until the first of the instances that were found cold, and to
// have no room just now, takes a request again; zero when none was.
func (b *Balancer) PacedFor(instances []snapshot.Instance, now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	shortest := time.Duration(0)
	for i := range instances {
		known := b.instances[instances[i].Name]
		if known == nil || !known.isPaced(now) {
			continue
		}
		if left := known.pacedUntil.Sub(now); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// isShort reports whether requests of a route take little of an instance's time
// compared with others: they find a place also where others would wait.
func (b *Balancer) isShort(route string) bool {
	return b.timingOf(route).mean < b.mean/2
}

// hasOwnZone reports whether an instance of the own zone takes work.
func (b *Balancer) hasOwnZone(request Request) bool {
	for i := range request.Instances {
		instance := &request.Instances[i]
		if instance.State != snapshot.InstanceReady || !b.isNear(instance) {
			continue
		}
		if known := b.stateOf(instance, request.Now); !known.ejectedUntil.After(request.Now) {
			return true
		}
	}
	return false
}

func (b *Balancer) isNear(instance *snapshot.Instance) bool {
	return instance.Zone == b.options.Zone || b.isLocal(instance)
}

func slotsOf(instance *snapshot.Instance) int {
	if instance.Slots <= 0 {
		return defaultSlots
	}
	return instance.Slots
}

func (b *Balancer) isLocal(instance *snapshot.Instance) bool {
	return b.options.LocalAddress != "" && instance.Address == b.options.LocalAddress
}

func (b *Balancer) timingOf(route string) *timing {
	known := b.routes[route]
	if known == nil {
		known = newTiming()
		b.routes[route] = known
	}
	return known
}

// stateOf is what is known of an instance, with what its entry says now.
func (b *Balancer) stateOf(instance *snapshot.Instance, now time.Time) *state {
	known := b.instances[instance.Name]
	if known == nil || known.born < instance.Born {
		known = &state{speed: 1, usedAt: now, born: instance.Born}
		b.instances[instance.Name] = known
	}
	known.cold.Follow(*instance, now)
	return known
}

// prune forgets instances that have not been chosen for long.
func (b *Balancer) prune(now time.Time) {
	if now.Sub(b.prunedAt) < forgetAfter {
		return
	}
	b.prunedAt = now
	for name, known := range b.instances {
		if known.outstanding == 0 && now.Sub(known.usedAt) > forgetAfter {
			delete(b.instances, name)
		}
	}
	if len(b.routes) > maxRoutes {
		b.routes = make(map[string]*timing)
	}
}

// maxRoutes bounds the routes whose service time is remembered.
const maxRoutes = 10_000

// Transition tells whether a result changed what is believed of an instance.
type Transition uint8

// The transitions.
const (
	Unchanged Transition = 0
	// Lost: the instance could not be reached, or left, and gets no requests for a
	// while.
	Lost Transition = 1
	// Regained: it answers again.
	Regained Transition = 2
)

// Done ends a choice with what became of the request. report is nil when none
// came; bytes are those of the answer.
func (c Choice) Done(result Result, report *hop.Report, bytes int, now time.Time) Transition {
	b := c.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := c.counted
	known.outstanding = max(known.outstanding-1, 0)
	if report != nil {
		known.heardAt = now
		known.reported, known.reportedWith, known.reportedAt = report.Running+report.Waiting, known.outstanding, now
		if report.Reason != hop.ReasonUnconfigured { // such a node knows nothing of its instance
			known.cold.Report(report.ColdFor, now)
		}
		known.takeReportedSpeed(report.Speed, now)
		b.loadOf(c.Instance.Service).note(report, now)
		known.backlog, known.linkRate = report.Backlog, kibibyte*float64(report.LinkRate)
	}
	was := known.lost
	known.lost = result == Failed || result == Leaving || was && result != Served && result != Erred
	if result == Served || result == Erred || result == Failed {
		known.note(result != Served, now)
	}
	switch result {
	case Served, Erred:
		known.failures = 0
		known.ejectedUntil, known.busyUntil = time.Time{}, time.Time{}
		if result == Served && report != nil && report.Execution > 0 {
			b.measure(c.route, known, report.Execution, bytes, now)
		}
	case Busy:
		known.busyUntil = now.Add(busyTime)
	case Paced:
		known.pacedUntil = now.Add(report.RetryAfter)
	case Leaving:
		known.ejectedUntil = now.Add(leavingTime)
	case Failed:
		known.ejectedUntil = now.Add(min(firstEjection<<min(known.failures, 8), longestEjection))
		known.failures++
	}
	switch {
	case known.lost == was:
		return Unchanged
	case known.lost:
		return Lost
	default:
		return Regained
	}
}

// measure takes over how long an instance worked on a request, and the size of the
// answer.
func (b *Balancer) measure(route string, known *state, execution time.Duration, bytes int, now time.Time) {
	b.mean += (execution - b.mean) / routeWeight
	timing := b.timingOf(route)
	execution = time.Duration(float64(execution) / known.coldness(now))
	if timing.measured && !known.speedReported {
		known.measure(float64(execution)/float64(max(timing.mean, time.Millisecond)), now)
	}
	timing.note(execution, known.speedAt(now))
	timing.answerBytes += (float64(bytes) - timing.answerBytes) / routeWeight
}

// Package balance chooses the instance for a request: the one with the lowest sum of the
// risk of a late answer and the price of the bytes sent between zones. For each instance it
// tracks the load reported with its answers and the requests that this node has in progress
// there; for each route, the distribution of its service times.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Result tells how a request ended at an instance.
type Result uint8

// The values of Result.
const (
	// Served: the instance answered.
	Served Result = 1
	// Busy: the instance's sidecar had no slot for the request.
	Busy Result = 2
	// NotAccepting: the instance or its node accepts no new requests, or another instance
	// runs at the address.
	NotAccepting Result = 3
	// DeliveryFailed: no connection, or no valid answer.
	DeliveryFailed Result = 4
	// Abandoned: the request ended at this node, which tells nothing about the instance.
	Abandoned Result = 5
	// RequestFailed: the instance failed the request, or did not answer it in time.
	RequestFailed Result = 6
	// RateLimited: the instance is warming up and accepts no further request for now.
	RateLimited Result = 7
	// Limited: the limit that the instance states on its requests is reached for now.
	Limited Result = 8
	// ConnectTimedOut: the instance's node did not answer an attempt to connect, or a liveness check, in
	// time. If its link is busy, it counts as Busy, otherwise as DeliveryFailed.
	ConnectTimedOut Result = 9
)

const (
	// notAcceptingEjection is how long an instance that accepts no new requests is ejected.
	notAcceptingEjection = 2 * time.Second
	// minEjection is how long an instance is ejected after a first failed delivery. It
	// doubles with each further one in a row, up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// busyPeriod is how long an instance without a free slot counts as full.
	busyPeriod = 100 * time.Millisecond
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 2 * time.Second
	// fullInstancePeriod is how long an instance of another zone that had no free slot is
	// not tried again: when all instances are full, further tries find no slot.
	fullInstancePeriod = 250 * time.Millisecond
	// maxLimitedPeriod is how long an instance that has reached its stated limit is not tried at most:
	// the limit may end at any time.
	maxLimitedPeriod = 200 * time.Millisecond
	// forgetAfter is how long the state of an instance that is not chosen is kept.
	forgetAfter = time.Minute

	// defaultSlots is the number of slots of an instance whose entry gives none.
	defaultSlots = 8
)

// Options set up a Balancer.
type Options struct {
	Zone string
	// LocalAddress is the address of this node's instance; empty: none.
	LocalAddress string
	// Mechanisms are the mechanisms that are switched on.
	Mechanisms mechanism.Set
	// LinkKnown is set if the capacity of this machine's link is known.
	LinkKnown bool
	// Random breaks ties; nil: a randomly seeded source.
	Random *rand.Rand
}

// Balancer chooses instances. It is safe for concurrent use.
type Balancer struct {
	options Options

	mutex           sync.Mutex
	instances       map[string]*instanceState
	routes          map[string]*routeStats
	serviceLoads    map[string]*serviceLoad
	meanServiceTime time.Duration // of the requests of all routes
	prunedAt        time.Time
	// linksReported is set once another node has reported its link.
	linksReported bool
}

// New returns a Balancer without any measurements.
func New(options Options) *Balancer {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Balancer{options: options, instances: make(map[string]*instanceState), routes: make(map[string]*routeStats), serviceLoads: make(map[string]*serviceLoad), meanServiceTime: initialServiceTime}
}

// Request describes the request that an instance is chosen for.
type Request struct {
	Route  string
	Target time.Duration
	// Elapsed is how much of the target latency has passed.
	Elapsed time.Duration
	// Bytes is the size of the body.
	Bytes int
	// Instances are the instances of the service.
	Instances []snapshot.Instance
	// Avoid reports whether an instance must not be chosen.
	Avoid func(name string) bool
	Now   time.Time
}

// Choice is a chosen instance. Done must be called exactly once.
type Choice struct {
	Instance snapshot.Instance
	// ExpectedLatency is how long the request is expected to take at the instance,
	// including its wait for a slot; ServiceTime excludes that wait.
	ExpectedLatency, ServiceTime time.Duration
	// MeanServiceTime is how long an instance of average speed takes.
	MeanServiceTime time.Duration
	// Local is set if this node is the instance's sidecar.
	Local bool

	balancer *Balancer
	route    string
	// state is where the request counts as in progress. Its result must not affect a
	// later process that runs under the same instance name.
	state *instanceState
	// largeBodyBegan is when the request began if it is tracked because it or its response is expected
	// to be a large body.
	largeBodyBegan time.Time
}

// Pick chooses an instance. It returns false if none is left.
func (b *Balancer) Pick(request Request) (Choice, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.prune(request.Now)
	cheapest, found := b.cheapest(request, false)
	if !found {
		cheapest, found = b.cheapest(request, true)
	}
	if !found {
		return Choice{}, false
	}
	chosen := b.stateOf(&cheapest.instance, request.Now)
	if chosen.outstanding == 0 {
		chosen.silentSince = request.Now
	}
	chosen.outstanding++
	chosen.lastPickedAt = request.Now
	route, local, largeBodyBegan := b.routeStatsOf(request.Route), b.isLocal(&cheapest.instance), time.Time{}
	if !local {
		largeBodyBegan = chosen.link.begin(request.Bytes, route.answerBytes, request.Now)
	}
	return Choice{
		Instance: cheapest.instance, ExpectedLatency: cheapest.expectedLatency, ServiceTime: cheapest.serviceTime, MeanServiceTime: route.meanServiceTime,
		balancer: b, route: request.Route, state: chosen,
		Local: local, largeBodyBegan: largeBodyBegan,
	}, true
}

// cheapest returns the candidate with the lowest cost among the instances that are ejected,
// or among those that are not. Ejected instances are a last resort.
func (b *Balancer) cheapest(request Request, ejected bool) (best candidate, found bool) {
	ties := 0
	skipFull := !b.isShort(request.Route) && b.ownZoneAvailable(request)
	eligible := func(instance *snapshot.Instance) bool {
		known := b.stateOf(instance, request.Now)
		return instance.State == snapshot.InstanceReady && !request.Avoid(instance.Name) &&
			known.ejectedUntil.After(request.Now) == ejected && !known.isRateLimited(request.Now) &&
			(!skipFull || b.isInOwnZone(instance) || !known.isFull(instance, request.Now))
	}
	sampler, spread := b.newSampler(request, eligible), b.newLinkSpread(request)
	for i := range request.Instances {
		instance := &request.Instances[i]
		if !eligible(instance) {
			continue
		}
		known := b.stateOf(instance, request.Now)
		if !known.isFresh(request.Now) && !sampler.take(b, instance) {
			continue
		}
		evaluated := b.evaluate(instance, known, request)
		evaluated.cost += spread.cost(&known.link, request.Now)
		switch {
		case !found || evaluated.cost < best.cost:
			best, found, ties = evaluated, true, 1
		case evaluated.cost == best.cost:
			ties++
			if b.options.Random.IntN(ties) == 0 {
				best = evaluated
			}
		}
	}
	return best, found
}

// RateLimitedFor returns the time until the first of the instances that are rate limited accepts a
// request again; zero if none is rate limited.
func (b *Balancer) RateLimitedFor(instances []snapshot.Instance, now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	shortest := time.Duration(0)
	for i := range instances {
		known := b.instances[instances[i].Name]
		if known == nil || !known.isRateLimited(now) {
			continue
		}
		if remaining := known.rateLimitEnd(now).Sub(now); shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// isShort reports whether requests of a route take much less time than the average: they
// find a slot even where others would have to wait.
func (b *Balancer) isShort(route string) bool {
	return b.routeStatsOf(route).meanServiceTime < b.meanServiceTime/2
}

// ownZoneAvailable reports whether an instance of this node's zone is ready and not ejected.
func (b *Balancer) ownZoneAvailable(request Request) bool {
	for i := range request.Instances {
		instance := &request.Instances[i]
		if instance.State != snapshot.InstanceReady || !b.isInOwnZone(instance) {
			continue
		}
		if known := b.stateOf(instance, request.Now); !known.ejectedUntil.After(request.Now) {
			return true
		}
	}
	return false
}

func (b *Balancer) isInOwnZone(instance *snapshot.Instance) bool {
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

func (b *Balancer) routeStatsOf(route string) *routeStats {
	known := b.routes[route]
	if known == nil {
		known = newRouteStats()
		b.routes[route] = known
	}
	return known
}

// stateOf returns the state of an instance, updated with its current entry.
func (b *Balancer) stateOf(instance *snapshot.Instance, now time.Time) *instanceState {
	known := b.instances[instance.Name]
	if known == nil || known.startedMillis < instance.StartedMillis {
		known = &instanceState{slowdown: 1, lastPickedAt: now, startedMillis: instance.StartedMillis}
		b.instances[instance.Name] = known
	}
	known.cold.Follow(*instance, now)
	return known
}

// prune removes the state of instances that have not been chosen for a long time.
func (b *Balancer) prune(now time.Time) {
	if now.Sub(b.prunedAt) < forgetAfter {
		return
	}
	b.prunedAt = now
	for name, known := range b.instances {
		if known.outstanding == 0 && now.Sub(known.lastPickedAt) > forgetAfter {
			delete(b.instances, name)
		}
	}
	if len(b.routes) > maxRoutes {
		b.routes = make(map[string]*routeStats)
	}
}

// maxRoutes bounds the number of routes with statistics.
const maxRoutes = 10_000

// Transition tells whether a result changed the availability of an instance.
type Transition uint8

// The values of Transition.
const (
	Unchanged Transition = 0
	// Ejected: the instance could not be reached or accepts no new requests. It gets no
	// requests for a while.
	Ejected Transition = 1
	// Recovered: the instance answers again.
	Recovered Transition = 2
	// LinkBusy: an attempt to connect timed out and counts as Busy, as the link is busy. The
	// availability is unchanged.
	LinkBusy Transition = 3
)

// Done reports how the request ended. report is nil if the instance's sidecar sent
// none; bytes is the size of the answer.
func (c Choice) Done(result Result, report *hop.Report, bytes int, now time.Time) Transition {
	b := c.balancer
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := c.state
	known.outstanding = max(known.outstanding-1, 0)
	known.link.end(c.largeBodyBegan, report != nil, now)
	linkBusy := result == ConnectTimedOut && b.isLinkBusy(known, now)
	result = resultOf(result, linkBusy)
	if report != nil {
		known.silentSince = now
		known.reportedLoad, known.outstandingAtReport, known.reportedAt = report.Running+report.Waiting, known.outstanding, now
		if report.Reason != hop.ReasonUnconfigured { // such a node does not know the state of its instance
			known.cold.Report(report.ColdFor, now)
		}
		known.setReportedSlowdown(report.SlowdownPercent, now)
		known.momentary.set(report, now)
		b.serviceLoadOf(c.Instance.Service).record(report, now)
		known.backlog, known.linkRate = report.Backlog, kibibyte*float64(report.LinkRate)
		known.link.report(report.Link, now)
		b.linksReported = b.linksReported || report.Link.IsKnown()
	}
	wasEjected := known.ejected
	known.ejected = result == DeliveryFailed || result == NotAccepting || wasEjected && result != Served && result != RequestFailed
	if result == Served || result == RequestFailed || result == DeliveryFailed {
		known.recordOutcome(result != Served, now)
	}
	switch result {
	case Served, RequestFailed:
		known.consecutiveFailures = 0
		known.ejectedUntil, known.busyUntil = time.Time{}, time.Time{}
		if result == Served && report != nil && report.Execution > 0 {
			b.recordExecution(c.route, known, report.Execution, bytes, now)
		}
	case Busy:
		known.busyUntil = now.Add(busyPeriod)
	case RateLimited:
		known.rateLimitedUntil = now.Add(report.RetryAfter)
	case Limited:
		known.limitedUntil = now.Add(min(report.RetryAfter, maxLimitedPeriod))
		known.limitRoomAt = now.Add(report.RetryAfter)
	case NotAccepting:
		known.ejectedUntil = now.Add(notAcceptingEjection)
	case DeliveryFailed:
		known.ejectedUntil = now.Add(min(minEjection<<min(known.consecutiveFailures, 8), maxEjection))
		known.consecutiveFailures++
	}
	switch {
	case linkBusy:
		return LinkBusy
	case known.ejected == wasEjected:
		return Unchanged
	case known.ejected:
		return Ejected
	default:
		return Recovered
	}
}

// recordExecution records how long an instance worked on a request, and the size of the
// answer.
func (b *Balancer) recordExecution(route string, known *instanceState, execution time.Duration, bytes int, now time.Time) {
	b.meanServiceTime += (execution - b.meanServiceTime) / routeMeanDivisor
	stats := b.routeStatsOf(route)
	execution = time.Duration(float64(execution) / known.warmUpSlowdown(now) / known.momentary.at(now))
	if stats.measured && !known.slowdownReported {
		known.recordSlowdown(float64(execution)/float64(max(stats.meanServiceTime, time.Millisecond)), now)
	}
	stats.recordServiceTime(execution, known.slowdownAt(now))
	stats.answerBytes += (float64(bytes) - stats.answerBytes) / routeMeanDivisor
}

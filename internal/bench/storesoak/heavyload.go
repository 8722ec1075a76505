package storesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// heavyStream separates the draws of heavy load from those of faults and calls.
	heavyStream = 9
	// heavyQuietTime is how long heavy load continues after the last fault: classes are compared
	// only in times without faults.
	heavyQuietTime = 15 * time.Second
	// overloadPeriod is the time between changes of the load; every second period is an overload.
	overloadPeriod = 4 * time.Second
	// leastOverload and mostOverload bound the load in an overload as a multiple of the usual one.
	leastOverload, mostOverload = 3.0, 5.0
	// heavySlots are the slots of an instance that runs the routes of three priorities: few, so that
	// some hundred calls per second exceed them.
	heavySlots = 4
	// knownLinkMbps is the rate of the links that are known to their nodes, which are one in knownLinkOneIn.
	knownLinkMbps, knownLinkOneIn = 10, 2
	// stoppingOneIn is one in how many readers of large answers stops reading for a while.
	stoppingOneIn             = 5
	shortestStop, longestStop = 300 * time.Millisecond, 2500 * time.Millisecond
)

// heavyRoute is a route of the heavy load with its share of the calls.
type heavyRoute struct {
	name, kind, service string
	priority            int
	// weight is the share of the calls in percent.
	weight int
	// work is how long a call takes; zero: as other calls.
	work time.Duration
}

// heavyRoutes are the routes of the heavy load. Most runs of "fetch" make calls to another service.
var heavyRoutes = []heavyRoute{
	{name: routePack, kind: store.KindSafe, service: serviceRead, priority: 1, weight: 25},
	{name: "fetch", kind: store.KindSafe, service: serviceRead, priority: 0, weight: 10},
	{name: "urgent", kind: store.KindUnsafe, service: serviceWrite, priority: 0, weight: 15, work: 60 * time.Millisecond},
	{name: "usual", kind: store.KindUnsafe, service: serviceWrite, priority: 1, weight: 15, work: 60 * time.Millisecond},
	{name: "bulk", kind: store.KindSafe, service: serviceWrite, priority: 2, weight: 35, work: 120 * time.Millisecond},
}

// routePack is the route with large answers.
const routePack = "pack"

func (r *heavyRoute) path() string { return "/" + r.name + "/" }

// isUnsafe reports whether a call of the route may run only once.
func (r *heavyRoute) isUnsafe() bool { return r.kind == store.KindUnsafe }

// drawHeavyRoute draws a route by its weight.
func drawHeavyRoute(random *rand.Rand) *heavyRoute {
	total := 0
	for _, each := range heavyRoutes {
		total += each.weight
	}
	drawn := random.IntN(total)
	for i := range heavyRoutes {
		if drawn -= heavyRoutes[i].weight; drawn < 0 {
			return &heavyRoutes[i]
		}
	}
	panic("the weights do not add up")
}

// heavyLoad holds what the machines of a soak with heavy load have in addition; nil: there is none.
type heavyLoad struct {
	seed uint64
	// began is the time from which periods are counted.
	began time.Time
	// knownLinks are the machines whose links have a known rate.
	knownLinks []int
}

// newHeavyLoad returns the heavy load of a soak, nil if its options have none.
func newHeavyLoad(options Options) *heavyLoad {
	if options.HeavyRate <= 0 {
		return nil
	}
	created := &heavyLoad{seed: options.Seed, began: time.Now()}
	random := rand.New(rand.NewPCG(options.Seed, options.Seed+heavyStream))
	for machine := range options.Machines {
		if random.IntN(knownLinkOneIn) == 0 {
			created.knownLinks = append(created.knownLinks, machine)
		}
	}
	return created
}

// nodeFlags returns the further flags of a machine's node.
func (h *heavyLoad) nodeFlags(machine int) []string {
	if h == nil || !slices.Contains(h.knownLinks, machine) {
		return nil
	}
	return []string{fmt.Sprintf("--node.link_mbps=%d", knownLinkMbps)}
}

// slots returns how many slots an instance of a service has.
func (h *heavyLoad) slots(service string) int {
	if h != nil && service == serviceWrite {
		return heavySlots
	}
	return instanceSlots
}

// routes returns the further routes of the configuration.
func (h *heavyLoad) routes(timeoutMillis int) (found []store.Route) {
	if h == nil {
		return nil
	}
	for _, each := range heavyRoutes {
		created := newRoute(each.name, each.path(), each.kind, each.service, timeoutMillis)
		created.Priority = each.priority
		found = append(found, created)
	}
	return found
}

// loadAt returns the load at a time as a multiple of the usual one.
func (h *heavyLoad) loadAt(now time.Time) float64 {
	period := uint64(now.Sub(h.began) / overloadPeriod)
	if period%2 == 0 {
		return 1
	}
	random := rand.New(rand.NewPCG(h.seed, period))
	return leastOverload + random.Float64()*(mostOverload-leastOverload)
}

// startHeavyLoad starts the calls of the heavy load, if there are any. finish lets them go on for
// heavyQuietTime, stops them and returns once the last one was sent.
func (s *soak) startHeavyLoad(ctx context.Context) (finish func(ctx context.Context) error) {
	if s.fleet.heavy == nil {
		return func(context.Context) error { return nil }
	}
	calling, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.callers.runHeavyCalls(calling, s.fleet.heavy, s.options.HeavyRate)
	}()
	return func(ctx context.Context) error {
		err := wait.For(ctx, heavyQuietTime)
		stop()
		<-ended
		return err
	}
}

// runHeavyCalls sends the calls of the heavy load, usually at an average of rate per second, until
// the context ends.
func (c *callers) runHeavyCalls(ctx context.Context, heavy *heavyLoad, rate float64) {
	random := rand.New(rand.NewPCG(heavy.seed, heavy.seed+heavyStream+1))
	for number := 1; ; number++ {
		pause := random.ExpFloat64() / (rate * heavy.loadAt(time.Now()))
		if wait.For(ctx, time.Duration(pause*float64(time.Second))) != nil {
			return
		}
		planned := c.planHeavyCall(random, number)
		c.sending.Go(func() { c.send(planned) })
	}
}

// planHeavyCall draws a call of the heavy load and records it.
func (c *callers) planHeavyCall(random *rand.Rand, number int) *call {
	machine := c.fleet.machines[random.IntN(len(c.fleet.machines))]
	route := drawHeavyRoute(random)
	planned := &call{machine: machine.number, incarnation: machine.incarnation.Load(), heavy: route, kind: kindRead}
	planned.id = fmt.Sprintf("%s-%06d", route.name, number)
	if route.isUnsafe() {
		planned.kind, planned.body = kindWrite, "body of "+planned.id
	}
	if route.name == routePack {
		planned.id += packSuffix
		if random.IntN(stoppingOneIn) == 0 {
			planned.readingStop = shortestStop + time.Duration(random.Int64N(int64(longestStop-shortestStop)))
		}
	}
	planned.path = route.path() + planned.id
	if tenants := c.fleet.catalog.tenants; tenants != nil {
		planned.key = tenants.drawKey(random)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls = append(c.calls, planned)
	return planned
}

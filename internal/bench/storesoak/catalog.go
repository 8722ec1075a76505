package storesoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Host, paths and timeouts of the configured routes.
const (
	host      = "soak.example"
	pathRead  = "/read/"
	pathWrite = "/write/"
	// pathCheck is requested by the instances of serviceRead.
	pathCheck          = "/check/"
	routeTimeoutMillis = 2000
	// changedTimeoutMillis is the timeout of a route after a change of its timeout.
	changedTimeoutMillis = 1900
)

// routeState is the state of a route in a version of the configuration: the service that
// it targets, or absent.
type routeState string

const absent routeState = ""

// routeChange is the state of a route from one version on.
type routeChange struct {
	version int
	state   routeState
}

// version is one configuration that an operator wrote.
type version struct {
	number int
	// revision is that of the store, in the era in which the configuration was written.
	revision snapshot.Revision
	// sent and acknowledged are when the write to the store was sent and confirmed.
	sent, acknowledged time.Time
	// kind names the edit, for reports.
	kind string
	// changedRoutes are the routes that it changed.
	changedRoutes []int
	// invalid versions are not configurations: the nodes must keep the one before.
	invalid bool
}

// catalog holds every version of the configuration that operators wrote.
type catalog struct {
	mutex    sync.Mutex
	versions []version
	// states holds the changes of each route by ascending version; route n is at index n-1.
	states [][]routeChange
	// timeoutChanged has the routes whose timeout was changed.
	timeoutChanged map[int]bool
	// declaresColdStart sets the rate that cold instances can serve in each service.
	declaresColdStart bool
	// healthPath is the path of health checks in the configuration; empty: it names none.
	healthPath string
	// timeoutMillis is the time-out of routes.
	timeoutMillis int
	// tenants are the callers with keys; nil: there are none.
	tenants *tenants
	// heavy adds the routes of heavy load; nil: there are none.
	heavy *heavyLoad
}

func newCatalog() *catalog {
	return &catalog{timeoutChanged: make(map[int]bool), timeoutMillis: routeTimeoutMillis}
}

// addedPath returns the path prefix of route n; routes count from 1.
func addedPath(n int) string { return fmt.Sprintf("/added-%d/", n) }

// routeCount returns how many routes were ever added.
func (c *catalog) routeCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.states)
}

// changedByLast returns the routes that the last version changed.
func (c *catalog) changedByLast() []int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.versions) == 0 {
		return nil
	}
	return c.versions[len(c.versions)-1].changedRoutes
}

// stateAt returns the state of a route in a version. Callers hold the mutex until the soak
// has ended.
func (c *catalog) stateAt(route, number int) routeState {
	changes := c.states[route-1]
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].version <= number {
			return changes[i].state
		}
	}
	return absent
}

// edit is one kind of change. apply returns the changed routes, none if nothing could be
// changed, and lets the number of routes grow up to maxRoutes.
type edit struct {
	name    string
	invalid bool
	apply   func(c *catalog, random *rand.Rand, number, maxRoutes int) []int
}

// edits are drawn with equal probability.
var edits = []edit{
	{name: "add a route", apply: func(c *catalog, _ *rand.Rand, number, _ int) []int { return c.add(number, 1) }},
	{name: "add many routes", apply: func(c *catalog, random *rand.Rand, number, maxRoutes int) []int {
		return c.add(number, 1+random.IntN(max(maxRoutes-len(c.states), 1)))
	}},
	{name: "remove routes", apply: (*catalog).remove},
	{name: "lead routes to another service", apply: (*catalog).retarget},
	{name: "change the time of routes", apply: (*catalog).changeTimeout},
	{name: "an entry that is not a configuration", invalid: true, apply: func(*catalog, *rand.Rand, int, int) []int { return nil }},
}

func (c *catalog) add(number, count int) (added []int) {
	for range count {
		c.states = append(c.states, []routeChange{{number, serviceRead}})
		added = append(added, len(c.states))
	}
	return added
}

// maxChangedRoutes bounds how many existing routes one edit changes.
const maxChangedRoutes = 5

// drawPresent draws up to maxChangedRoutes routes that exist in a version.
func (c *catalog) drawPresent(random *rand.Rand, number int) []int {
	var found []int
	for range maxChangedRoutes {
		if len(c.states) == 0 {
			break
		}
		if route := 1 + random.IntN(len(c.states)); c.stateAt(route, number) != absent && !slices.Contains(found, route) {
			found = append(found, route)
		}
	}
	return found
}

func (c *catalog) setState(route, number int, state routeState) {
	c.states[route-1] = append(c.states[route-1], routeChange{number, state})
}

func (c *catalog) remove(random *rand.Rand, number, _ int) []int {
	found := c.drawPresent(random, number)
	for _, route := range found {
		c.setState(route, number, absent)
	}
	return found
}

func (c *catalog) retarget(random *rand.Rand, number, _ int) []int {
	found := c.drawPresent(random, number)
	for _, route := range found {
		next := routeState(serviceWrite)
		if c.stateAt(route, number) == serviceWrite {
			next = serviceRead
		}
		c.setState(route, number, next)
	}
	return found
}

func (c *catalog) changeTimeout(random *rand.Rand, number, _ int) []int {
	found := c.drawPresent(random, number)
	for _, route := range found {
		c.timeoutChanged[route] = true
	}
	return found
}

// writeRandom applies a random edit and writes the next version; maxRoutes bounds the number
// of routes.
func (c *catalog) writeRandom(random *rand.Rand, maxRoutes int, write func(entry []byte) snapshot.Revision) version {
	drawn := edits[random.IntN(len(edits))]
	if c.tenants != nil && random.IntN(len(edits)) == 0 {
		drawn = rotateKey
	}
	return c.write(drawn, random, maxRoutes, write)
}

// writeFirst writes the first version, which has the given number of routes.
func (c *catalog) writeFirst(routes int, write func(entry []byte) snapshot.Revision) {
	first := edit{name: "the first", apply: func(c *catalog, _ *rand.Rand, number, _ int) []int { return c.add(number, routes) }}
	c.write(first, nil, 0, write)
}

func (c *catalog) write(drawn edit, random *rand.Rand, maxRoutes int, write func(entry []byte) snapshot.Revision) version {
	c.mutex.Lock()
	number := len(c.versions) + 1
	next := version{number: number, kind: drawn.name, invalid: drawn.invalid, sent: time.Now()}
	next.changedRoutes = drawn.apply(c, random, number, maxRoutes)
	document := c.document(number)
	entry := document.Encode()
	switch {
	case drawn.invalid:
		entry = store.UnreadableConfiguration()
	case number%2 == 0:
		entry = document.EncodeWithFaults()
	}
	c.versions = append(c.versions, next) // probes may see it from the moment that it is sent
	c.mutex.Unlock()
	next.revision = write(entry)
	next.acknowledged = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.versions[number-1] = next
	return next
}

// document returns the configuration of a version. Callers hold the mutex.
func (c *catalog) document(number int) store.Configuration {
	paths := []store.Route{
		newRoute("read", pathRead, store.KindSafe, serviceRead, c.timeoutMillis),
		newRoute("write", pathWrite, store.KindUnsafe, serviceWrite, c.timeoutMillis),
		newRoute("check", pathCheck, store.KindSafe, serviceWrite, c.timeoutMillis),
	}
	paths[len(paths)-1].AllowAnonymous = true // the calls of instances have no key
	paths = append(paths, c.heavy.routes(c.timeoutMillis)...)
	for route := 1; route <= len(c.states); route++ {
		state, millis := c.stateAt(route, number), c.timeoutMillis
		if state == absent {
			continue
		}
		if c.timeoutChanged[route] {
			millis = changedTimeoutMillis
		}
		paths = append(paths, newRoute(fmt.Sprint("added-", route), addedPath(route), store.KindSafe, string(state), millis))
	}
	return store.Configuration{
		Version:      number,
		Services:     c.services(),
		Limits:       store.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 15000},
		Tenants:      c.tenants.inVersion(number),
		VirtualHosts: []store.VirtualHost{{Host: host, Paths: paths}},
	}
}

// services returns the services, with their cold start rates if declaresColdStart is set.
func (c *catalog) services() (named []store.Service) {
	for _, name := range []string{serviceFront, serviceRead, serviceWrite} {
		service := store.Service{Name: name}
		if c.declaresColdStart {
			service.ColdStartS, service.ColdPerS = coldStartDuration.Seconds(), coldRatePerSecond
			service.HealthPath = c.healthPath
		}
		named = append(named, service)
	}
	return named
}

func newRoute(name, prefix, kind, to string, millis int) store.Route {
	return store.Route{
		Name: name, PathPrefix: prefix, Kind: kind, TimeoutMs: millis, TargetLatencyMs: millis / 4,
		Priority: 1, Service: to, MaxAttempts: 2,
	}
}

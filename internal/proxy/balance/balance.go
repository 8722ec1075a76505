// Package balance decides which instance of a service gets a request. It keeps
// what this node observed about each instance: requests in flight, reported
// load, failures, age. Time and random numbers are passed in; it does no input
// or output.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

// Mode names a way of choosing.
type Mode string

// The modes, as in the settings.
const (
	// TwoChoices takes the less loaded of two random instances and uses all that
	// was observed.
	TwoChoices Mode = "two-choices"
	// Random is a plain baseline: any instance with equal chance, observations
	// unused.
	Random Mode = "random"
)

// Key names one process of an instance. A later process at the same address
// has another incarnation and so starts with a clean state.
type Key struct {
	Node        membership.NodeID
	Incarnation membership.Incarnation
}

// KeyOf returns the key of an endpoint.
func KeyOf(endpoint membership.Endpoint) Key {
	return Key{Node: endpoint.Node, Incarnation: endpoint.Incarnation}
}

// Request is what the choice depends on, besides what was observed.
type Request struct {
	Service string
	// Endpoints are the instances that may take new work. The slice must not
	// change after it was passed in: its identity is the key of a cache.
	Endpoints []membership.Endpoint
	// PreferZone keeps the request in the own zone, then in the own region,
	// while instances there are loaded less than SpillOver (0: the default).
	PreferZone bool
	SpillOver  float64
	// Tried are the instances that this request was already sent to.
	Tried []Key
	Now   time.Time
}

// Balancer chooses instances. It is safe for concurrent use.
type Balancer struct {
	mu       sync.Mutex
	mode     Mode
	region   string
	zone     string
	random   *rand.Rand
	services map[string]*service
}

// Options are what a Balancer is made from.
type Options struct {
	Mode Mode
	// Region and Zone are where this node runs.
	Region string
	Zone   string
	// Source gives the random numbers.
	Source rand.Source
}

// New returns a Balancer that knows no instance yet.
func New(options Options) *Balancer {
	return &Balancer{
		mode:     options.Mode,
		region:   options.Region,
		zone:     options.Zone,
		random:   rand.New(options.Source),
		services: make(map[string]*service),
	}
}

// service is what is known of the instances of one service.
type service struct {
	knownSince time.Time
	endpoints  []membership.Endpoint // as last seen; identity tells a new view
	candidates []*instance           // parallel to endpoints
	byKey      map[Key]*instance     // instances in the view, and those with state to keep
}

// Pick chooses an instance and counts the request as in flight there; the caller
// must call Done once with the result. It reports false when no instance may be
// asked.
func (b *Balancer) Pick(request Request) (*Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.refresh(request)
	eligible := func(candidate *instance, class class) bool {
		return candidate.classAt(request.Now) == class && !slices.Contains(request.Tried, candidate.key)
	}
	if b.mode == Random {
		return b.pickRandom(known, request)
	}
	for _, wanted := range []class{classHealthy, classSuspected, classEjected, classLeaving} {
		chosen := b.pickByZone(known.candidates, request, func(candidate *instance) bool {
			return eligible(candidate, wanted)
		})
		if chosen != nil {
			return b.begin(known, chosen), true
		}
	}
	return nil, false
}

// PickExactly takes the given instance, whatever was observed about it. It
// serves requests that only one instance may run.
func (b *Balancer) PickExactly(serviceName string, endpoint membership.Endpoint) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.service(serviceName)
	found, ok := known.byKey[KeyOf(endpoint)]
	if !ok {
		found = &instance{key: KeyOf(endpoint), endpoint: endpoint}
		known.byKey[found.key] = found
	}
	return b.begin(known, found)
}

func (b *Balancer) begin(known *service, chosen *instance) *Choice {
	chosen.inFlight++
	return &Choice{Endpoint: chosen.endpoint, balancer: b, service: known, instance: chosen}
}

func (b *Balancer) service(name string) *service {
	known, ok := b.services[name]
	if !ok {
		known = &service{byKey: make(map[Key]*instance)}
		b.services[name] = known
	}
	return known
}

// refresh takes over the endpoints of a new view.
func (b *Balancer) refresh(request Request) *service {
	known := b.service(request.Service)
	if sameSlice(known.endpoints, request.Endpoints) {
		return known
	}
	if known.knownSince.IsZero() {
		known.knownSince = request.Now
	}
	previous := known.candidates
	known.endpoints = request.Endpoints
	known.candidates = make([]*instance, len(request.Endpoints))
	for index, endpoint := range request.Endpoints {
		known.candidates[index] = known.takeIn(endpoint, slices.ContainsFunc(previous, isProcess(endpoint)), request.Now)
	}
	known.forget(request.Now)
	return known
}

func isProcess(endpoint membership.Endpoint) func(*instance) bool {
	key := KeyOf(endpoint)
	return func(candidate *instance) bool { return candidate.key == key }
}

// takeIn returns the instance of an endpoint in the view. One that has just
// joined starts slowly, unless this node has just met the whole service: then it
// is the node that is new.
func (s *service) takeIn(endpoint membership.Endpoint, wasInView bool, now time.Time) *instance {
	key := KeyOf(endpoint)
	found, ok := s.byKey[key]
	if !ok {
		found = &instance{key: key}
		s.byKey[key] = found
	}
	found.endpoint = endpoint
	if !wasInView {
		found.leavingUntil = time.Time{} // what it said was before
	}
	if !wasInView && now.Sub(s.knownSince) > slowStart {
		found.startedAt = now
	}
	return found
}

// forget drops the instances that left the view and have no state worth keeping.
func (s *service) forget(now time.Time) {
	for key, candidate := range s.byKey {
		if candidate.inFlight == 0 && !candidate.ejectedAt(now) && !slices.Contains(s.candidates, candidate) {
			delete(s.byKey, key)
		}
	}
}

// sameSlice reports whether both are the same part of the same array. The view
// that owns an array is kept alive by the reference, so its address is not reused.
func sameSlice(one, other []membership.Endpoint) bool {
	if len(one) != len(other) || len(one) == 0 {
		return false
	}
	return &one[0] == &other[0]
}

func (b *Balancer) pickRandom(known *service, request Request) (*Choice, bool) {
	chosen := b.sample(known.candidates, request.Now, func(candidate *instance) bool {
		return !slices.Contains(request.Tried, candidate.key)
	})
	if chosen == nil {
		return nil, false
	}
	return b.begin(known, chosen), true
}

// Package balance decides which instance of a service gets a request. It stores
// what this node observed about each instance: requests in flight, reported load,
// failures and age. Time and random numbers are passed in; the package does no
// input or output.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

// Mode is a load balancing algorithm.
type Mode string

// The modes, with their values in the settings.
const (
	// TwoChoices chooses the less loaded of two random instances and uses all
	// observations.
	TwoChoices Mode = "two-choices"
	// Random is a baseline for comparison: every instance has the same probability,
	// and observations are not used.
	Random Mode = "random"
)

// Key identifies one process of an instance. A later process at the same address has
// another incarnation, so it does not inherit the observations.
type Key struct {
	Node        membership.NodeID
	Incarnation membership.Incarnation
}

// KeyOf returns the key of an endpoint.
func KeyOf(endpoint membership.Endpoint) Key {
	return Key{Node: endpoint.Node, Incarnation: endpoint.Incarnation}
}

// Request contains the inputs of a choice other than the observations.
type Request struct {
	Service string
	// Endpoints are the instances that accept new requests. The slice must not be
	// modified after it was passed in, because a cache is keyed by its identity.
	Endpoints []membership.Endpoint
	// PreferZone keeps the request in this node's zone, or else in its region, as
	// long as instances there have a load below SpillOver (0: the default).
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

// Options configures a Balancer.
type Options struct {
	Mode Mode
	// Region and Zone are where this node runs.
	Region string
	Zone   string
	// Source provides the random numbers.
	Source rand.Source
}

// New returns a Balancer without any instances.
func New(options Options) *Balancer {
	return &Balancer{
		mode:     options.Mode,
		region:   options.Region,
		zone:     options.Zone,
		random:   rand.New(options.Source),
		services: make(map[string]*service),
	}
}

// service is the state of one service and its instances.
type service struct {
	knownSince time.Time
	endpoints  []membership.Endpoint // of the last request; a different slice means a new view
	candidates []*instance           // parallel to endpoints
	byKey      map[Key]*instance     // instances in the view and those whose state is still needed
}

// Pick chooses an instance and counts the request as in flight there; the caller must
// call Done on the choice. It returns false if no instance may be tried.
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
			return b.startRequest(known, chosen), true
		}
	}
	return nil, false
}

// PickExactly chooses the given instance regardless of observations. It is for
// requests that only one instance may run.
func (b *Balancer) PickExactly(serviceName string, endpoint membership.Endpoint) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.service(serviceName)
	found, ok := known.byKey[KeyOf(endpoint)]
	if !ok {
		found = &instance{key: KeyOf(endpoint), endpoint: endpoint}
		known.byKey[found.key] = found
	}
	return b.startRequest(known, found)
}

func (b *Balancer) startRequest(known *service, chosen *instance) *Choice {
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

// refresh updates the instances of the service if the request has a new view.
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
		known.candidates[index] = known.instanceFor(endpoint, slices.ContainsFunc(previous, isProcess(endpoint)), request.Now)
	}
	known.removeStale(request.Now)
	return known
}

func isProcess(endpoint membership.Endpoint) func(*instance) bool {
	key := KeyOf(endpoint)
	return func(candidate *instance) bool { return candidate.key == key }
}

// instanceFor returns the instance of an endpoint in the view. An instance that has
// just joined begins a slow start, unless this node has known the service only for a
// short time: then its instances may have been running for long.
func (s *service) instanceFor(endpoint membership.Endpoint, wasInView bool, now time.Time) *instance {
	key := KeyOf(endpoint)
	found, ok := s.byKey[key]
	if !ok {
		found = &instance{key: key}
		s.byKey[key] = found
	}
	found.endpoint = endpoint
	if !wasInView {
		found.leavingUntil = time.Time{} // the report is from before it left the view
	}
	if !wasInView && now.Sub(s.knownSince) > slowStart {
		found.startedAt = now
	}
	return found
}

// removeStale removes the instances that left the view, have no requests in flight and
// are not ejected.
func (s *service) removeStale(now time.Time) {
	for key, candidate := range s.byKey {
		if candidate.inFlight == 0 && !candidate.ejectedAt(now) && !slices.Contains(s.candidates, candidate) {
			delete(s.byKey, key)
		}
	}
}

// sameSlice reports whether both slices are the same part of the same array. The stored
// reference keeps the array alive, so its address cannot be reused.
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
	return b.startRequest(known, chosen), true
}

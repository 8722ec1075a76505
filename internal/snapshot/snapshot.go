package snapshot

import (
	"net/http"
	"time"
)

// Match specifies the requests that a route applies to. Empty fields match everything.
type Match struct {
	// Host is compared case-insensitively and without the port.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments: "/trips" matches "/trips" and
	// "/trips/7", but not "/tripsheet".
	PathPrefix string `json:"path_prefix,omitempty"`
	// Literal makes PathPrefix a literal prefix of the path as sent: "/trips/"
	// matches "/trips/7" but not "/trips".
	Literal bool `json:"literal,omitempty"`
	// Methods lists the accepted HTTP methods in upper case.
	Methods []string `json:"methods,omitempty"`
	// Headers maps canonical header names to the exact values required.
	Headers map[string]string `json:"headers,omitempty"`
}

// WeightedService is one target of a route.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the other targets of the route; the minimum is 1.
	Weight int `json:"weight"`
}

// Limits bounds the load that one route may put on one instance.
type Limits struct {
	// MaxInFlight is the maximum number of concurrent requests of the route on one
	// instance. Zero leaves only the limit of the instance.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxQueued is the maximum number of requests of the route waiting for a slot of one
	// instance. Zero leaves only the limit of the instance's sidecar.
	MaxQueued int `json:"max_queued,omitempty"`
}

// SecretHeader attaches a secret to the requests sent to the backend.
type SecretHeader struct {
	// Header is the canonical name of the header to set.
	Header string `json:"header"`
	// Secret names the secret whose value is sent.
	Secret string `json:"secret"`
	// Prefix is put before the value, such as "Bearer ".
	Prefix string `json:"prefix,omitempty"`
}

// Route is one compiled rule: the requests it applies to and how they are forwarded.
type Route struct {
	// Name is unique within a snapshot: "policy/route".
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// Targets is empty only for an unusable route.
	Targets []WeightedService `json:"targets"`
	// PreferZone keeps requests in the caller's zone while it has capacity.
	PreferZone bool `json:"prefer_zone"`
	// SpillOver is the load of the caller's zone, from 0 to 1, above which requests may
	// leave the zone. It applies only with PreferZone.
	SpillOver float64 `json:"spill_over,omitempty"`
	// Timeout is the maximum duration of a request, including retries.
	Timeout time.Duration `json:"timeout"`
	// RepeatMethods lists the methods that are safe to run more than once.
	RepeatMethods []string `json:"repeat_methods,omitempty"`
	// Repeatable says that requests are safe to run more than once, whatever their method.
	Repeatable bool `json:"repeatable,omitempty"`
	// Priority is the rank of the route's requests under overload; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// TargetLatency is the response time up to which a response has its full value to the
	// caller; zero if the operators specify none.
	TargetLatency time.Duration `json:"target_latency,omitempty"`
	// MaxAttempts is the maximum number of attempts for one request, including the first.
	MaxAttempts int            `json:"max_attempts"`
	Limits      Limits         `json:"limits"`
	Secrets     []SecretHeader `json:"secrets,omitempty"`
	// AllowAnonymous accepts requests without an API key although there are tenants.
	AllowAnonymous bool `json:"allow_anonymous,omitempty"`
	// AllowedRegions are the regions whose instances may serve the route; empty: all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// Unusable is set if all requests are refused because the operators' entry for the route cannot be used.
	Unusable bool `json:"unusable,omitempty"`
	// Fault says which parts of the operators' entry were not used; empty: all were.
	Fault string `json:"fault,omitempty"`
}

// MayRepeat reports whether a request with this method is safe to run more than once.
func (r *Route) MayRepeat(method string) bool {
	if r.Repeatable {
		return true
	}
	for _, allowed := range r.RepeatMethods {
		if allowed == method {
			return true
		}
	}
	return false
}

// Snapshot is a compiled document: everything that a node needs to route requests. It is immutable;
// build it with New.
type Snapshot struct {
	version    Version
	generation uint64
	routes     []Route
	services   map[string]Service
	secrets    map[string]Secret
	table      routeTable
	tenants    tenantIndex
	fleet      fleet
	// ranksRoutes is set if there are routes of priority 0 and of others.
	ranksRoutes bool
	hasUnusable bool
}

// Version returns the version of the document that the snapshot was compiled from.
func (s *Snapshot) Version() Version { return s.version }

// Generation returns the number of snapshots that this node has put in force so far. It may rise
// without a new version when the fleet changes.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Routes returns the routes in matching order. The caller must not modify them.
func (s *Snapshot) Routes() []Route { return s.routes }

// RanksRoutes reports whether there are routes of priority 0 and routes of lower priority.
func (s *Snapshot) RanksRoutes() bool { return s.ranksRoutes }

// HasUnusableRoutes reports whether any route is unusable.
func (s *Snapshot) HasUnusableRoutes() bool { return s.hasUnusable }

// Service returns the service of a name, if it is part of the snapshot.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the services by name. The caller must not modify the map.
func (s *Snapshot) Services() map[string]Service { return s.services }

// Secret returns the secret of a name, if it is part of the snapshot.
func (s *Snapshot) Secret(name string) (Secret, bool) {
	secret, ok := s.secrets[name]
	return secret, ok
}

// Lookup returns the first route that matches the request, or nil. host may include a port.
func (s *Snapshot) Lookup(method, host, path string, header http.Header) *Route {
	return s.table.lookup(method, host, path, header)
}

package snapshot

import (
	"net/http"
	"time"
)

// Match tells which requests a route takes. Empty fields match everything.
type Match struct {
	// Host is compared without port and without regard to case.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments: "/trips" takes "/trips" and
	// "/trips/7", not "/tripsheet".
	PathPrefix string `json:"path_prefix,omitempty"`
	// Literal makes PathPrefix a prefix of the path as it was sent, byte by byte:
	// "/trips/" takes "/trips/7" and not "/trips".
	Literal bool `json:"literal,omitempty"`
	// Methods lists the accepted HTTP methods in upper case.
	Methods []string `json:"methods,omitempty"`
	// Headers gives exact values by canonical header name.
	Headers map[string]string `json:"headers,omitempty"`
}

// WeightedService is one target of a route.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the other targets of the route and at least 1.
	Weight int `json:"weight"`
}

// Limits bounds what one route may ask of one instance.
type Limits struct {
	// MaxInFlight bounds the requests of the route running on one instance.
	// Zero leaves only the bound of the instance.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxQueued bounds the requests of the route waiting for a slot of one
	// instance. Zero leaves only the bound of the node beside the instance.
	MaxQueued int `json:"max_queued,omitempty"`
}

// SecretHeader tells to attach a secret to requests sent to the back end.
type SecretHeader struct {
	// Header is the canonical name of the header to set.
	Header string `json:"header"`
	// Secret names the secret whose value is sent.
	Secret string `json:"secret"`
	// Prefix is put before the value, such as "Bearer ".
	Prefix string `json:"prefix,omitempty"`
}

// Route is one compiled rule: which requests it takes and how they travel.
type Route struct {
	// Name is unique within a snapshot: "policy/route".
	Name  string `json:"name"`
	Match Match  `json:"match"`
	// Targets is never empty in a consistent snapshot.
	Targets []WeightedService `json:"targets"`
	// PreferZone keeps requests in the caller's zone while it has capacity.
	PreferZone bool `json:"prefer_zone"`
	// SpillOver is the load (0 to 1) of the own zone above which requests may
	// leave it. It matters only with PreferZone.
	SpillOver float64 `json:"spill_over,omitempty"`
	// Timeout is the longest time a request may take, retries included.
	Timeout time.Duration `json:"timeout"`
	// RepeatMethods lists the methods that may be run more than once.
	RepeatMethods []string `json:"repeat_methods,omitempty"`
	// Repeatable says that a request may be run more than once, whatever its
	// method.
	Repeatable bool `json:"repeatable,omitempty"`
	// Priority is the rank of the route's requests where there is not room for
	// all; 0 goes first.
	Priority int `json:"priority,omitempty"`
	// TargetLatency is the time within which an answer is worth most to its
	// caller; zero when the operators name none.
	TargetLatency time.Duration `json:"target_latency,omitempty"`
	// MaxAttempts bounds the sends of one request, the first included.
	MaxAttempts int            `json:"max_attempts"`
	Limits      Limits         `json:"limits"`
	Secrets     []SecretHeader `json:"secrets,omitempty"`
}

// MayRepeat reports whether a request with this method may run more than once.
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

// Snapshot is one compiled document: all that a node needs to route requests.
// It is immutable; build it with New.
type Snapshot struct {
	version    Version
	generation uint64
	routes     []Route
	services   map[string]Service
	secrets    map[string]Secret
	table      routeTable
	fleet      fleet
}

// Version returns the version of the document the snapshot was compiled from.
func (s *Snapshot) Version() Version { return s.version }

// Generation counts, on this node, the compilations put in force; a change of
// the fleet may raise it while the version stays.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Routes returns the routes in matching order. The caller must not change them.
func (s *Snapshot) Routes() []Route { return s.routes }

// Service returns the service of that name, if the snapshot holds it.
func (s *Snapshot) Service(name string) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns the services by name. The caller must not change the map.
func (s *Snapshot) Services() map[string]Service { return s.services }

// Secret returns the secret of that name, if the snapshot holds it.
func (s *Snapshot) Secret(name string) (Secret, bool) {
	secret, ok := s.secrets[name]
	return secret, ok
}

// Lookup returns the first route that takes the request, or nil. host may carry
// a port.
func (s *Snapshot) Lookup(method, host, path string, header http.Header) *Route {
	return s.table.lookup(method, host, path, header)
}

package snapshot

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// The limits of a route.
const (
	// MaxPathSegments bounds the segments of a path prefix.
	MaxPathSegments = 16
	// MaxWeight bounds the weight of one target.
	MaxWeight = 1000
	// MaxRouteTimeout bounds the timeout of a route.
	MaxRouteTimeout = time.Hour
	// MinRouteTimeout is the least timeout of a route.
	MinRouteTimeout = 10 * time.Millisecond
	// MaxRouteAttempts bounds the sends of one request.
	MaxRouteAttempts = 5
)

// New returns the snapshot of the given version. It orders the routes as they
// are matched, and returns no snapshot when Consistent fails.
func New(version Version, routes []Route, services []Service, secrets []Secret) (*Snapshot, error) {
	snapshot := &Snapshot{
		version:  version,
		routes:   routes,
		services: make(map[string]Service, len(services)),
		secrets:  make(map[string]Secret, len(secrets)),
	}
	for _, service := range services {
		snapshot.services[service.Name] = service
	}
	for _, secret := range secrets {
		snapshot.secrets[secret.Name] = secret
	}
	if err := snapshot.Consistent(); err != nil {
		return nil, err
	}
	snapshot.routes = inMatchOrder(routes)
	snapshot.table = newRouteTable(snapshot.routes)
	return snapshot, nil
}

// matchPlace is what a route's place in the order of matching depends on.
type matchPlace struct {
	host               string
	segments, declared int
}

// inMatchOrder returns the routes with a host first, longer path prefixes before
// shorter ones, and equals in declared order.
func inMatchOrder(routes []Route) []Route {
	places := make([]matchPlace, len(routes))
	for i := range routes {
		match := &routes[i].Match
		places[i] = matchPlace{host: match.Host, segments: segments(match.PathPrefix), declared: i}
	}
	slices.SortFunc(places, func(a, b matchPlace) int {
		return cmp.Or(strings.Compare(b.host, a.host), cmp.Compare(b.segments, a.segments), cmp.Compare(a.declared, b.declared))
	})
	ordered := make([]Route, len(routes))
	for i, place := range places {
		ordered[i] = routes[place.declared]
	}
	return ordered
}

// segments counts the segments of a path prefix.
func segments(prefix string) int {
	trimmed := strings.Trim(prefix, "/")
	if trimmed == "" {
		return 0
	}
	return strings.Count(trimmed, "/") + 1
}

// Consistent is the closure check: each service and secret that a route names is
// held, and each route can be matched and sent. It returns the first fault.
func (s *Snapshot) Consistent() error {
	if s.version.IsZero() {
		return eris.New("the snapshot has no version")
	}
	names := make(map[string]bool, len(s.routes))
	for i := range s.routes {
		route := &s.routes[i]
		if names[route.Name] {
			return eris.Errorf("route %q is there twice", route.Name)
		}
		names[route.Name] = true
		if err := s.checkRoute(route); err != nil {
			return eris.Wrapf(err, "route %q", route.Name)
		}
	}
	return nil
}

func (s *Snapshot) checkRoute(route *Route) error {
	if route.Name == "" {
		return eris.New("the route has no name")
	}
	if err := checkMatch(route.Match); err != nil {
		return err
	}
	if err := checkSending(route); err != nil {
		return err
	}
	if err := s.checkTargets(route.Targets); err != nil {
		return err
	}
	for _, attached := range route.Secrets {
		if _, held := s.secrets[attached.Secret]; !held {
			return eris.Errorf("secret %q is not in this version", attached.Secret)
		}
		if attached.Header == "" {
			return eris.Errorf("secret %q has no header", attached.Secret)
		}
	}
	return nil
}

func checkMatch(match Match) error {
	prefix := match.PathPrefix
	if prefix != "" && !strings.HasPrefix(prefix, "/") {
		return eris.Errorf("path %q does not start with a slash", prefix)
	}
	if strings.Contains(strings.Trim(prefix, "/"), "//") {
		return eris.Errorf("path %q has an empty segment", prefix)
	}
	if segments(prefix) > MaxPathSegments {
		return eris.Errorf("path %q has more than %d segments", prefix, MaxPathSegments)
	}
	if match.Host != strings.ToLower(match.Host) || match.Host != hostName(match.Host) {
		return eris.Errorf("host %q is not a lower-case name without a port", match.Host)
	}
	return nil
}

func checkSending(route *Route) error {
	if route.Timeout < MinRouteTimeout || route.Timeout > MaxRouteTimeout {
		return eris.Errorf("timeout %s is not between %s and %s", route.Timeout, MinRouteTimeout, MaxRouteTimeout)
	}
	if route.MaxAttempts < 1 || route.MaxAttempts > MaxRouteAttempts {
		return eris.Errorf("%d attempts is not between 1 and %d", route.MaxAttempts, MaxRouteAttempts)
	}
	if route.Limits.MaxInFlight < 0 || route.Limits.MaxQueued < 0 {
		return eris.New("a limit is below 0")
	}
	if !(route.SpillOver >= 0 && route.SpillOver <= 1) {
		return eris.Errorf("spill-over %v is not between 0 and 1", route.SpillOver)
	}
	return nil
}

func (s *Snapshot) checkTargets(targets []WeightedService) error {
	if len(targets) == 0 {
		return eris.New("the route has no target")
	}
	for _, target := range targets {
		if _, held := s.services[target.Service]; !held {
			return eris.Errorf("service %q is not in this version", target.Service)
		}
		if target.Weight < 1 || target.Weight > MaxWeight {
			return eris.Errorf("weight %d of service %q is not between 1 and %d", target.Weight, target.Service, MaxWeight)
		}
	}
	return nil
}

// SameRoutes reports whether both snapshots route alike.
func (s *Snapshot) SameRoutes(other *Snapshot) bool {
	return reflect.DeepEqual(s.routes, other.routes)
}

// String names the version only, as the snapshot holds secrets.
func (s *Snapshot) String() string { return "snapshot " + s.version.String() }

// GoString hides the content from the %#v verb.
func (s *Snapshot) GoString() string { return s.String() }

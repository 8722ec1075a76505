package snapshot

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// MaxWeight is the maximum weight of one target. Sums of the weights of a route stay far below the range of
// their type.
const MaxWeight = 1 << 40

// New returns the snapshot of the given version, with the routes in matching order. It returns an
// error if CheckConsistency does.
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
	if err := snapshot.CheckConsistency(); err != nil {
		return nil, err
	}
	snapshot.routes = sortedByMatchOrder(routes)
	snapshot.table = newRouteTable(snapshot.routes)
	snapshot.ranksRoutes = slices.ContainsFunc(routes, func(route Route) bool { return !route.Unusable && route.Priority == 0 }) &&
		slices.ContainsFunc(routes, func(route Route) bool { return !route.Unusable && route.Priority != 0 })
	snapshot.hasUnusable = slices.ContainsFunc(routes, func(route Route) bool { return route.Unusable })
	return snapshot, nil
}

// routeSortKey holds what determines the position of a route in the matching order.
type routeSortKey struct {
	host     string
	segments int
	// literalBytes is the length of a literal prefix.
	literalBytes, declared int
}

// sortedByMatchOrder returns the routes with a host first, longer path prefixes before shorter ones,
// and otherwise equal routes in declared order.
func sortedByMatchOrder(routes []Route) []Route {
	sortKeys := make([]routeSortKey, len(routes))
	for i := range routes {
		match := &routes[i].Match
		sortKeys[i] = routeSortKey{host: match.Host, segments: countSegments(match.PathPrefix), declared: i}
		if match.Literal {
			sortKeys[i].literalBytes = len(match.PathPrefix)
		}
	}
	slices.SortFunc(sortKeys, func(a, b routeSortKey) int {
		return cmp.Or(strings.Compare(b.host, a.host), cmp.Compare(b.segments, a.segments), cmp.Compare(b.literalBytes, a.literalBytes), cmp.Compare(a.declared, b.declared))
	})
	ordered := make([]Route, len(routes))
	for i, key := range sortKeys {
		ordered[i] = routes[key.declared]
	}
	return ordered
}

// countSegments returns the number of segments of a path prefix.
func countSegments(prefix string) int {
	trimmed := trimSlashes(prefix)
	if trimmed == "" {
		return 0
	}
	return strings.Count(trimmed, "/") + 1
}

// trimSlashes returns the segments of a path prefix, which may be empty, without the slashes around them.
func trimSlashes(prefix string) string {
	return strings.TrimSuffix(strings.TrimPrefix(prefix, "/"), "/")
}

// CheckConsistency checks that every service and secret named by a route is part of the snapshot, and that
// every route can be matched and forwarded. It returns the first error.
func (s *Snapshot) CheckConsistency() error {
	if s.version.IsZero() {
		return eris.New("the snapshot has no version")
	}
	names := make(map[string]bool, len(s.routes))
	for i := range s.routes {
		route := &s.routes[i]
		if names[route.Name] {
			return eris.Errorf("route %q appears twice", route.Name)
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
	if err := checkMatch(route.Match); err != nil || route.Unusable {
		return err
	}
	if err := checkForwarding(route); err != nil {
		return err
	}
	if err := s.checkTargets(route.Targets); err != nil {
		return err
	}
	for _, attached := range route.Secrets {
		if _, held := s.secrets[attached.Secret]; !held {
			return eris.Errorf("secret %q is not defined in this version", attached.Secret)
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
	if match.Literal {
		return nil
	}
	if strings.Contains(strings.Trim(prefix, "/"), "//") {
		return eris.Errorf("path %q has an empty segment", prefix)
	}
	if match.Host != strings.ToLower(match.Host) || match.Host != hostName(match.Host) {
		return eris.Errorf("host %q is not a lower-case name without a port", match.Host)
	}
	return nil
}

func checkForwarding(route *Route) error {
	if route.Timeout <= 0 {
		return eris.Errorf("timeout %s is not positive", route.Timeout)
	}
	if route.MaxAttempts < 1 {
		return eris.Errorf("%d attempts are less than 1", route.MaxAttempts)
	}
	if route.Limits.MaxInFlight < 0 || route.Limits.MaxQueued < 0 {
		return eris.New("a limit is negative")
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
			return eris.Errorf("service %q is not defined in this version", target.Service)
		}
		if target.Weight < 1 || target.Weight > MaxWeight {
			return eris.Errorf("weight %d of service %q is not between 1 and %d", target.Weight, target.Service, MaxWeight)
		}
	}
	return nil
}

// SameRoutes reports whether both snapshots have the same routes.
func (s *Snapshot) SameRoutes(other *Snapshot) bool {
	return reflect.DeepEqual(s.routes, other.routes)
}

// String returns only the version, as the snapshot contains secrets.
func (s *Snapshot) String() string { return "snapshot " + s.version.String() }

// GoString hides the content from the %#v verb.
func (s *Snapshot) GoString() string { return s.String() }

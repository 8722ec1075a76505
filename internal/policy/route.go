package policy

import (
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Defaults of the arguments of route().
const (
	DefaultTimeout   = 2 * time.Second
	DefaultAttempts  = 3
	DefaultSpillOver = 0.8
)

// DefaultRepeatMethods are the methods whose requests may be sent more than once by
// default: those without side effects.
var DefaultRepeatMethods = []string{"GET", "HEAD", "OPTIONS"}

// MaxTimeout is the maximum timeout of a route that a policy declares.
const MaxTimeout = time.Hour

// Limits of one route.
const (
	minTimeout      = 10 * time.Millisecond
	maxAttempts     = 5
	maxWeight       = 1000
	maxPathSegments = 16
	maxNameBytes    = snapshot.MaxNameBytes
	maxTargets      = 16
	maxHeaders      = 8
	// maxRequestLimit is the highest value of max_in_flight and max_queued.
	maxRequestLimit = 100_000
)

// routeArguments holds the unchecked arguments of route().
type routeArguments struct {
	name, host, path, timeout string
	methods, repeat           starlark.Value
	headers                   *starlark.Dict
	to, spillOver             starlark.Value
	secrets                   *starlark.List
	attempts                  int
	preferZone                bool
	limits                    snapshot.Limits
}

func routeBuiltin(run *execution, args arguments) (starlark.Value, error) {
	if len(args.positional) > 0 {
		return nil, problemf(`write route(name="...", to="...")`, "route() takes named arguments only")
	}
	unchecked := routeArguments{attempts: DefaultAttempts, preferZone: true}
	err := args.unpack(
		"name", &unchecked.name, "to", &unchecked.to,
		"host?", &unchecked.host, "path?", &unchecked.path, "methods?", &unchecked.methods, "headers?", &unchecked.headers,
		"timeout?", &unchecked.timeout, "repeat?", &unchecked.repeat, "attempts?", &unchecked.attempts,
		"prefer_zone?", &unchecked.preferZone, "spill_over?", &unchecked.spillOver,
		"max_in_flight?", &unchecked.limits.MaxInFlight, "max_queued?", &unchecked.limits.MaxQueued,
		"secrets?", &unchecked.secrets,
	)
	if err != nil {
		return nil, err
	}
	route, err := unchecked.route(run)
	if err != nil {
		return nil, err
	}
	return starlark.None, run.addRoute(route)
}

// addRoute adds a checked route to the variant.
func (r *execution) addRoute(route snapshot.Route) error {
	if first, taken := r.routeNames[route.Name]; taken {
		return problemf("give each route of a policy its own name", "route %q is already defined in line %d", route.Name, first.Line)
	}
	if len(r.variant.routes) >= MaxRoutes {
		return problemf("merge routes by using shorter path prefixes", "the policy defines more than %d routes", MaxRoutes)
	}
	if err := r.compiler.budget.chargeMemory(routeBytes); err != nil {
		return err
	}
	r.routeNames[route.Name] = r.caller()
	r.variant.routes = append(r.variant.routes, route)
	return nil
}

// route checks the arguments and returns the route they describe.
func (a *routeArguments) route(run *execution) (snapshot.Route, error) {
	route := snapshot.Route{MaxAttempts: a.attempts, PreferZone: a.preferZone, Limits: a.limits}
	for _, step := range []func(*execution, *snapshot.Route) error{
		a.setName, a.setMatch, a.setTargets, a.setTimeout, a.setRepeat, a.setSpillOver, a.setSecrets, a.checkLimits,
	} {
		if err := step(run, &route); err != nil {
			return snapshot.Route{}, err
		}
	}
	return route, nil
}

func (a *routeArguments) setName(run *execution, route *snapshot.Route) error {
	if !isRouteName(a.name) {
		return problemf(`use a name such as "book-journey"`, "the route's name %q is not 1 to %d letters, digits, '.', '_' and '-'", truncate(a.name), maxNameBytes)
	}
	route.Name = routePrefix(run.policy) + a.name
	return nil
}

func (a *routeArguments) setMatch(_ *execution, route *snapshot.Route) error {
	host, err := checkHost(a.host)
	if err != nil {
		return err
	}
	if err := checkPath(a.path); err != nil {
		return err
	}
	methods, err := parseMethods("methods", a.methods)
	if err != nil {
		return err
	}
	headers, err := parseMatchHeaders(a.headers)
	if err != nil {
		return err
	}
	route.Match = snapshot.Match{Host: host, PathPrefix: a.path, Methods: methods, Headers: headers}
	return nil
}

func (a *routeArguments) setTargets(run *execution, route *snapshot.Route) error {
	targets := []starlark.Value{a.to}
	if list, ok := a.to.(*starlark.List); ok {
		targets = slices.Collect(list.Elements())
	}
	if len(targets) == 0 || len(targets) > maxTargets {
		return problemf("name a service in to=", "a route has %d targets, want 1 to %d", len(targets), maxTargets)
	}
	for _, value := range targets {
		target, err := run.parseTarget(value)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(route.Targets, func(other snapshot.WeightedService) bool { return other.Service == target.Service }) {
			return problemf("raise its weight instead", "service %q is a target twice", target.Service)
		}
		route.Targets = append(route.Targets, target)
	}
	return nil
}

// parseTarget converts one element of to=: a service name or a target().
func (r *execution) parseTarget(value starlark.Value) (snapshot.WeightedService, error) {
	switch value := value.(type) {
	case targetValue:
		return value.target, nil
	case starlark.String:
		return snapshot.WeightedService{Service: string(value), Weight: 1}, r.checkService(string(value))
	default:
		return snapshot.WeightedService{}, problemf(`write to="service" or to=[target("a", weight=9), target("b")]`, "to= does not accept a value of type %s", value.Type())
	}
}

func (a *routeArguments) setTimeout(_ *execution, route *snapshot.Route) error {
	route.Timeout = DefaultTimeout
	if a.timeout == "" {
		return nil
	}
	timeout, err := time.ParseDuration(a.timeout)
	if err != nil {
		return problemf(`write it as "500ms", "2s" or "1m"`, "timeout %q is not a duration", truncate(a.timeout))
	}
	if timeout < minTimeout || timeout > MaxTimeout {
		return problemf("use a timeout in this range", "timeout %s is not between %s and %s", timeout, minTimeout, MaxTimeout)
	}
	route.Timeout = timeout
	return nil
}

// setRepeat reduces the default to the methods that the route matches. In repeat=, a
// method that the route does not match is an error.
func (a *routeArguments) setRepeat(_ *execution, route *snapshot.Route) error {
	matches := func(method string) bool {
		return len(route.Match.Methods) == 0 || slices.Contains(route.Match.Methods, method)
	}
	if a.repeat == nil || a.repeat == starlark.None {
		for _, method := range DefaultRepeatMethods {
			if matches(method) {
				route.RepeatMethods = append(route.RepeatMethods, method)
			}
		}
		return nil
	}
	methods, err := parseMethods("repeat", a.repeat)
	if err != nil {
		return err
	}
	for _, method := range methods {
		if !matches(method) {
			return problemf("add it to methods=, or remove it from repeat=", "repeat= contains %s, which the route does not match", method)
		}
	}
	route.RepeatMethods = methods
	return nil
}

func (a *routeArguments) setSpillOver(_ *execution, route *snapshot.Route) error {
	if !a.preferZone {
		if a.spillOver != nil {
			return problemf("remove spill_over=", "spill_over= has no effect with prefer_zone=False")
		}
		return nil
	}
	route.SpillOver = DefaultSpillOver
	if a.spillOver == nil {
		return nil
	}
	spillOver, ok := starlark.AsFloat(a.spillOver)
	if !ok || !(spillOver > 0 && spillOver <= 1) {
		return problemf("0.8 lets requests leave the zone above 80 % load", "spill_over is not a number above 0 and at most 1")
	}
	route.SpillOver = spillOver
	return nil
}

func (a *routeArguments) setSecrets(_ *execution, route *snapshot.Route) error {
	if a.secrets == nil {
		return nil
	}
	for value := range a.secrets.Elements() {
		secret, ok := value.(secretHeaderValue)
		if !ok {
			return problemf(`write secrets=[secret_header(header="Authorization", secret="name")]`, "secrets= does not accept a value of type %s", value.Type())
		}
		if slices.ContainsFunc(route.Secrets, func(other snapshot.SecretHeader) bool { return other.Header == secret.header.Header }) {
			return problemf("attach one secret to a header", "header %s is set twice", secret.header.Header)
		}
		if len(route.Secrets) >= maxHeaders {
			return problemf("attach fewer", "a route has more than %d secrets", maxHeaders)
		}
		route.Secrets = append(route.Secrets, secret.header)
	}
	return nil
}

func (a *routeArguments) checkLimits(*execution, *snapshot.Route) error {
	if a.attempts < 1 || a.attempts > maxAttempts {
		return problemf("use 1 to send each request at most once", "attempts %d is not between 1 and %d", a.attempts, maxAttempts)
	}
	for _, limit := range []struct {
		name  string
		value int
	}{{"max_in_flight", a.limits.MaxInFlight}, {"max_queued", a.limits.MaxQueued}} {
		if limit.value < 0 || limit.value > maxRequestLimit {
			return problemf("use 0 for a route without a limit of its own", "%s %d is not between 0 and %d", limit.name, limit.value, maxRequestLimit)
		}
	}
	return nil
}

func isRouteName(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
	return name != "" && len(name) <= maxNameBytes && strings.Trim(name, allowed) == ""
}

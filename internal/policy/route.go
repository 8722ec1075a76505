package policy

import (
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// What a route has unless the policy says otherwise.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultAttempts  = 3
	DefaultSpillOver = 0.8
)

// DefaultRepeat are the methods that may run more than once unless the policy
// says otherwise: those without effects.
var DefaultRepeat = []string{"GET", "HEAD", "OPTIONS"}

// The limits of one route.
const (
	maxTargets = 16
	maxHeaders = 8
	maxLimit   = 100_000
)

// routeArguments are the arguments of route() as the program gave them.
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

func routeBuiltin(run *execution, given arguments) (starlark.Value, error) {
	if len(given.positional) > 0 {
		return nil, problemf(`write route(name="...", to="...")`, "route() takes named arguments only")
	}
	stated := routeArguments{attempts: DefaultAttempts, preferZone: true}
	err := given.unpack(
		"name", &stated.name, "to", &stated.to,
		"host?", &stated.host, "path?", &stated.path, "methods?", &stated.methods, "headers?", &stated.headers,
		"timeout?", &stated.timeout, "repeat?", &stated.repeat, "attempts?", &stated.attempts,
		"prefer_zone?", &stated.preferZone, "spill_over?", &stated.spillOver,
		"max_in_flight?", &stated.limits.MaxInFlight, "max_queued?", &stated.limits.MaxQueued,
		"secrets?", &stated.secrets,
	)
	if err != nil {
		return nil, err
	}
	route, err := stated.route(run)
	if err != nil {
		return nil, err
	}
	return starlark.None, run.addRoute(route)
}

// addRoute takes a checked route into the result.
func (r *execution) addRoute(route snapshot.Route) error {
	if first, taken := r.names[route.Name]; taken {
		return problemf("give each route of a policy its own name", "route %q is already stated in line %d", route.Name, first.Line)
	}
	if len(r.result.routes) >= MaxRoutes {
		return problemf("join routes with shorter path prefixes", "the policy states more than %d routes", MaxRoutes)
	}
	if err := r.compiler.budget.chargeMemory(routeBytes); err != nil {
		return err
	}
	r.names[route.Name] = r.caller()
	r.result.routes = append(r.result.routes, route)
	return nil
}

// route checks the arguments and returns the route they state.
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
		return problemf(`use a name such as "book-journey"`, "the route's name %q is not 1 to %d letters, digits, '.', '_' and '-'", shorten(a.name), snapshot.MaxNameBytes)
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
	methods, err := checkMethods("methods", a.methods)
	if err != nil {
		return err
	}
	headers, err := checkMatchHeaders(a.headers)
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
		target, err := run.targetOf(value)
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

// targetOf reads one element of to=: a service's name or a target().
func (r *execution) targetOf(value starlark.Value) (snapshot.WeightedService, error) {
	switch value := value.(type) {
	case targetValue:
		return value.target, nil
	case starlark.String:
		return snapshot.WeightedService{Service: string(value), Weight: 1}, r.checkService(string(value))
	default:
		return snapshot.WeightedService{}, problemf(`write to="service" or to=[target("a", weight=9), target("b")]`, "to= does not take a value of type %s", value.Type())
	}
}

func (a *routeArguments) setTimeout(_ *execution, route *snapshot.Route) error {
	route.Timeout = DefaultTimeout
	if a.timeout == "" {
		return nil
	}
	timeout, err := time.ParseDuration(a.timeout)
	if err != nil {
		return problemf(`write it as "500ms", "2s" or "1m"`, "timeout %q is not a duration", shorten(a.timeout))
	}
	if timeout < snapshot.MinRouteTimeout || timeout > snapshot.MaxRouteTimeout {
		return problemf("choose one within", "timeout %s is not between %s and %s", timeout, snapshot.MinRouteTimeout, snapshot.MaxRouteTimeout)
	}
	route.Timeout = timeout
	return nil
}

// setRepeat keeps the default to the methods that the route takes; a stated
// method that it never takes is a mistake.
func (a *routeArguments) setRepeat(_ *execution, route *snapshot.Route) error {
	takes := func(method string) bool {
		return len(route.Match.Methods) == 0 || slices.Contains(route.Match.Methods, method)
	}
	if a.repeat == nil || a.repeat == starlark.None {
		for _, method := range DefaultRepeat {
			if takes(method) {
				route.RepeatMethods = append(route.RepeatMethods, method)
			}
		}
		return nil
	}
	methods, err := checkMethods("repeat", a.repeat)
	if err != nil {
		return err
	}
	for _, method := range methods {
		if !takes(method) {
			return problemf("add it to methods=, or leave it out of repeat=", "repeat= has %s, which the route does not take", method)
		}
	}
	route.RepeatMethods = methods
	return nil
}

func (a *routeArguments) setSpillOver(_ *execution, route *snapshot.Route) error {
	if !a.preferZone {
		if a.spillOver != nil {
			return problemf("leave spill_over= out", "spill_over= has no meaning with prefer_zone=False")
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
		attached, ok := value.(secretHeaderValue)
		if !ok {
			return problemf(`write secrets=[secret_header(header="Authorization", secret="name")]`, "secrets= does not take a value of type %s", value.Type())
		}
		if slices.ContainsFunc(route.Secrets, func(other snapshot.SecretHeader) bool { return other.Header == attached.header.Header }) {
			return problemf("attach one secret to a header", "header %s is set twice", attached.header.Header)
		}
		if len(route.Secrets) >= maxHeaders {
			return problemf("attach fewer", "a route has more than %d secrets", maxHeaders)
		}
		route.Secrets = append(route.Secrets, attached.header)
	}
	return nil
}

func (a *routeArguments) checkLimits(*execution, *snapshot.Route) error {
	if a.attempts < 1 || a.attempts > snapshot.MaxRouteAttempts {
		return problemf("1 sends a request once", "attempts %d is not between 1 and %d", a.attempts, snapshot.MaxRouteAttempts)
	}
	for _, limit := range []struct {
		name  string
		value int
	}{{"max_in_flight", a.limits.MaxInFlight}, {"max_queued", a.limits.MaxQueued}} {
		if limit.value < 0 || limit.value > maxLimit {
			return problemf("0 sets no limit of its own", "%s %d is not between 0 and %d", limit.name, limit.value, maxLimit)
		}
	}
	return nil
}

func isRouteName(name string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
	return name != "" && len(name) <= snapshot.MaxNameBytes && strings.Trim(name, allowed) == ""
}

package snapshot

import (
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// TypedRoute is a route declared as data instead of by a policy. Routes of both kinds are compiled
// into one table.
type TypedRoute struct {
	// Name is unique within a document.
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix is a prefix of the path as sent, in whole segments; it begins with a slash. That of an unusable
	// route may be empty: it then takes the requests of the host that no other route takes.
	PathPrefix string `json:"path_prefix"`
	// Repeatable says that a request is safe to run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// TimeoutMillis is the maximum duration of a request, including retries.
	TimeoutMillis int64 `json:"timeout_ms"`
	// TargetLatencyMillis is the response time up to which a response has its full value.
	TargetLatencyMillis int64 `json:"target_latency_ms,omitempty"`
	Priority            int   `json:"priority,omitempty"`
	// MaxAttempts is the maximum number of instances that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Targets are the services that share the requests by weight.
	Targets []WeightedService `json:"targets"`
	// AllowAnonymous accepts requests without an API key although the document has tenants.
	AllowAnonymous bool `json:"allow_anonymous,omitempty"`
	// AllowedRegions are the regions whose instances may serve the route; empty: all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// Unusable is set if the route cannot be served as the operators mean it. Its requests are refused, so
	// that none of them reaches the service of a shorter prefix.
	Unusable bool `json:"unusable,omitempty"`
	// Fault says which parts of the operators' entry were not used; empty: all were.
	Fault string `json:"fault,omitempty"`
}

// Lifecycle is the readiness for new requests that an instance reports.
type Lifecycle string

// The states of an Instance.
const (
	InstanceReady    Lifecycle = "ready"
	InstanceDraining Lifecycle = "draining"
	// InstanceEvacuated is the state of a ready instance in an evacuated zone. It is derived
	// when a snapshot is built and never part of a document.
	InstanceEvacuated Lifecycle = "evacuated"
)

// Instance is one process that runs requests, as listed by the source. A restarted process has
// another name, or the same name and another StartedMillis.
type Instance struct {
	// Name and StartedMillis together are unique among all instances that ever existed.
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is where the instance accepts requests from its sidecar (IP:port).
	Address string    `json:"address"`
	Zone    string    `json:"zone,omitempty"`
	Slots   int       `json:"slots,omitempty"`
	State   Lifecycle `json:"state"`
	// Created is the revision at which the instance was first listed. Of two instances at
	// one address, the one created later owns it.
	Created Revision `json:"created,omitempty"`
	// WarmUpMillis is how long the instance stays slow after its entry was first listed.
	WarmUpMillis int64 `json:"warm_up_ms,omitempty"`
	// StartedMillis is when the process started, in Unix milliseconds. It is zero if the source does not
	// give it; such a source must never give the name of one instance to another.
	StartedMillis int64 `json:"born,omitempty"`
}

// InstanceID identifies one process among those that have used the name of an instance. What is known of
// an instance applies to one such process and not to the next.
type InstanceID struct {
	Name          string
	StartedMillis int64
}

// ID returns the process that the instance describes.
func (i Instance) ID() InstanceID { return InstanceID{Name: i.Name, StartedMillis: i.StartedMillis} }

// startedAfter reports whether the instance took over its address from another one. Start times are
// compared if both are known, because a restarted instance keeps the revision at which it was first
// listed.
func (i Instance) startedAfter(other Instance) bool {
	if i.StartedMillis > 0 && other.StartedMillis > 0 && i.StartedMillis != other.StartedMillis {
		return i.StartedMillis > other.StartedMillis
	}
	return i.Created > other.Created
}

// Supersedes reports whether the instance is a later state of its name than other: a later process, or
// a later state of the same process.
func (i Instance) Supersedes(other Instance) bool {
	if i.StartedMillis != other.StartedMillis {
		return i.StartedMillis > other.StartedMillis
	}
	return i.State == InstanceDraining && other.State == InstanceReady
}

// Evacuation excludes the instances of a zone from receiving requests until it is removed. Callers in
// the zone are served by instances in other zones.
type Evacuation struct {
	Zone string `json:"zone"`
}

// CallerLimits bound the size and the duration of what a caller sends.
type CallerLimits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes"`
	MaxBodyBytes        int64 `json:"max_body_bytes"`
	HeaderTimeoutMillis int64 `json:"header_timeout_ms"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_ms"`
	// RequireKeys says that requests need an API key, even while there is no tenant.
	RequireKeys bool `json:"require_keys,omitempty"`
	// Fault says which parts of the operators' entry were not used; empty: all were.
	Fault string `json:"fault,omitempty"`
}

// limitsName is the name of the single resource of KindLimits.
const limitsName = "limits"

func typedRouteName(route TypedRoute) string { return route.Name }

func instanceName(instance Instance) string { return instance.Name }

func evacuationName(evacuation Evacuation) string { return evacuation.Zone }

// Check returns an error if the evacuation is not valid in a document.
func (e Evacuation) Check() error { return checkEvacuation(e) }

func checkEvacuation(evacuation Evacuation) error { return checkName(KindEvacuation, evacuation.Zone) }

func checkTypedRoute(route TypedRoute) error {
	if err := checkName(KindRoute, route.Name); err != nil {
		return err
	}
	if route.Host == "" {
		return eris.Errorf("route %q: the host is empty", route.Name)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") && (route.PathPrefix != "" || !route.Unusable) {
		return eris.Errorf("route %q: path prefix %q must begin with a slash", route.Name, route.PathPrefix)
	}
	if route.Priority < 0 {
		return eris.Errorf("route %q: priority %d is negative", route.Name, route.Priority)
	}
	if route.TargetLatencyMillis < 0 {
		return eris.Errorf("route %q: the target latency is negative", route.Name)
	}
	return nil // New checks the rest, for all kinds of routes
}

// Check returns an error if an entry of a source describes no instance: one that is not valid in a document, that no
// node could reach, or whose names are too long to be passed on. Documents of other nodes are only checked for
// the first, as one of an earlier version may hold the others.
func (i Instance) Check() error {
	if err := checkInstance(i); err != nil {
		return err
	}
	if len(i.Service) > MaxTypedNameBytes || len(i.Zone) > MaxTypedNameBytes {
		return eris.Errorf("instance %q: the service has %d bytes and the zone %d, at most %d are allowed", i.Name, len(i.Service), len(i.Zone), MaxTypedNameBytes)
	}
	if address := netip.MustParseAddrPort(i.Address); !isReachable(address) {
		return eris.Errorf("instance %q: nothing can be reached at %s", i.Name, address)
	}
	return nil
}

// isReachable reports whether an address may be that of a server on another machine.
func isReachable(address netip.AddrPort) bool {
	ip := address.Addr().Unmap()
	return address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}

func checkInstance(instance Instance) error {
	if err := checkName(KindInstance, instance.Name); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(instance.Address); err != nil {
		return eris.Errorf("instance %q: %.64q is not an address (IP:port)", instance.Name, instance.Address)
	}
	if instance.State != InstanceReady && instance.State != InstanceDraining {
		return eris.Errorf("instance %q: unknown state %q", instance.Name, instance.State)
	}
	if instance.Slots < 0 || instance.Slots > MaxServiceLimit {
		return eris.Errorf("instance %q: slots is %d, want 0 to %d", instance.Name, instance.Slots, MaxServiceLimit)
	}
	return nil
}

func checkCallerLimits(limits CallerLimits) error {
	if limits.MaxHeaderBytes < 0 || limits.MaxBodyBytes < 0 || limits.HeaderTimeoutMillis < 0 || limits.IdleTimeoutMillis < 0 {
		return eris.New("limits: a limit is negative")
	}
	return nil
}

// setLimits decodes the single resource of KindLimits.
func setLimits(content *Content, resource Resource) error {
	if resource.Key.Name != limitsName {
		return eris.Errorf("limits %.64q: the name must be %q", resource.Key.Name, limitsName)
	}
	limits, err := decode[CallerLimits](resource)
	if err != nil {
		return err
	}
	if err := checkCallerLimits(limits); err != nil {
		return err
	}
	content.Limits = &limits
	return nil
}

// Compile returns the route in the form that the proxies use.
func (r TypedRoute) Compile() Route {
	return Route{
		Name:          r.Name,
		Match:         Match{Host: strings.ToLower(r.Host), PathPrefix: r.PathPrefix, Literal: true},
		Targets:       r.Targets,
		PreferZone:    true,
		Timeout:       time.Duration(r.TimeoutMillis) * time.Millisecond,
		Repeatable:    r.Repeatable,
		Priority:      r.Priority,
		TargetLatency: time.Duration(r.TargetLatencyMillis) * time.Millisecond,
		MaxAttempts:   r.MaxAttempts,

		AllowAnonymous: r.AllowAnonymous,
		AllowedRegions: r.AllowedRegions,
		Unusable:       r.Unusable,
		Fault:          r.Fault,
	}
}

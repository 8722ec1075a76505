// Package tenancy authenticates callers by the API keys of tenants. It decides only; the proxies
// read the header and answer.
package tenancy

import (
	"net/http"
	"slices"
	"strings"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// HeaderAuthorization is the header field that carries the key of a caller.
const HeaderAuthorization = "Authorization"

// scheme is the authentication scheme of keys (RFC 6750), compared without regard to case.
const scheme = "bearer"

// Refusal is the reason why a request is not authenticated; empty if it is. It never contains a
// part of the key.
type Refusal string

// The reasons of a Refusal.
const (
	Missing   Refusal = "the request has no API key"
	Repeated  Refusal = "the request has several API keys"
	Malformed Refusal = "the authorization is not of the form: Bearer KEY"
	Unknown   Refusal = "the API key is not known"
)

// Identity is who sent a request. The zero value is an anonymous caller.
type Identity struct {
	Tenant *snapshot.Tenant
	// Key is the digest of the key that authenticated the tenant.
	Key snapshot.KeyDigest
}

// IsAnonymous reports whether the caller sent no key.
func (i Identity) IsAnonymous() bool { return i.Tenant == nil }

// Name returns the name of the tenant, empty for an anonymous caller.
func (i Identity) Name() string {
	if i.Tenant == nil {
		return ""
	}
	return i.Tenant.Name
}

// Authenticate identifies the caller of a route. A key that is sent has to be valid also where none
// is needed. Without tenants in the configuration, all callers are anonymous.
func Authenticate(current *snapshot.Snapshot, route *snapshot.Route, header http.Header) (Identity, Refusal) {
	if !current.RequiresKeys() {
		return Identity{}, ""
	}
	values := header[HeaderAuthorization]
	switch {
	case len(values) == 0 && route.AllowAnonymous:
		return Identity{}, ""
	case len(values) == 0:
		return Identity{}, Missing
	case len(values) > 1:
		return Identity{}, Repeated
	}
	key, ok := parseKey(values[0])
	if !ok {
		return Identity{}, Malformed
	}
	digest := snapshot.DigestKey(key)
	tenant := current.TenantOfKey(digest)
	if tenant == nil {
		return Identity{}, Unknown
	}
	return Identity{Tenant: tenant, Key: digest}, ""
}

// parseKey returns the key in the value of the header field.
func parseKey(value string) (string, bool) {
	found, key, separated := strings.Cut(value, " ")
	if !separated || !strings.EqualFold(found, scheme) {
		return "", false
	}
	key = strings.Trim(key, " ")
	return key, key != "" && !strings.ContainsAny(key, " \t,")
}

// IsValid reports whether the identity still holds in a later configuration.
func (i Identity) IsValid(current *snapshot.Snapshot) bool {
	if i.Tenant == nil {
		return true
	}
	tenant := current.TenantOfKey(i.Key)
	return tenant != nil && tenant.Name == i.Tenant.Name
}

// Priority returns the priority of a request: that of the tenant, or else that of the route.
func Priority(route *snapshot.Route, identity Identity) int {
	if identity.Tenant != nil && identity.Tenant.Priority != nil {
		return *identity.Tenant.Priority
	}
	return route.Priority
}

// AllowsRegion reports whether instances of a region may serve the request. The regions of the route
// and those of the tenant both apply.
func AllowsRegion(route *snapshot.Route, identity Identity, region string) bool {
	if len(route.AllowedRegions) > 0 && !slices.Contains(route.AllowedRegions, region) {
		return false
	}
	return identity.Tenant == nil || len(identity.Tenant.AllowedRegions) == 0 ||
		slices.Contains(identity.Tenant.AllowedRegions, region)
}

// RestrictsRegions reports whether AllowsRegion may return false.
func RestrictsRegions(route *snapshot.Route, identity Identity) bool {
	return len(route.AllowedRegions) > 0 || identity.Tenant != nil && len(identity.Tenant.AllowedRegions) > 0
}

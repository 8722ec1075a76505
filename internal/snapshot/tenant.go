package snapshot

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

// KeyDigest is the SHA-256 digest of an API key. Keys are secrets: only their digests are kept,
// compared and sent between nodes.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in hexadecimal form.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads the hexadecimal form. Its errors do not contain the text.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return eris.Errorf("a key digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return eris.New("a key digest is not hexadecimal")
	}
	return nil
}

// keyTagBytes is the size of a KeyTag.
const keyTagBytes = 8

// KeyTag is the start of a KeyDigest. It identifies a key among the few that a tenant has.
type KeyTag [keyTagBytes]byte

// String returns the tag in hexadecimal form.
func (t KeyTag) String() string { return hex.EncodeToString(t[:]) }

// Tag returns the start of the digest.
func (d KeyDigest) Tag() KeyTag { return KeyTag(d[:keyTagBytes]) }

// Tenant is a customer whose callers authenticate with API keys.
type Tenant struct {
	// Name is unique within a document.
	Name string `json:"name"`
	// KeyDigests are the digests of the tenant's keys; no other tenant has the same key.
	KeyDigests []KeyDigest `json:"key_digests,omitempty"`
	// RequestsPerSecond and Burst are the tenant's quota over all nodes, as a token bucket. A rate of
	// zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             float64 `json:"burst,omitempty"`
	// Priority takes the place of that of the route, unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// AllowedRegions are the regions whose instances may serve the tenant; empty: all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// Unusable is set if it is not clear what the tenant's callers may do. Their requests are refused.
	Unusable bool `json:"unusable,omitempty"`
	// Fault says which parts of the operators' entry were not used; empty: all were.
	Fault string `json:"fault,omitempty"`
}

// HasKey reports whether the tenant has a key with the tag, in hexadecimal form.
func (t *Tenant) HasKey(tag string) bool {
	for i := range t.KeyDigests {
		if t.KeyDigests[i].Tag().String() == tag {
			return true
		}
	}
	return false
}

func tenantName(tenant Tenant) string { return tenant.Name }

func checkTenant(tenant Tenant) error {
	if err := checkName(KindTenant, tenant.Name); err != nil {
		return err
	}
	if !isQuota(tenant.RequestsPerSecond) {
		return eris.Errorf("tenant %q: the rate %v is not a number from 0 on", tenant.Name, tenant.RequestsPerSecond)
	}
	if !isQuota(tenant.Burst) {
		return eris.Errorf("tenant %q: the burst %v is not a number from 0 on", tenant.Name, tenant.Burst)
	}
	if priority := tenant.Priority; priority != nil && *priority < 0 {
		return eris.Errorf("tenant %q: priority %d is negative", tenant.Name, *priority)
	}
	return nil
}

func isQuota(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }

// tenantIndex finds tenants by name and by key.
type tenantIndex struct {
	byName map[string]*Tenant
	byKey  map[KeyDigest]*Tenant
}

// newTenantIndex returns an error if two tenants have the same key.
func newTenantIndex(tenants []Tenant) (tenantIndex, error) {
	index := tenantIndex{byName: make(map[string]*Tenant, len(tenants)), byKey: make(map[KeyDigest]*Tenant, len(tenants))}
	for i := range tenants {
		tenant := &tenants[i]
		index.byName[tenant.Name] = tenant
		for _, digest := range tenant.KeyDigests {
			if owner := index.byKey[digest]; owner != nil && owner != tenant {
				return tenantIndex{}, eris.Errorf("tenants %q and %q have the same key", owner.Name, tenant.Name)
			}
			index.byKey[digest] = tenant
		}
	}
	return index, nil
}

// WithTenants returns the snapshot with tenants, or an error if two of them have the same key.
func (s *Snapshot) WithTenants(tenants []Tenant) (*Snapshot, error) {
	index, err := newTenantIndex(tenants)
	if err != nil {
		return nil, err
	}
	next := *s
	next.tenants = index
	return &next, nil
}

// RequiresKeys reports whether requests need an API key, except on routes that allow anonymous ones.
func (s *Snapshot) RequiresKeys() bool {
	return len(s.tenants.byName) > 0 || s.fleet.limits != nil && s.fleet.limits.RequireKeys
}

// Tenant returns the tenant of a name, or nil.
func (s *Snapshot) Tenant(name string) *Tenant { return s.tenants.byName[name] }

// Tenants returns all tenants, sorted by name.
func (s *Snapshot) Tenants() []*Tenant {
	return slices.SortedFunc(maps.Values(s.tenants.byName), func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
}

// TenantOfKey returns the tenant that has a key, or nil.
func (s *Snapshot) TenantOfKey(digest KeyDigest) *Tenant { return s.tenants.byKey[digest] }

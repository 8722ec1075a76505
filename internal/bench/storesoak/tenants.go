package storesoak

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	// tenantRate and tenantBurst are the quota of each tenant.
	tenantRate, tenantBurst = 8.0, 8.0
	// hotShare of ten calls with a valid key come from the first tenant, the hot one.
	hotShare = 5
	// outdatedShare, unknownShare and missingShare of 20 calls have a key that was revoked, a key that never
	// existed, and none.
	outdatedShare, unknownShare, missingShare = 2, 1, 1
)

// unknownKey was never a key of a tenant.
const unknownKey = "unknown-key"

// apiKey is a key of a tenant, with the versions of the configuration that contain it.
type apiKey struct {
	tenant string
	value  string
	// since is the first version that contains the key, until the first later one that does not; zero: none
	// yet.
	since, until int
}

// isIn reports whether a version contains the key.
func (k *apiKey) isIn(version int) bool {
	return k.since <= version && (k.until == 0 || version < k.until)
}

// tenants are the tenants of the fleet, each with one valid key at a time, and all keys that they ever had.
type tenants struct {
	mutex sync.Mutex
	// current holds the last key of each tenant.
	current []*apiKey
	byValue map[string]*apiKey
	revoked []*apiKey
}

func newTenants(count int) *tenants {
	created := &tenants{byValue: make(map[string]*apiKey)}
	for i := range count {
		created.current = append(created.current, created.newKey(fmt.Sprint("tenant-", i), 1))
	}
	return created
}

// newKey returns a new key. The caller holds the mutex.
func (t *tenants) newKey(tenant string, since int) *apiKey {
	created := &apiKey{tenant: tenant, value: fmt.Sprintf("key-%d-of-%s", len(t.byValue), tenant), since: since}
	t.byValue[created.value] = created
	return created
}

// rotateKey replaces the key of a tenant.
var rotateKey = edit{name: "replace the key of a tenant", apply: func(c *catalog, random *rand.Rand, number, _ int) []int {
	c.tenants.rotate(random, number)
	return nil
}}

func (t *tenants) rotate(random *rand.Rand, number int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rotated := random.IntN(len(t.current))
	former := t.current[rotated]
	former.until = number
	t.revoked = append(t.revoked, former)
	t.current[rotated] = t.newKey(former.tenant, number)
}

// inVersion returns the tenants of a version; nil if there are none.
func (t *tenants) inVersion(number int) (listed []store.Tenant) {
	if t == nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, last := range t.current {
		tenant := store.Tenant{Name: last.tenant, APIKeys: []string{}, RatePerS: tenantRate, Burst: tenantBurst}
		for _, key := range t.byValue {
			if key.tenant == last.tenant && key.isIn(number) {
				tenant.APIKeys = append(tenant.APIKeys, key.value)
			}
		}
		listed = append(listed, tenant)
	}
	return listed
}

// validKey returns the last key of a tenant that is not the hot one, if there are several.
func (t *tenants) validKey() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.current[len(t.current)-1].value
}

// drawKey draws the key for a call, most often the last one of a tenant.
func (t *tenants) drawKey(random *rand.Rand) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	const all, tenths = 20, 10
	drawn, hot, other := random.IntN(all), random.IntN(tenths) < hotShare, random.IntN(len(t.current))
	switch {
	case drawn < missingShare:
		return ""
	case drawn < missingShare+unknownShare:
		return unknownKey
	case drawn < missingShare+unknownShare+outdatedShare && len(t.revoked) > 0:
		return t.revoked[random.IntN(len(t.revoked))].value
	case hot:
		return t.current[0].value
	default:
		return t.current[other].value
	}
}

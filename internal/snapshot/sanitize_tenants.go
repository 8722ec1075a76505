package snapshot

import (
	"maps"
	"slices"
)

// maxTenantNameBytes bounds the names of tenants, which are sent with each request between nodes.
const maxTenantNameBytes = 1 << 10

func sanitizeTenants(tenants []Tenant) []Tenant {
	kept := make([]Tenant, 0, len(tenants))
	positions := make(map[string]int, len(tenants))
	for i, tenant := range tenants {
		tenant = sanitizeTenant(tenant, placeholderName(KindTenant, i))
		position, listed := positions[tenant.Name]
		if !listed {
			positions[tenant.Name] = len(kept)
			kept = append(kept, tenant)
			continue
		}
		kept[position] = mergeTenants(kept[position], tenant)
	}
	return withoutSharedKeys(kept)
}

func sanitizeTenant(tenant Tenant, placeholder string) Tenant {
	tenant.Name = shorten(tenant.Name, maxTenantNameBytes)
	if err := checkName(KindTenant, tenant.Name); err != nil {
		tenant = tenant.unusable(err.Error())
		tenant.Name = placeholder
	}
	if !isQuota(tenant.RequestsPerSecond) || !isQuota(tenant.Burst) {
		tenant.RequestsPerSecond, tenant.Burst = 0, 0
		tenant.Fault = AddFault(tenant.Fault, "the quota is not a number from 0 on: there is no limit")
	}
	if tenant.Priority != nil && *tenant.Priority < 0 {
		tenant.Priority = nil
		tenant.Fault = AddFault(tenant.Fault, "the priority is negative: those of the routes are used")
	}
	return tenant
}

func (t Tenant) unusable(problem string) Tenant {
	t.Unusable, t.Fault = true, AddFault(t.Fault, problem)
	return t
}

// mergeTenants returns the tenant for two entries of one name. It has the keys of both, and is unusable
// unless the entries agree.
func mergeTenants(first, second Tenant) Tenant {
	keys := slices.Clone(first.KeyDigests)
	for _, digest := range second.KeyDigests {
		if !slices.Contains(keys, digest) {
			keys = append(keys, digest)
		}
	}
	samePriority := first.Priority == nil && second.Priority == nil ||
		first.Priority != nil && second.Priority != nil && *first.Priority == *second.Priority
	agree := samePriority && first.RequestsPerSecond == second.RequestsPerSecond && first.Burst == second.Burst &&
		slices.Equal(first.AllowedRegions, second.AllowedRegions) && first.Unusable == second.Unusable
	first.KeyDigests = keys
	if agree {
		return first
	}
	return first.unusable("the tenant is listed more than once, with different values")
}

// withoutSharedKeys removes the keys that several tenants have: it is not clear whose they are.
func withoutSharedKeys(tenants []Tenant) []Tenant {
	owners := make(map[KeyDigest]int)
	for i := range tenants {
		for _, digest := range tenants[i].KeyDigests {
			owners[digest]++
		}
	}
	maps.DeleteFunc(owners, func(_ KeyDigest, count int) bool { return count == 1 })
	if len(owners) == 0 {
		return tenants
	}
	for i := range tenants {
		tenant := &tenants[i]
		own := slices.DeleteFunc(slices.Clone(tenant.KeyDigests), func(digest KeyDigest) bool { return owners[digest] > 0 })
		if len(own) < len(tenant.KeyDigests) {
			tenant.KeyDigests = own
			tenant.Fault = AddFault(tenant.Fault, "another tenant has the same key: the key is not accepted")
		}
	}
	return tenants
}

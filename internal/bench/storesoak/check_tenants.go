package storesoak

import (
	"net/http"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// The bound on the requests of a tenant that run within a window: the quota, a share of it, and some
// requests.
const (
	quotaWindow              = 5 * time.Second
	quotaOverage, quotaSlack = 0.25, 20
	quotaBound               = (tenantRate*float64(quotaWindow/time.Second)+tenantBurst)*(1+quotaOverage) + quotaSlack
)

// checkTenants checks that only calls with a valid key run, in the name of the key's tenant, that no valid
// key is refused, and that the calls of each tenant keep to its quota.
func (s *soak) checkTenants(calls []*call, runs map[string][]run) {
	if s.fleet.catalog.tenants == nil {
		return
	}
	began := make(map[string][]time.Time) // by tenant
	for _, c := range calls {
		key := s.fleet.catalog.tenants.byValue[c.key]
		s.checkKey(c, key, runs[c.id])
		if key != nil && len(runs[c.id]) > 0 {
			began[key.tenant] = append(began[key.tenant], runs[c.id][0].Began)
		}
	}
	for tenant, times := range began {
		most := mostInWindow(times)
		s.report.QuotaBoundShare = max(s.report.QuotaBoundShare, float64(most)/quotaBound)
		if float64(most) > quotaBound {
			s.violation("%d calls of %s ran within %s, at most %.0f are allowed", most, tenant, quotaWindow, quotaBound)
		}
	}
}

// mostInWindow returns the largest number of times within a window. It sorts the times.
func mostInWindow(times []time.Time) (most int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, last := range times {
		for last.Sub(times[first]) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkKey checks one call; key is nil if it had none or one that never existed.
func (s *soak) checkKey(c *call, key *apiKey, runs []run) {
	for _, each := range runs {
		switch {
		case key == nil:
			s.report.Unauthenticated++
			s.violation("%s ran at %s with key %q, which never was one", c.id, each.name, c.key)
		case !slices.Equal(each.Header[instance.HeaderTenant], []string{key.tenant}):
			s.report.Unauthenticated++
			s.violation("%s ran at %s for tenant %q instead of %s", c.id, each.name, each.Header[instance.HeaderTenant], key.tenant)
		case s.isRevoked(key, c):
			s.report.LateRevocations++
			s.violation("%s ran at %s with key %q, which version %d revoked", c.id, each.name, c.key, key.until)
		}
	}
	if c.status == http.StatusUnauthorized && key != nil && s.isInForce(key, c) {
		s.report.WronglyUnauthenticated++
		s.violation("%s was refused at machine %d although key %q was valid since version %d", c.id, c.machine, c.key, key.since)
	}
}

// isRevoked reports whether the version that revokes a key must have been in force when a call was sent.
func (s *soak) isRevoked(key *apiKey, c *call) bool {
	return key.until > 0 && s.mustBeInForce(key.until, c)
}

// isInForce reports whether the version that adds a key must have been in force when a call was sent, and
// the one that revokes it was not written before it ended.
func (s *soak) isInForce(key *apiKey, c *call) bool {
	if key.until > 0 && s.fleet.catalog.versions[key.until-1].sent.Before(c.ended) {
		return false
	}
	return s.mustBeInForce(key.since, c)
}

// mustBeInForce reports whether a version, or a later one, must have been in force when a call was sent.
func (s *soak) mustBeInForce(number int, c *call) bool {
	limit, bounded := s.history.applyBound(c.machine, c.sent, c.ended)
	written := s.fleet.catalog.versions[number-1]
	return bounded && !written.acknowledged.IsZero() && c.sent.Sub(written.acknowledged) > limit
}

package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const pathTenants = "/v1/tenants"

// TenantUsage provides what the tenants used of their quotas at this node.
type TenantUsage interface {
	Usage() []quota.Usage
}

// Tenant is a tenant in force and what its requests that start at this node had of its quota.
type Tenant struct {
	Name string `json:"name"`
	// Keys is the number of its API keys.
	Keys int `json:"keys"`
	// RequestsPerSecond and Burst are the quota over all nodes; zero: no limit.
	RequestsPerSecond float64  `json:"requests_per_second"`
	Burst             float64  `json:"burst"`
	Priority          *int     `json:"priority,omitempty"`
	AllowedRegions    []string `json:"allowed_regions,omitempty"`
	// Used is nil if the tenant has no limit or sent nothing lately.
	Used *TenantRates `json:"used,omitempty"`
}

// TenantRates are averages over the last seconds.
type TenantRates struct {
	AdmittedPerSecond float64 `json:"admitted_per_second"`
	RefusedPerSecond  float64 `json:"refused_per_second"`
	// DecidedBy is where the last decision came from: cache, owner, backup or isolated.
	DecidedBy  string   `json:"decided_by"`
	DecidedAgo Duration `json:"decided_ago"`
}

// TenantList is the response of /v1/tenants.
type TenantList struct {
	Version snapshot.Version `json:"version"`
	Tenants []Tenant         `json:"tenants"`
}

func (s *Server) tenants(w http.ResponseWriter, _ *http.Request) {
	current := s.options.Snapshots.Current()
	if current == nil {
		s.write(w, http.StatusServiceUnavailable, ErrorResponse{Error: "the node holds no configuration yet"})
		return
	}
	list := TenantList{Version: current.Version(), Tenants: []Tenant{}}
	used := s.tenantRates()
	for _, tenant := range current.Tenants() {
		list.Tenants = append(list.Tenants, Tenant{
			Name: tenant.Name, Keys: len(tenant.KeyDigests), RequestsPerSecond: tenant.RequestsPerSecond, Burst: tenant.Burst,
			Priority: tenant.Priority, AllowedRegions: tenant.AllowedRegions, Used: used[tenant.Name],
		})
	}
	s.write(w, http.StatusOK, list)
}

func (s *Server) tenantRates() map[string]*TenantRates {
	rates := make(map[string]*TenantRates)
	if s.options.Quota == nil {
		return rates
	}
	for _, usage := range s.options.Quota.Usage() {
		rates[usage.Tenant] = &TenantRates{
			AdmittedPerSecond: usage.AdmittedPerSecond, RefusedPerSecond: usage.RefusedPerSecond,
			DecidedBy: string(usage.DecidedBy), DecidedAgo: Duration(usage.DecidedAgo.Round(time.Millisecond)),
		}
	}
	return rates
}

// Tenants returns the tenants in force and what they use at the node.
func (c *Client) Tenants(ctx context.Context) (TenantList, error) {
	return get[TenantList](ctx, c, pathTenants, nil)
}

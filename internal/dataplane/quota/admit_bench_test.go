package quota_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// newOwner returns a limiter that owns all tenants, and its configuration.
func newOwner(tb testing.TB) (*quota.Limiter, *snapshot.Snapshot) {
	current, err := snapshot.New(snapshot.Version{Revision: 1}, nil, nil, nil)
	qt.Assert(tb, err, qt.IsNil)
	content := snapshot.Content{Instances: []snapshot.Instance{{Name: "i", Service: "a", Address: "10.0.0.1:80", State: snapshot.InstanceReady}}}
	current = current.WithFleet(snapshot.Version{Revision: 2}, content)
	limiter := quota.New(quota.Options{Node: "10.0.0.1"})
	limiter.Observe(current)
	return limiter, current
}

func tenantsWithQuota(count int) []snapshot.Tenant {
	tenants := make([]snapshot.Tenant, count)
	for i := range tenants {
		tenants[i] = snapshot.Tenant{Name: fmt.Sprint("tenant-", i), RequestsPerSecond: 1e6, Burst: 1e6}
	}
	return tenants
}

// BenchmarkAdmit measures what the quota adds to a request at a node that owns the tenant.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{10, 10_000} {
		b.Run(fmt.Sprint(count, " tenants"), func(b *testing.B) {
			limiter, current := newOwner(b)
			tenants := tenantsWithQuota(count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				limiter.Admit(context.Background(), current, &tenants[i%count])
			}
		})
	}
}

// TestIdleTenantsCostNothing guards against state for each tenant at each node: of 10,000 tenants with
// a quota, only the hundred that send requests may cost memory, less than a megabyte in all.
func TestIdleTenantsCostNothing(t *testing.T) {
	const active, limitBytes = 100, 1 << 20
	limiter, current := newOwner(t)
	tenants := tenantsWithQuota(10_000)
	heapBytes := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapBytes()
	for range 10 {
		for i := range active {
			limiter.Admit(context.Background(), current, &tenants[i])
		}
	}
	used := int64(heapBytes()) - int64(before)
	t.Logf("%d bytes for %d of %d tenants", used, active, len(tenants))
	qt.Check(t, used < limitBytes, qt.IsTrue)
	qt.Check(t, limiter.Usage(), qt.HasLen, active)
	runtime.KeepAlive(tenants)
}

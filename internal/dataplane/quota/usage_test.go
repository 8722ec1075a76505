package quota_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestUsage checks that a node tells what each tenant was admitted and refused, and by whom, and that the
// number of metrics does not grow with the tenants.
func TestUsage(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	limiter := quota.New(quota.Options{Node: "10.0.0.1", Now: func() time.Time { return now }})
	current, err := snapshot.New(snapshot.Version{Revision: 1}, nil, nil, nil)
	c.Assert(err, qt.IsNil)
	content := snapshot.Content{Instances: []snapshot.Instance{{Name: "i", Service: "a", Address: "10.0.0.1:80", State: snapshot.InstanceReady}}}
	current = current.WithFleet(snapshot.Version{Revision: 2}, content)
	limiter.Observe(current)
	now = now.Add(time.Minute)

	busy := &snapshot.Tenant{Name: "busy", RequestsPerSecond: 1, Burst: 10}
	for range 40 {
		limiter.Admit(context.Background(), current, busy)
	}
	for i := range 100 {
		limiter.Admit(context.Background(), current, &snapshot.Tenant{Name: fmt.Sprint("small-", i), RequestsPerSecond: 1, Burst: 1})
	}
	now = now.Add(time.Second)
	usage := limiter.Usage()
	c.Assert(usage, qt.HasLen, 101)
	c.Check(usage[0].Tenant, qt.Equals, "busy")
	c.Check(usage[0].AdmittedPerSecond < usage[0].RefusedPerSecond, qt.IsTrue)
	c.Check(usage[0].DecidedBy, qt.Equals, quota.FromOwner)
	c.Check(usage[0].DecidedAgo, qt.Equals, time.Second)

	registry := prometheus.NewPedanticRegistry()
	c.Assert(registry.Register(limiter.Collector()), qt.IsNil)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	c.Assert(families, qt.HasLen, 1)
	c.Check(families[0].GetMetric(), qt.HasLen, 2*21)
	sum := 0.0
	for _, metric := range families[0].GetMetric() {
		sum += metric.GetGauge().GetValue()
	}
	all := 0.0
	for _, each := range usage {
		all += each.AdmittedPerSecond + each.RefusedPerSecond
	}
	c.Check(sum > 0.999*all && sum < 1.001*all, qt.IsTrue)
}

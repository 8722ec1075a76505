package mirror_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/platform"
)

const (
	wait    = 30 * time.Second // an upper bound; waits end earlier, with an event
	timeout = 30 * time.Second
)

// harness is a mirror of an emulated store, read through the adapter.
type harness struct {
	store  *store.Store
	url    string
	mirror *mirror.Mirror
}

func newHarness(t *testing.T, timeout time.Duration) *harness {
	emulated := store.New()
	server := httptest.NewServer(emulated)
	t.Cleanup(server.Close)
	adapter := platform.NewStore(server.URL, nil)
	t.Cleanup(adapter.Close)
	m, err := mirror.New(mirror.Options{
		Store: adapter, Logger: logging.Discard(), Timeout: timeout,
		MemberOf: func(instance snapshot.Instance) (membership.ListedMember, bool) {
			return membership.ListedMember{Node: membership.NodeID(instance.Address), Zone: instance.Zone}, true
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &harness{store: emulated, url: server.URL, mirror: m}
}

// configuration returns the value of op/config with one route to the service.
func configuration(version int, service string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"a"},{"name":"b"}],
		"virtualHosts":[{"host":"h.example","paths":[{"name":"r","pathPrefix":"/p/","kind":"safe",
		"timeoutMs":1000,"targetLatencyMs":300,"priority":1,"service":%q,"maxAttempts":2}]}]}`, version, service)
}

func instance(service, address, state string) []byte {
	return fmt.Appendf(nil, `{"address":%q,"info":{"service":%q,"zone":"z","slots":4},"status":{"state":%q}}`, address, service, state)
}

// follow awaits a revision above after and returns its document.
func (r *harness) follow(c *qt.C, after snapshot.Revision) *snapshot.Document {
	c.Helper()
	version, outcome := r.mirror.AwaitRevision(context.Background(), after, wait)
	c.Assert(outcome.Err, qt.IsNil)
	c.Assert(version.Revision > after, qt.IsTrue)
	document, outcome := r.mirror.Fetch(context.Background(), snapshot.Version{})
	c.Assert(outcome.Err, qt.IsNil)
	c.Assert(document.Version(), qt.Equals, version)
	return document
}

func TestListThenWatch(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("op/config", configuration(7, "a"))
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	first := r.follow(c, 0)
	c.Assert(first.Content().Routes, qt.HasLen, 1)
	c.Assert(first.Content().Instances, qt.HasLen, 1)

	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "draining"))
	second := r.follow(c, first.Version().Revision)
	c.Assert(second.Content().Instances[0].State, qt.Equals, snapshot.InstanceDraining)
	c.Assert(snapshot.SameRouting(first, second), qt.IsTrue)

	r.store.Delete("servers/i-1")
	third := r.follow(c, second.Version().Revision)
	c.Assert(third.Content().Instances, qt.HasLen, 0)
	c.Assert(r.store.Calls("/v1/kv-range"), qt.Equals, 1)
}

// TestUnrelatedKeysDoNotStopWatch: changes of unrelated keys raise the store's revision; later
// changes are still read.
func TestUnrelatedKeysDoNotStopWatch(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("op/config", configuration(7, "a"))
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	first := r.follow(c, 0)
	r.store.Put("other/key", []byte("of no interest"))
	version, outcome := r.mirror.AwaitRevision(context.Background(), first.Version().Revision, wait)
	c.Assert(outcome.Status, qt.Equals, source.StatusNotModified)
	c.Check(version, qt.Equals, first.Version())
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "draining"))
	c.Check(r.follow(c, first.Version().Revision).Content().Instances[0].State, qt.Equals, snapshot.InstanceDraining)
}

// TestTwoMirrorsAgree: the content at a revision does not depend on who reads it, or when.
func TestTwoMirrorsAgree(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("op/config", configuration(7, "a"))
	early := r.follow(c, 0)
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	r.store.Put("other/key", []byte("of no interest"))
	watched := r.follow(c, early.Version().Revision)

	server := httptest.NewServer(r.store)
	defer server.Close()
	m, err := mirror.New(mirror.Options{
		Store: platform.NewStore(server.URL, nil), Logger: logging.Discard(), Timeout: timeout,
	})
	c.Assert(err, qt.IsNil)
	late := &harness{store: r.store, mirror: m}
	c.Assert(late.follow(c, 0).Version(), qt.Equals, watched.Version())
}

// TestWaitsForFirstConfiguration: a store that was first listed without a configuration is followed
// until there is one.
func TestWaitsForFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	version, outcome := r.mirror.AwaitRevision(context.Background(), 0, 0)
	c.Assert(outcome.Status, qt.Equals, source.StatusNotModified)
	c.Assert(version.IsZero(), qt.IsTrue)
	r.store.Put("op/config", configuration(1, "a"))
	c.Assert(r.follow(c, 0).Content().Instances, qt.HasLen, 1)
}

func TestListsAgainAfterCompaction(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("op/config", configuration(7, "a"))
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	first := r.follow(c, 0)
	r.store.Delete("servers/i-1")
	r.store.Compact()
	c.Assert(r.follow(c, first.Version().Revision).Content().Instances, qt.HasLen, 0)
	c.Assert(r.store.Calls("/v1/kv-range"), qt.Equals, 2)
}

// TestPagesAreNotConsistent: changes made while pages are read are read afterwards.
func TestPagesAreNotConsistent(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.SetPageSize(2)
	r.store.Put("op/config", configuration(7, "a"))
	for i := range 5 {
		r.store.Put(fmt.Sprintf("servers/i-%d", i), instance("a", fmt.Sprintf("10.0.0.%d:80", i+1), "ready"))
	}
	pages := 0
	r.store.SetFault(func(request *http.Request) store.Fault {
		if request.URL.Path == "/v1/kv-range" {
			if pages++; pages == 2 {
				r.store.Put("servers/i-0", instance("a", "10.0.0.1:80", "draining"))
				r.store.Delete("servers/i-4")
			}
		}
		return store.NoFault
	})
	instances := r.follow(c, 0).Content().Instances
	c.Assert(instances, qt.HasLen, 4)
	c.Assert(instances[0].State, qt.Equals, snapshot.InstanceDraining)
}

// TestInvalidEntries: an invalid configuration changes nothing. An invalid instance entry was
// written by another writer and removes the instance that was there before.
func TestInvalidEntries(t *testing.T) {
	both, oneGone := []string{"i-1", "i-2"}, []string{"i-2"}
	rows := map[string]struct {
		key, value string
		left       []string
	}{
		"truncated configuration":       {"op/config", `{"version":8,"serv`, both},
		"hosts not a list":              {"op/config", `{"version":8,"virtualHosts":{"host":"h"}}`, both},
		"configuration not an object":   {"op/config", `[8]`, both},
		"instance not JSON":             {"servers/i-1", `nonsense`, oneGone},
		"instance with invalid address": {"servers/i-1", `{"address":"nowhere","info":{"service":"a","zone":"z"},"status":{"state":"ready"}}`, oneGone},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newHarness(t, timeout)
			r.store.Put("op/config", configuration(7, "a"))
			r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
			first := r.follow(c, 0)
			r.store.Put(row.key, []byte(row.value))
			r.store.Put("servers/i-2", instance("a", "10.0.0.2:80", "ready"))
			second := r.follow(c, first.Version().Revision)
			for second.Version().Revision < 4 {
				second = r.follow(c, second.Version().Revision)
			}
			c.Assert(snapshot.SameRouting(first, second), qt.IsTrue)
			var left []string
			for _, instance := range second.Content().Instances {
				left = append(left, instance.Name)
			}
			c.Assert(left, qt.DeepEquals, row.left)
		})
	}
}

// TestConfigurationWithoutRoutes: a configuration that removes all routes comes into force. If it were
// refused, requests would be served by routes that the operators have removed.
func TestConfigurationWithoutRoutes(t *testing.T) {
	for name, value := range map[string]string{
		"empty list": `{"version":8,"virtualHosts":[{"host":"h","paths":[]}]}`, "no hosts": `{"version":8,"virtualHosts":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newHarness(t, timeout)
			r.store.Put("op/config", configuration(7, "a"))
			first := r.follow(c, 0)
			c.Assert(len(first.Content().Routes) > 0, qt.IsTrue)
			r.store.Put("op/config", []byte(value))
			c.Check(r.follow(c, first.Version().Revision).Content().Routes, qt.HasLen, 0)
		})
	}
}

// TestUnknownValues: a request kind that the adapter does not recognize is treated as not repeatable
// and logged once per key, and the other routes stay usable. An instance in an unrecognized state is
// not used; that is logged once per key and revision.
func TestUnknownValues(t *testing.T) {
	c := qt.New(t)
	emulated := store.New()
	server := httptest.NewServer(emulated)
	defer server.Close()
	logger, lines := logrustest.NewNullLogger()
	registry := prometheus.NewRegistry()
	m, err := mirror.New(mirror.Options{
		Store: platform.NewStore(server.URL, nil), Logger: logger, Timeout: timeout, Registerer: registry,
	})
	c.Assert(err, qt.IsNil)
	r := &harness{store: emulated, mirror: m}
	unknownKind := `{"version":%d,"services":[{"name":"a"}],"virtualHosts":[{"host":"h","paths":[
		{"name":"r","pathPrefix":"/p/","kind":"odd","service":"a"},
		{"name":"s","pathPrefix":"/s/","kind":"safe","service":"a","timeoutMs":900,"maxAttempts":3}]}]}`
	r.store.Put("op/config", fmt.Appendf(nil, unknownKind, 1))
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	first := r.follow(c, 0)
	r.store.Put("op/config", fmt.Appendf(nil, unknownKind, 2))
	second := r.follow(c, first.Version().Revision)
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "asleep"))
	content := r.follow(c, second.Version().Revision).Content()
	c.Check(content.Instances, qt.HasLen, 0)
	c.Assert(content.Routes, qt.HasLen, 2)
	c.Check(content.Routes[0].Repeatable, qt.IsFalse)
	c.Check(content.Routes[0].MaxAttempts, qt.Equals, 1)
	c.Check(content.Routes[0].TimeoutMillis > 0, qt.IsTrue)
	c.Check(content.Routes[1].Repeatable, qt.IsTrue)
	c.Check(content.Routes[1].TimeoutMillis, qt.Equals, int64(900))
	var warnings []*logrus.Entry
	for _, entry := range lines.AllEntries() {
		if entry.Level <= logrus.WarnLevel {
			warnings = append(warnings, entry)
		}
	}
	c.Assert(warnings, qt.HasLen, 3)
	c.Check(warnings[0].Data["key"], qt.Equals, "op/config")
	c.Check(warnings[0].Data["revision"], qt.Equals, "1")
	c.Check(warnings[1].Data["word"], qt.Equals, "asleep")
	c.Check(warnings[2].Level, qt.Equals, logrus.ErrorLevel)
	c.Check(warnings[2].Data["key"], qt.Equals, "servers/i-1")
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	c.Assert(families, qt.HasLen, 3)
	c.Check(families[0].Metric, qt.HasLen, 2) // the fields kind and state
	c.Check(families[1].Metric[0].Counter.GetValue(), qt.Equals, 1.0)
}

// TestStoreFaults: a failed read returns its status, and the next read succeeds.
func TestStoreFaults(t *testing.T) {
	rows := map[string]struct {
		fault store.Fault
		want  source.Status
	}{
		"busy":      {store.Busy, source.StatusBusy},
		"throttled": {store.Throttled, source.StatusBusy},
		"silent":    {store.Silent, source.StatusUnreachable},
		"reset":     {store.Reset, source.StatusUnreachable},
		"garbage":   {store.Garbage, source.StatusInvalid},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newHarness(t, timeout)
			if row.fault == store.Silent {
				r = newHarness(t, 50*time.Millisecond) // the read's own timeout ends it
			}
			r.store.Put("op/config", configuration(7, "a"))
			r.store.SetFault(func(*http.Request) store.Fault { return row.fault })
			_, outcome := r.mirror.AwaitRevision(context.Background(), 0, 0)
			c.Assert(outcome.Status, qt.Equals, row.want)
			r.store.SetFault(nil)
			r.follow(c, 0)
		})
	}
}

// TestMembersFollowWatch: Members with a wait does not read the store itself.
func TestMembersFollowWatch(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.Put("op/config", configuration(7, "a"))
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	first := r.follow(c, 0)
	list, outcome := r.mirror.Members(context.Background(), "", 0)
	c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
	c.Assert(list.Members, qt.HasLen, 1)

	done := make(chan int)
	go func() {
		next, _ := r.mirror.Members(context.Background(), list.ETag, wait)
		if next.Revision <= list.Revision {
			next.Members = nil
		}
		done <- len(next.Members)
	}()
	r.store.Put("servers/i-2", instance("a", "10.0.0.2:80", "ready"))
	r.follow(c, first.Version().Revision)
	c.Assert(<-done, qt.Equals, 2)
	c.Assert(r.store.Calls("/v1/kv-range"), qt.Equals, 1)
}

// TestExpiredLeases: instances that disappear during a store outage are kept until they return or
// the grace period is over; other changes of the state wait with them.
func TestExpiredLeases(t *testing.T) {
	names := []string{"i-1", "i-2", "i-3", "i-4"}
	rows := map[string]struct {
		outage    time.Duration
		compacted bool
		expired   []string // expired by the end of the outage
		returning []string // written again a second later
		held      int      // instances right after the outage
		want      int      // instances after the grace period
	}{
		"all leases expire, all return":          {4 * time.Second, false, names, names, 4, 4},
		"all leases expire, history compacted":   {4 * time.Second, true, names, names, 4, 4},
		"all leases expire, one does not return": {4 * time.Second, false, names, names[1:], 4, 3},
		"all leases expire, none returns":        {4 * time.Second, false, names, nil, 4, 0},
		"one stopped meanwhile":                  {4 * time.Second, false, names[:1], nil, 3, 3},
		"one failed read, many stop":             {100 * time.Millisecond, false, names, nil, 0, 0},
		"no outage":                              {0, false, names, nil, 0, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				emulated := &scriptedStore{c: c}
				m, err := mirror.New(mirror.Options{Store: emulated, Logger: logging.Discard(), Timeout: time.Minute})
				c.Assert(err, qt.IsNil)
				ctx := context.Background()
				emulated.put(names...)
				_, outcome := m.AwaitRevision(ctx, 0, 0)
				c.Assert(outcome.Err, qt.IsNil)
				first := instanceCount(c, m)
				c.Assert(first, qt.Equals, 4)
				time.Sleep(time.Minute) // well after the grace period that follows the first read
				_, _ = m.AwaitRevision(ctx, emulated.revision, 0)

				if row.outage > 0 {
					emulated.unavailable = true
					_, outcome = m.AwaitRevision(ctx, emulated.revision, 0)
					c.Assert(outcome.Status, qt.Equals, source.StatusUnreachable)
					time.Sleep(row.outage)
					emulated.unavailable = false
				}
				known := emulated.revision
				emulated.compacted = row.compacted
				emulated.remove(row.expired...)
				_, _ = m.AwaitRevision(ctx, known, 0)
				c.Check(instanceCount(c, m), qt.Equals, row.held)
				time.Sleep(time.Second)
				emulated.put(row.returning...)
				_, _ = m.AwaitRevision(ctx, known, 0)
				time.Sleep(time.Second)
				version, outcome := m.AwaitRevision(ctx, known, 0)
				c.Check(outcome.Err, qt.IsNil)
				c.Check(instanceCount(c, m), qt.Equals, row.want)
				c.Check(version.Revision, qt.Equals, emulated.revision)
			})
		})
	}
}

func instanceCount(c *qt.C, m *mirror.Mirror) int {
	document, outcome := m.Fetch(context.Background(), snapshot.Version{})
	c.Assert(outcome.Err, qt.IsNil)
	return len(document.Content().Instances)
}

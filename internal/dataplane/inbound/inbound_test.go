package inbound_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const idHeader = "Test-Request-Id"

type noSnapshots struct{}

func (noSnapshots) Current() *snapshot.Snapshot { return nil }

// newProxy returns a proxy without a configuration.
func newProxy(t *testing.T) *inbound.Proxy {
	proxy, err := inbound.New(inbound.Options{
		Mechanisms: mechanism.All(),
		Names:      message.Names{RequestID: idHeader}, Snapshots: noSnapshots{},
		Backend: "127.0.0.1:1", Slots: 1, Logger: logging.Discard(),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(proxy.Close)
	return proxy
}

// TestRefusalHasTheRequestID guards against a refusal without the ID of its request: the
// other node attributes such an answer to another request and waits until its deadline.
func TestRefusalHasTheRequestID(t *testing.T) {
	proxy := newProxy(t)
	rows := map[string]string{
		"refused":   hop.Order{Instance: "i-1", Remaining: time.Second}.Encode(),
		"malformed": "not an order",
	}
	for name, order := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			answer := proxy.Serve(context.Background(), &message.Request{
				ID: "request-7", Arrived: time.Now(), Header: http.Header{hop.Header: {order}},
			})
			c.Check(answer.Header.Get(idHeader), qt.Equals, "request-7")
			report, err := hop.DecodeReport(answer.Header.Get(hop.Header))
			c.Assert(err, qt.IsNil)
			c.Check(report.Outcome, qt.Equals, hop.Refused)
		})
	}
}

// TestPlannedStopKeepsServing checks that during a graceful shutdown the node still sends to the
// running instance what ends in time, until the other nodes know of the shutdown.
func TestPlannedStopKeepsServing(t *testing.T) {
	now := time.Now()
	rows := map[string]struct {
		refuseAt, end time.Time
		remaining     time.Duration
		want          hop.Reason
	}{
		"deadline in time":  {now.Add(time.Hour), now.Add(2 * time.Hour), time.Minute, hop.ReasonUnconfigured},
		"deadline too late": {now.Add(time.Hour), now.Add(time.Hour), 2 * time.Hour, hop.ReasonDraining},
		"refuseAt reached":  {now, now.Add(time.Hour), time.Minute, hop.ReasonDraining},
		"no planned stop":   {time.Time{}, time.Time{}, time.Minute, hop.ReasonUnconfigured},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			proxy := newProxy(t)
			if !row.end.IsZero() {
				proxy.Drain(row.refuseAt, row.end)
			}
			delivery := proxy.Deliver(context.Background(), &message.Request{ID: "r", Arrived: time.Now()},
				hop.Order{Instance: "i-1", Remaining: row.remaining})
			qt.Check(t, delivery.Report.Reason, qt.Equals, row.want)
		})
	}
}

// fixedSnapshot is a SnapshotSource that always returns the same snapshot.
type fixedSnapshot struct{ current *snapshot.Snapshot }

func (f fixedSnapshot) Current() *snapshot.Snapshot { return f.current }

// newServedProxy returns a proxy for an emulated instance that its snapshot lists.
func newServedProxy(t *testing.T, emulated *instance.Instance, options inbound.Options, routes ...snapshot.Route) *inbound.Proxy {
	address, err := emulated.Start()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(emulated.Close)
	version := snapshot.Version{Revision: 1}
	built, err := snapshot.New(version, routes, []snapshot.Service{{Name: "a"}}, nil)
	qt.Assert(t, err, qt.IsNil)
	options.Names = message.Names{
		RequestID: instance.HeaderID, Deadline: instance.HeaderDeadline, ExpectInstance: instance.HeaderExpect,
		NotExecuted: instance.HeaderNotExecuted, Stamp: instance.HeaderStamp,
		Limit: instance.HeaderLimit, Leaving: instance.HeaderLeaving, Load: instance.HeaderLoad,
	}
	options.Snapshots = fixedSnapshot{built.WithFleet(version, snapshot.Content{Instances: []snapshot.Instance{{
		Name: emulated.Name, Service: "a", Address: address, State: snapshot.InstanceReady, Slots: 4,
	}}})}
	options.Backend, options.Slots = address, 4
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	proxy, err := inbound.New(options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(proxy.Close)
	return proxy
}

func deliver(proxy *inbound.Proxy, id string, order hop.Order) inbound.Delivery {
	return proxy.Deliver(context.Background(), &message.Request{
		ID: id, Method: http.MethodGet, Target: "/t", Path: "/t", Host: "h.example", Header: http.Header{}, Arrived: time.Now(),
	}, order)
}

// TestSilentlyDroppedConnections guards against losing a request that must not be repeated
// because it was sent on a connection that the instance dropped without closing it.
func TestSilentlyDroppedConnections(t *testing.T) {
	for name, row := range map[string]struct {
		repeatable bool
		want       hop.Outcome
	}{
		"not repeatable": {false, hop.Answered},
		"repeatable":     {true, hop.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			emulated := &instance.Instance{Name: "i-1"}
			proxy := newServedProxy(t, emulated, inbound.Options{Mechanisms: mechanism.All(), MaxIdleNonRepeatable: time.Nanosecond})
			order := hop.Order{Instance: "i-1", Remaining: time.Minute, MaxWait: time.Minute, Repeatable: row.repeatable}
			c.Assert(deliver(proxy, "first", order).Report.Outcome, qt.Equals, hop.Answered)
			emulated.ForgetConnections()
			c.Check(deliver(proxy, "second", order).Report.Outcome, qt.Equals, row.want)
		})
	}
}

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
	"github.com/winchhead/winchhead/internal/suspects"
)

type oneSnapshot struct{ snapshot *snapshot.Snapshot }

func (s oneSnapshot) Current() *snapshot.Snapshot { return s.snapshot }

// TestProbe checks that a request during which the instance crashes is quarantined if it was
// already suspected, and otherwise becomes suspected. The suspicion may be known to this node
// or only to the sender, as the record of the earlier crash may not have arrived here yet.
func TestProbe(t *testing.T) {
	running := []suspects.InProgress{{Fingerprint: suspects.NewFingerprint(http.MethodGet, "h", "/x", nil)}}
	for name, row := range map[string]struct {
		known, bySender bool
		want            suspects.Standing
	}{
		"not suspected":       {false, false, suspects.Suspected},
		"known to this node":  {true, false, suspects.Quarantined},
		"known to the sender": {false, true, suspects.Quarantined},
		"known to both":       {true, true, suspects.Quarantined},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			emulated := &instance.Instance{Name: "i-1", CrashesOn: func(string) bool { return true }}
			address, err := emulated.Start()
			c.Assert(err, qt.IsNil)
			c.Cleanup(emulated.Close)
			empty, err := snapshot.New(snapshot.Version{Revision: 1}, nil, nil, nil)
			c.Assert(err, qt.IsNil)
			current := empty.WithFleet(snapshot.Version{Revision: 2}, snapshot.Content{Instances: []snapshot.Instance{
				{Name: "i-1", Service: "s", Address: address, Zone: "z", Slots: 2, State: snapshot.InstanceReady},
			}})
			tracker := suspects.NewTracker()
			proxy, err := inbound.New(inbound.Options{
				Mechanisms: mechanism.All(), Names: message.Names{RequestID: instance.HeaderID, ExpectInstance: instance.HeaderExpect},
				Snapshots: oneSnapshot{current}, Backend: address, Service: "s", Zone: "z", Slots: 2, Suspects: tracker, Logger: logging.Discard(),
			})
			c.Assert(err, qt.IsNil)
			c.Cleanup(proxy.Close)
			if row.known {
				tracker.Crashed("i-0", running)
			}
			request := &message.Request{ID: "r", Method: http.MethodGet, Host: "h", Target: "/x", Path: "/x", Header: http.Header{}, Arrived: time.Now()}
			delivery := proxy.Deliver(context.Background(), request, hop.Order{
				Instance: "i-1", Remaining: time.Minute, MaxWait: time.Minute, Suspected: row.bySender, Repeatable: true,
			})
			c.Check(delivery.Report.Reason, qt.Equals, hop.ReasonCrashed)
			c.Check(tracker.Assess(running[0].Fingerprint).Standing, qt.Equals, row.want)
		})
	}
}

package inbound_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestKeyRevokedBeforeTheRequestRuns guards against requests that run although their key was revoked
// while they waited at the last hop. While the sender's configuration is newer, it decides.
func TestKeyRevokedBeforeTheRequestRuns(t *testing.T) {
	const backend = "127.0.0.1:1"
	kept := snapshot.DigestKey("kept")
	document, err := snapshot.NewDocument(snapshot.Content{
		Revision: 10, Services: []snapshot.Service{{Name: "a"}},
		Instances: []snapshot.Instance{{Name: "i-1", Service: "a", Address: backend, State: snapshot.InstanceReady}},
	})
	qt.Assert(t, err, qt.IsNil)
	routed, err := snapshot.New(document.Version(), nil, document.Content().Services, nil)
	qt.Assert(t, err, qt.IsNil)
	routed, err = routed.WithTenants([]snapshot.Tenant{{Name: "t", KeyDigests: []snapshot.KeyDigest{kept}}})
	qt.Assert(t, err, qt.IsNil)
	revoked := snapshot.DigestKey("revoked")
	for name, row := range map[string]struct {
		tenant  string
		key     snapshot.KeyDigest
		sender  uint64 // revision of the sender's document
		revoked bool
	}{
		"key kept":                         {"t", kept, 10, false},
		"key revoked":                      {"t", revoked, 10, true},
		"key revoked, sender newer":        {"t", revoked, 11, false},
		"tenant removed":                   {"other", kept, 9, true},
		"anonymous":                        {"", snapshot.KeyDigest{}, 9, false},
		"key revoked, sender older by one": {"t", revoked, 9, true},
	} {
		t.Run(name, func(t *testing.T) {
			proxy, err := inbound.New(inbound.Options{
				Mechanisms: mechanism.All(), Names: message.Names{RequestID: idHeader},
				Snapshots: fixedSnapshot{routed.WithFleet(document.Version(), document.Content())},
				Service:   "a", Backend: backend, Slots: 1, Logger: logging.Discard(),
			})
			qt.Assert(t, err, qt.IsNil)
			defer proxy.Close()
			order := hop.Order{Instance: "i-1", Revision: row.sender, Remaining: time.Second, Tenant: row.tenant, KeyTag: row.key.Tag().String()}
			answer := proxy.Serve(context.Background(), &message.Request{
				ID: "r", Arrived: time.Now(), Method: http.MethodGet, Target: "/x", Header: http.Header{hop.Header: {order.Encode()}},
			})
			report, err := hop.DecodeReport(answer.Header.Get(hop.Header))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, report.Reason == hop.ReasonKeyRevoked, qt.Equals, row.revoked, qt.Commentf(fmt.Sprint(report)))
		})
	}
}

// TestLastHopAppliesChanges guards against requests that reach an instance after a change
// newer than the node's document took it out of service. The change is ignored if the
// sender's document is newer still, as the instance may have been listed again since.
func TestLastHopAppliesChanges(t *testing.T) {
	const backend = "127.0.0.1:1"
	instance := snapshot.Instance{Name: "i-1", Service: "a", Zone: "z", Address: backend, State: snapshot.InstanceReady}
	draining := instance
	draining.State = snapshot.InstanceDraining
	document, err := snapshot.NewDocument(snapshot.Content{Revision: 10, Services: []snapshot.Service{{Name: "a"}}, Instances: []snapshot.Instance{instance}})
	qt.Assert(t, err, qt.IsNil)
	routed, err := snapshot.New(document.Version(), nil, document.Content().Services, nil)
	qt.Assert(t, err, qt.IsNil)
	for name, row := range map[string]struct {
		change  snapshot.Change
		sender  uint64 // revision of the sender's document
		refused hop.Reason
	}{
		"draining":                          {snapshot.InstanceChange(12, draining), 10, hop.ReasonDraining},
		"draining, sender's document newer": {snapshot.InstanceChange(12, draining), 20, hop.ReasonDraining},
		"removed":                           {snapshot.InstanceRemoval(12, "i-1"), 10, hop.ReasonDraining},
		"removed, sender's document newer than the node's": {snapshot.InstanceRemoval(12, "i-1"), 11, hop.ReasonDraining},
		"removed, sender's document newer than the change": {snapshot.InstanceRemoval(12, "i-1"), 13, hop.ReasonNone},
		"zone evacuated":           {snapshot.EvacuationChange(12, "z", true), 10, hop.ReasonEvacuated},
		"another instance removed": {snapshot.InstanceRemoval(12, "i-2"), 10, hop.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			var changes snapshot.Changes
			changes.Add([]snapshot.Change{row.change}, 10)
			proxy, err := inbound.New(inbound.Options{
				Mechanisms: mechanism.All(), Names: message.Names{RequestID: idHeader},
				Snapshots: fixedSnapshot{routed.WithChanges(document, &changes, &snapshot.Retained{})},
				Service:   "a", Zone: "z", Backend: backend, Slots: 1, Logger: logging.Discard(),
			})
			qt.Assert(t, err, qt.IsNil)
			defer proxy.Close()
			order := hop.Order{Instance: "i-1", Revision: row.sender, Remaining: time.Second}.Encode()
			answer := proxy.Serve(context.Background(), &message.Request{
				ID: "r", Arrived: time.Now(), Method: http.MethodGet, Target: "/x", Header: http.Header{hop.Header: {order}},
			})
			report, err := hop.DecodeReport(answer.Header.Get(hop.Header))
			qt.Assert(t, err, qt.IsNil)
			refused := hop.ReasonNone
			if report.Outcome == hop.Refused && (report.Reason == hop.ReasonDraining || report.Reason == hop.ReasonEvacuated) {
				refused = report.Reason
			}
			qt.Check(t, refused, qt.Equals, row.refused, qt.Commentf(fmt.Sprint(report)))
		})
	}
}

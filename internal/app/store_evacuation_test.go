package app

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// evacuate writes that the instances of a zone get no requests.
func (r *storeHarness) evacuate(zone string) snapshot.Revision {
	return snapshot.Revision(r.store.Put(store.KeyEvacuations+zone, []byte("{}")))
}

// endEvacuation ends the evacuation of a zone.
func (r *storeHarness) endEvacuation(zone string) snapshot.Revision {
	return snapshot.Revision(r.store.Delete(store.KeyEvacuations + zone))
}

// sendMany sends requests one after the other and returns how many ran in each zone.
func (r *storeHarness) sendMany(index, count int, label string) map[string]int {
	ran := map[string]int{}
	for i := range count {
		id := fmt.Sprintf("%s-%d", label, i)
		r.c.Assert(r.send(index, http.MethodGet, "/read/x", id).status, qt.Equals, http.StatusOK)
		for _, m := range r.machines {
			for _, run := range m.instance.Runs() {
				if run.ID == id {
					ran[m.zone]++
				}
			}
		}
	}
	return ran
}

// TestStoreEvacuation checks that the instances of an evacuated zone get no requests, that
// the zone's node serves its own callers from other zones, and that everything is as
// before once the evacuation ends.
func TestStoreEvacuation(t *testing.T) {
	const requests = 30
	r := newStoreHarness(t, []string{"data", "data"}, nil)
	r.putInZone(1, "y")
	r.startAll()
	c := r.c
	c.Check(r.sendMany(1, requests, "before")["y"] > 0, qt.IsTrue)

	r.awaitRevision(r.evacuate("y"))
	c.Check(r.sendMany(1, requests, "from the zone"), qt.DeepEquals, map[string]int{"z": requests})
	c.Check(r.sendMany(0, requests, "from elsewhere"), qt.DeepEquals, map[string]int{"z": requests})

	r.awaitRevision(r.endEvacuation("y"))
	c.Check(r.sendMany(1, requests, "after")["y"] > 0, qt.IsTrue)
}

// TestStoreEvacuationOfAllZones checks that requests are refused at once as not run, with
// a Retry-After, if all zones are evacuated, and that a node that starts while the store
// is unavailable learns of the evacuations from its peers.
func TestStoreEvacuationOfAllZones(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data", "data"}, nil)
	r.putInZone(1, "y")
	r.start(0, r.url)
	r.start(1, r.url)
	<-r.machines[0].node.Ready()
	<-r.machines[1].node.Ready()
	r.evacuate("y")
	revision := r.evacuate("z")
	r.awaitRevision(revision)
	r.store.SetFault(answerListsOnly())
	r.start(2, r.url)
	r.awaitRevision(revision)

	for index := range r.machines {
		id := fmt.Sprintf("refused-%d", index)
		got := r.send(index, http.MethodPost, "/write/x", id)
		r.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		r.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		r.c.Check(r.runs(id), qt.HasLen, 0)
	}
	r.store.SetFault(nil)
	r.awaitRevision(r.endEvacuation("y"))
	r.c.Check(r.sendMany(0, 3, "served again"), qt.DeepEquals, map[string]int{"y": 3})
}

// answerListsOnly returns a fault with which the store answers lists, from which a
// starting node learns its peers, and nothing else.
func answerListsOnly() func(*http.Request) store.Fault {
	return func(request *http.Request) store.Fault {
		if request.URL.Path == "/v1/kv-range" {
			return store.NoFault
		}
		return store.Busy
	}
}

// TestStoreEvacuationGuard checks that the sidecar of an instance refuses requests from a
// sender that doesn't know of the evacuation yet.
func TestStoreEvacuationGuard(t *testing.T) {
	r := newStoreHarness(t, []string{"data"}, nil)
	r.startAll()
	r.awaitRevision(r.evacuate("z"))
	order := hop.Order{Instance: "i-0", Remaining: 30e9, MaxWait: 10e9, Repeatable: true, Revision: 1}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/read/x", r.machines[0].ip, r.inbound), nil)
	r.c.Assert(err, qt.IsNil)
	request.Host, request.Close = "h.example", true
	request.Header.Set(hop.Header, order.Encode())
	request.Header.Set(instance.HeaderID, "behind")
	response, err := http.DefaultClient.Do(request)
	r.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	report, err := hop.DecodeReport(response.Header.Get(hop.Header))
	r.c.Assert(err, qt.IsNil)
	r.c.Check(report.Outcome, qt.Equals, hop.Refused)
	r.c.Check(report.Reason, qt.Equals, hop.ReasonEvacuated)
	r.c.Check(r.runs("behind"), qt.HasLen, 0)
}

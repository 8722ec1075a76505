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

// evacuate asks that the instances of a zone get no requests.
func (r *storeRig) evacuate(zone string) snapshot.Revision {
	return snapshot.Revision(r.store.Put(store.KeyEvacuations+zone, []byte("{}")))
}

// takeBack ends the evacuation of a zone.
func (r *storeRig) takeBack(zone string) snapshot.Revision {
	return snapshot.Revision(r.store.Delete(store.KeyEvacuations + zone))
}

// askMany sends requests one after the other and returns how many each instance ran.
func (r *storeRig) askMany(index, count int, label string) map[string]int {
	ran := map[string]int{}
	for i := range count {
		id := fmt.Sprintf("%s-%d", label, i)
		r.c.Assert(r.ask(index, http.MethodGet, "/read/x", id).status, qt.Equals, http.StatusOK)
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

// TestStoreEvacuation: the instances of an evacuated zone get nothing, its node serves
// its own callers on by instances elsewhere, and all is as before once it is taken back.
func TestStoreEvacuation(t *testing.T) {
	const requests = 30
	r := newStoreRig(t, []string{"data", "data"}, nil)
	r.place(1, "y")
	r.startAll()
	c := r.c
	c.Check(r.askMany(1, requests, "before")["y"] > 0, qt.IsTrue)

	r.await(r.evacuate("y"))
	c.Check(r.askMany(1, requests, "from the zone"), qt.DeepEquals, map[string]int{"z": requests})
	c.Check(r.askMany(0, requests, "from elsewhere"), qt.DeepEquals, map[string]int{"z": requests})

	r.await(r.takeBack("y"))
	c.Check(r.askMany(1, requests, "after")["y"] > 0, qt.IsTrue)
}

// TestStoreEvacuationOfAllZones: what no zone may serve is refused at once, as not run,
// with a time to come back; and a node that starts while the store is away knows of it
// from its peers.
func TestStoreEvacuationOfAllZones(t *testing.T) {
	r := newStoreRig(t, []string{"front", "data", "data"}, nil)
	r.place(1, "y")
	r.start(0, r.url)
	r.start(1, r.url)
	<-r.machines[0].node.Ready()
	<-r.machines[1].node.Ready()
	r.evacuate("y")
	revision := r.evacuate("z")
	r.await(revision)
	r.store.SetFault(awayForMachine())
	r.start(2, r.url)
	r.await(revision)

	for index := range r.machines {
		id := fmt.Sprintf("refused-%d", index)
		got := r.ask(index, http.MethodPost, "/write/x", id)
		r.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		r.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		r.c.Check(r.runs(id), qt.HasLen, 0)
	}
	r.store.SetFault(nil)
	r.await(r.takeBack("y"))
	r.c.Check(r.askMany(0, 3, "served again"), qt.DeepEquals, map[string]int{"y": 3})
}

// awayForMachine lets a starting node find its peers by one list and answers nothing else.
func awayForMachine() func(*http.Request) store.Fault {
	return func(request *http.Request) store.Fault {
		if request.URL.Path == "/v1/kv-range" {
			return store.NoFault
		}
		return store.Busy
	}
}

// TestStoreEvacuationGuard: the node beside an instance refuses what a sender that does
// not know of the evacuation still sends.
func TestStoreEvacuationGuard(t *testing.T) {
	r := newStoreRig(t, []string{"data"}, nil)
	r.startAll()
	r.await(r.evacuate("z"))
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

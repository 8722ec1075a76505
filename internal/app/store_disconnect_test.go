package app

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// slotsOfAnInstance is the number of slots in the entries that a storeHarness writes.
const slotsOfAnInstance = 4

// worker keeps the runs of an instance going until their senders disconnect or it is released.
type worker struct {
	mutex    sync.Mutex
	began    []string
	released chan struct{}
}

func (w *worker) work(id string, gone <-chan struct{}) {
	w.mutex.Lock()
	w.began = append(w.began, id)
	w.mutex.Unlock()
	select {
	case <-gone:
	case <-w.released:
	}
}

// awaitWork waits until count requests have begun to run.
func (w *worker) awaitWork(count int) {
	for {
		w.mutex.Lock()
		begun := len(w.began)
		w.mutex.Unlock()
		if begun >= count {
			return
		}
		runtime.Gosched()
	}
}

// awaitActive waits until a node has count requests in progress.
func (r *storeHarness) awaitActive(index, count int) {
	until(func() bool { return r.machines[index].node.parts.Dataplane.Active() == count })
}

// awaitEnds waits until all runs of the requests with these ids have ended.
func (r *storeHarness) awaitEnds(ids []string) {
	for _, id := range ids {
		until(func() bool {
			return !slices.ContainsFunc(r.runs(id), func(run instance.Run) bool { return !run.Ended })
		})
	}
}

// TestStoreCallerDisconnectsInAnyState checks that a caller may disconnect in any state of
// its request. Nothing more of the request reaches an instance, and an instance that
// already works on it is told through both nodes.
func TestStoreCallerDisconnectsInAnyState(t *testing.T) {
	const header = "Host: h.example\r\n" + instance.HeaderID + ": cancelled%s\r\n" + instance.HeaderDeadline + ": 60000\r\n"
	get := func(suffix string) string {
		return fmt.Sprintf("GET /read/x HTTP/1.1\r\n"+header+"\r\n", suffix)
	}
	rows := map[string]struct {
		sends string
		// blockers is the number of requests of others that hold slots of the instance.
		blockers int
		// activeCaller and activeInstance are the requests in progress at the caller's node and
		// at the sidecar of the instance before the caller disconnects, without the blockers.
		// works is how many of the caller's requests run.
		activeCaller, activeInstance, works int
		// mayWork is how many more may start to run: when one of them frees a slot, the next may
		// get it before the sidecar learns that it was cancelled, on a connection of its own.
		mayWork int
	}{
		"within the header":             {sends: "GET /read/x HTTP/1.1\r\nHost: h.ex"},
		"within the body":               {sends: fmt.Sprintf("POST /write/x HTTP/1.1\r\n"+header+"Content-Length: 4000\r\n\r\nbegins", "")},
		"waiting for a slot":            {sends: get(""), blockers: slotsOfAnInstance, activeCaller: 1, activeInstance: 1},
		"running":                       {sends: get(""), activeCaller: 1, activeInstance: 1, works: 1},
		"several pipelined and running": {sends: get("-1") + get("-2") + get("-3"), activeCaller: 3, activeInstance: 3, works: 3},
		"within a header, one running":  {sends: get("-1") + "GET /read/x HTTP/1.1\r\nHo", activeCaller: 1, activeInstance: 1, works: 1},
		"one running, one waiting":      {sends: get("-1") + get("-2"), blockers: slotsOfAnInstance - 1, activeCaller: 2, activeInstance: 2, works: 1, mayWork: 1},
		"several waiting":               {sends: get("-1") + get("-2"), blockers: slotsOfAnInstance, activeCaller: 2, activeInstance: 2},
		"running, not repeatable":       {sends: fmt.Sprintf("POST /write/x HTTP/1.1\r\n"+header+"Content-Length: 1\r\n\r\nx", ""), activeCaller: 1, activeInstance: 1, works: 1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			working := &worker{released: make(chan struct{})}
			r := newStoreHarness(t, []string{"front", "data"}, func(_ int, emulated *instance.Instance) { emulated.Work = working.work })
			r.startAll()
			var others sync.WaitGroup
			for i := range row.blockers {
				others.Go(func() { r.send(0, "GET", "/read/x", fmt.Sprint("blocker-", i)) })
			}
			working.awaitWork(row.blockers)

			conn, err := net.Dial("tcp", r.machines[0].node.Addresses().Outbound)
			r.c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, row.sends)
			r.c.Assert(err, qt.IsNil)
			working.awaitWork(row.blockers + row.works)
			r.awaitActive(0, row.blockers+row.activeCaller)
			r.awaitActive(1, row.blockers+row.activeInstance)
			r.c.Assert(conn.Close(), qt.IsNil)
			r.awaitActive(0, row.blockers)
			r.awaitActive(1, row.blockers)
			ids := []string{"cancelled", "cancelled-1", "cancelled-2", "cancelled-3"}
			r.awaitEnds(ids)

			close(working.released)
			others.Wait()
			r.c.Check(r.send(0, "GET", "/read/x", "last").status, qt.Equals, 200)
			runs := 0
			for _, id := range ids {
				for _, run := range r.runs(id) {
					runs++
					r.c.Check(run.Cancelled, qt.IsTrue)
				}
			}
			r.c.Check(runs >= row.works && runs <= row.works+row.mayWork, qt.IsTrue, qt.Commentf("%d ran", runs))
		})
	}
}

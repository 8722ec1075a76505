package app

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// crashingPrefix is the prefix of the ids of requests that crash the instances running them.
const crashingPrefix = "crashing-"

// newCrashHarness starts two instances of front and four of data, each with a sidecar. Requests
// whose ids begin with crashingPrefix crash the instances that run them.
func newCrashHarness(t *testing.T, work func(id string, gone <-chan struct{})) *storeHarness {
	r := newStoreHarness(t, []string{"front", "front", "data", "data", "data", "data"}, func(_ int, emulated *instance.Instance) {
		emulated.Work = work
		emulated.Plan = func(id string) instance.Fault {
			if strings.HasPrefix(id, crashingPrefix) {
				return instance.Crashes
			}
			return instance.None
		}
	})
	r.startAll()
	for _, m := range r.machines { // keeps the retry budget from affecting these tests
		m.node.parts.Dataplane.SetBudget(budget.Options{Ratio: 1, Slack: 1000, Window: time.Hour})
	}
	return r
}

// heldRuns holds the first run of each request whose id has the prefix until its sender
// disconnects, as when the instance crashes, or until all runs are released.
type heldRuns struct {
	prefix  string
	started chan string
	release chan struct{}

	mutex sync.Mutex
	begun map[string]bool
}

func newHeldRuns(prefix string) *heldRuns {
	const most = 100
	return &heldRuns{prefix: prefix, started: make(chan string, most), release: make(chan struct{}), begun: make(map[string]bool)}
}

// work is the work function of an emulated instance.
func (h *heldRuns) work(id string, gone <-chan struct{}) {
	h.mutex.Lock()
	isFirst := strings.HasPrefix(id, h.prefix) && !h.begun[id]
	h.begun[id] = true
	h.mutex.Unlock()
	if !isFirst {
		return
	}
	h.started <- id
	select {
	case <-gone:
	case <-h.release:
	}
}

// restart restarts the instances that crashed, with the same names and addresses.
func (r *storeHarness) restart() {
	r.c.Helper()
	for _, m := range r.machines {
		r.c.Assert(m.instance.Restart(), qt.IsNil)
	}
}

// crashes returns the number of crashes of all instances.
func (r *storeHarness) crashes() (count int) {
	for _, m := range r.machines {
		count += m.instance.Crashes()
	}
	return count
}

// TestStoreRequestThatCrashesInstances sends a request that crashes each instance running
// it again and again. Without a record that relates requests to crashes, each arrival
// would crash one instance or two, and many other requests to the service would be refused.
// Only a few instances may crash before the request is refused as not run, and others are
// served.
func TestStoreRequestThatCrashesInstances(t *testing.T) {
	const (
		times = 40
		// mostCrashes allows for the crashes before all nodes know of them, one probe that
		// runs alone, and requests in progress meanwhile.
		mostCrashes = 6
	)
	for name, row := range map[string]struct{ method, path string }{
		"may be repeated": {http.MethodGet, "/read/"},
		"may run once":    {http.MethodPost, "/write/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newCrashHarness(t, nil)
			for i := range times {
				got := r.send(i%len(r.machines), row.method, row.path+"the-one", fmt.Sprintf("%s%d", crashingPrefix, i))
				r.c.Assert(got.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("status %d", got.status))
				r.restart()
				id := fmt.Sprintf("other-%d", i)
				r.c.Assert(r.send(i%2, row.method, row.path+id, id).status, qt.Equals, http.StatusOK, qt.Commentf("after %d crashes", r.crashes()))
			}
			r.c.Check(r.crashes() <= mostCrashes, qt.IsTrue, qt.Commentf("%d crashes by one request that was sent %d times", r.crashes(), times))
			last := r.send(0, row.method, row.path+"the-one", crashingPrefix+"last")
			r.c.Check(last.status, qt.Equals, http.StatusServiceUnavailable)
			r.c.Check(last.body, qt.Contains, "not run")
			r.c.Check(r.runs(crashingPrefix+"last"), qt.HasLen, 0)
		})
	}
}

// TestStorePopularRequestIsServedDespiteCrashes has a request of many callers in progress
// at each crash that another request causes. It must not be blamed for the crashes: it is
// served while the other one is refused.
func TestStorePopularRequestIsServedDespiteCrashes(t *testing.T) {
	const popular = 3 // fewer than an instance has slots
	held := newHeldRuns("popular-")
	r := newCrashHarness(t, held.work)
	var waiting sync.WaitGroup
	statuses := make([]int, popular)
	for i := range popular {
		waiting.Go(func() {
			statuses[i] = r.send(i%len(r.machines), http.MethodGet, "/read/popular", fmt.Sprintf("popular-%d", i)).status
		})
	}
	for range popular {
		<-held.started
	}
	for i := range 20 {
		r.send(i%len(r.machines), http.MethodGet, "/read/the-one", fmt.Sprintf("%s%d", crashingPrefix, i))
		r.restart()
	}
	close(held.release)
	waiting.Wait()
	for i, status := range statuses {
		r.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("popular request %d", i))
	}
	for i := range 20 {
		got := r.send(i%len(r.machines), http.MethodGet, "/read/popular", fmt.Sprintf("later-%d", i))
		r.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	r.c.Check(r.crashes() <= 3, qt.IsTrue, qt.Commentf("%d crashes", r.crashes()))
}

// TestStoreUnrelatedCrashesBlockNoRequest has instances crash for reasons of their own,
// each time with the same request in progress. The request must still be served.
func TestStoreUnrelatedCrashesBlockNoRequest(t *testing.T) {
	const times = 12
	held := newHeldRuns("held-")
	r := newCrashHarness(t, held.work)
	for i := range times {
		id := fmt.Sprintf("held-%d", i)
		done := make(chan answer, 1)
		go func() { done <- r.send(i%2, http.MethodGet, "/read/same", id) }()
		select {
		case <-held.started:
		case got := <-done:
			r.c.Fatalf("crash %d: the request did not run: %d %s", i, got.status, got.body)
		}
		for _, m := range r.machines {
			if len(r.runsAt(m, id)) > 0 {
				m.instance.Crash()
			}
		}
		got := <-done
		r.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("crash %d: %s", i, got.body))
		r.restart()
		r.awaitCrashRecords(i + 1)
		r.clear(fmt.Sprintf("clear-%d", i))
	}
}

// awaitCrashRecords waits until every node holds the records of that many crashes. A node that has not
// received one yet suspects nothing, so its having no suspicion would not show that the request is cleared.
func (r *storeHarness) awaitCrashRecords(count int) {
	for _, m := range r.machines {
		until(func() bool { return m.node.parts.Suspects.Crashes() >= count })
	}
}

// clear sends the same request until no node suspects any request.
func (r *storeHarness) clear(id string) {
	r.c.Helper()
	for _, m := range r.machines {
		for number := 0; !m.node.parts.Suspects.IsEmpty(); number++ {
			got := r.send(0, http.MethodGet, "/read/same", fmt.Sprintf("%s-%d", id, number))
			r.c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		}
	}
}

// TestStoreCrashOfManyAtOnce crashes instances of one failure domain at the same moment,
// all with the same request in progress. These are many crashes with one cause, so the
// request must be served afterwards.
func TestStoreCrashOfManyAtOnce(t *testing.T) {
	const count = 3
	held := newHeldRuns("held-")
	r := newCrashHarness(t, held.work)
	var waiting sync.WaitGroup
	for i := range count {
		waiting.Go(func() { r.send(i, http.MethodPost, "/write/same", fmt.Sprintf("held-%d", i)) })
	}
	for range count {
		<-held.started
	}
	for _, m := range r.machines {
		if m.service == "data" {
			m.instance.Crash()
		}
	}
	waiting.Wait()
	r.restart()
	for i := range 3 * len(r.machines) {
		got := r.send(i%len(r.machines), http.MethodPost, "/write/same", fmt.Sprintf("later-%d", i))
		r.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
}

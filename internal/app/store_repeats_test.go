package app

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// callGraph is a fleet in which runs of the service "front" call the service "data", whose
// instances reject some of the calls. It counts the calls that reach instances of data.
type callGraph struct {
	harness *storeHarness

	mutex sync.Mutex
	// runsOf counts the runs of each lookup. failed holds the lookups whose calls failed.
	runsOf map[string]int
	failed map[string]bool
	// repeated tells for each call whether a second or later run made it.
	repeated map[string]bool
	// arrivals counts the arrivals at data of each call, and allArrivals those of all calls.
	arrivals    map[string]int
	allArrivals int
	// rejectedOfThree is how many of every three arrivals are rejected.
	rejectedOfThree int
}

const (
	callsOfARun = 2
	// graphWindow is far longer than the test, so that one window covers all of it.
	graphWindow = time.Hour
	graphRatio  = 0.2
	graphSlack  = 10
)

// newCallGraph starts two machines of front and three of data, which reject the given
// number of every three arrivals.
func newCallGraph(t *testing.T, rejectedOfThree int) *callGraph {
	graph := &callGraph{
		runsOf: make(map[string]int), failed: make(map[string]bool),
		repeated: make(map[string]bool), arrivals: make(map[string]int), rejectedOfThree: rejectedOfThree,
	}
	services := []string{"front", "front", "data", "data", "data"}
	graph.harness = newStoreHarness(t, services, func(index int, emulated *instance.Instance) {
		if services[index] == "data" {
			emulated.Plan = graph.arrive
			return
		}
		emulated.Work = func(id string, _ <-chan struct{}) { graph.call(index, id) }
		emulated.FaultAfterWork = graph.failIfCallFailed
	})
	graph.harness.store.Put("op/config", fmt.Appendf(nil, configurationOf, 2,
		`,{"name":"look","pathPrefix":"/look/","kind":"safe","timeoutMs":30000,"targetLatencyMs":20000,"priority":2,"service":"front","maxAttempts":2}`))
	graph.harness.startAll()
	for _, m := range graph.harness.machines {
		m.node.parts.Dataplane.SetBudget(budget.Options{Ratio: graphRatio, Slack: graphSlack, Window: graphWindow})
	}
	graph.harness.awaitRevision(snapshot.Revision(1))
	return graph
}

// arrive counts a call that reaches an instance of data, and rejects some of them.
func (g *callGraph) arrive(id string) instance.Fault {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.arrivals[id]++
	g.allArrivals++
	if g.allArrivals%3 < g.rejectedOfThree {
		return instance.Reject
	}
	return instance.None
}

// call makes the calls of one run of a lookup and records if one of them fails.
func (g *callGraph) call(index int, id string) {
	g.mutex.Lock()
	g.runsOf[id]++
	number := g.runsOf[id]
	g.mutex.Unlock()
	var calling sync.WaitGroup
	for k := range callsOfARun {
		calling.Go(func() {
			name := fmt.Sprintf("c%d%d%s", number, k, id)
			g.mutex.Lock()
			g.repeated[name] = number > 1
			g.mutex.Unlock()
			if got := g.harness.send(index, http.MethodGet, "/read/x", name); got.status != http.StatusOK {
				g.mutex.Lock()
				g.failed[id] = true
				g.mutex.Unlock()
			}
		})
	}
	calling.Wait()
}

// failIfCallFailed makes a run fail if one of its calls failed.
func (g *callGraph) failIfCallFailed(id string) instance.Fault {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failed[id] {
		delete(g.failed, id)
		return instance.Fails
	}
	return instance.None
}

// sendLookups sends lookups to all machines, a few at a time, and returns how many were
// served.
func (g *callGraph) sendLookups(count int) (served int) {
	const workers = 8
	var looking sync.WaitGroup
	results := make([]int, workers)
	for worker := range workers {
		looking.Go(func() {
			for i := worker; i < count; i += workers {
				got := g.harness.send(i%len(g.harness.machines), http.MethodGet, "/look/x", fmt.Sprintf("l%d", i))
				if got.status == http.StatusOK {
					results[worker]++
				}
			}
		})
	}
	looking.Wait()
	for _, each := range results {
		served += each
	}
	return served
}

// repeatedArrivals returns the number of arrivals at data that are repeats, and the number
// of calls. Repeats are the arrivals after the first of each call, and all arrivals of calls
// that repeated runs made.
func (g *callGraph) repeatedArrivals() (repeats, requests int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for id, count := range g.arrivals {
		if g.repeated[id] {
			repeats += count
		} else {
			repeats += count - 1
		}
	}
	return repeats, len(g.repeated)
}

// TestStoreRepeatsOverACallGraph checks that repeated arrivals at a service stay within the
// retry budget even if the calling service is repeated too and its runs make their calls
// again.
func TestStoreRepeatsOverACallGraph(t *testing.T) {
	c := qt.New(t)
	const lookups = 600
	graph := newCallGraph(t, 2)
	served := graph.sendLookups(lookups)
	repeats, requests := graph.repeatedArrivals()
	allowed := graphRatio*float64(requests) + graphSlack
	c.Logf("%d lookups, %d served, %d calls, %d repeated arrivals, allowed %.0f", lookups, served, requests, repeats, allowed)
	c.Check(float64(repeats) <= allowed, qt.IsTrue, qt.Commentf("%d repeated arrivals, allowed %.0f", repeats, allowed))
	c.Check(repeats > 0, qt.IsTrue)
}

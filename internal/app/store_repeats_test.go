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
// instances reject some of what they get. It counts what reaches the instances of data.
type callGraph struct {
	rig *storeRig

	mutex sync.Mutex
	// runsOf counts the runs of each lookup; failed are those whose calls failed.
	runsOf map[string]int
	failed map[string]bool
	// repeated are the calls made by a second or later run.
	repeated map[string]bool
	// arrivals counts what reached data, for each call; offered counts all of it.
	arrivals map[string]int
	offered  int
	// rejectEvery is how many arrivals of three are rejected.
	rejected int
}

const (
	callsOfARun = 2
	// graphBound is far longer than the test, so that one window holds all of it.
	graphWindow = time.Hour
	graphRatio  = 0.2
	graphSlack  = 10
)

// newCallGraph starts two machines of front and three of data.
func newCallGraph(t *testing.T, rejected int) *callGraph {
	graph := &callGraph{
		runsOf: make(map[string]int), failed: make(map[string]bool),
		repeated: make(map[string]bool), arrivals: make(map[string]int), rejected: rejected,
	}
	services := []string{"front", "front", "data", "data", "data"}
	graph.rig = newStoreRig(t, services, func(index int, emulated *instance.Instance) {
		if services[index] == "data" {
			emulated.Plan = graph.arrive
			return
		}
		emulated.Work = func(id string, _ <-chan struct{}) { graph.call(index, id) }
		emulated.Judge = graph.judge
	})
	graph.rig.store.Put("op/config", fmt.Appendf(nil, configurationOf, 2,
		`,{"name":"look","pathPrefix":"/look/","kind":"safe","timeoutMs":30000,"targetLatencyMs":20000,"priority":2,"service":"front","maxAttempts":2}`))
	graph.rig.startAll()
	for _, m := range graph.rig.machines {
		m.node.parts.Dataplane.SetBudget(budget.Options{Ratio: graphRatio, Slack: graphSlack, Window: graphWindow})
	}
	graph.rig.await(snapshot.Revision(1))
	return graph
}

// arrive counts a call that reaches an instance of data, and rejects its part of them.
func (g *callGraph) arrive(id string) instance.Fault {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.arrivals[id]++
	g.offered++
	if g.offered%3 < g.rejected {
		return instance.Reject
	}
	return instance.None
}

// call makes the calls of one run of a lookup, which fails when one of them does.
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
			if got := g.rig.ask(index, http.MethodGet, "/read/x", name); got.status != http.StatusOK {
				g.mutex.Lock()
				g.failed[id] = true
				g.mutex.Unlock()
			}
		})
	}
	calling.Wait()
}

// judge answers a run whose calls failed with a failure.
func (g *callGraph) judge(id string) instance.Fault {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failed[id] {
		delete(g.failed, id)
		return instance.Fails
	}
	return instance.None
}

// look sends lookups at all machines, a few at a time, and returns how many were served.
func (g *callGraph) look(count int) (served int) {
	const workers = 8
	var looking sync.WaitGroup
	results := make([]int, workers)
	for worker := range workers {
		looking.Go(func() {
			for i := worker; i < count; i += workers {
				got := g.rig.ask(i%len(g.rig.machines), http.MethodGet, "/look/x", fmt.Sprintf("l%d", i))
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

// beyondFirst counts the arrivals at data beyond the first of each call, and all of those
// of calls that repeated runs made; requests counts the calls.
func (g *callGraph) beyondFirst() (beyond, requests int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for id, count := range g.arrivals {
		if g.repeated[id] {
			beyond += count
		} else {
			beyond += count - 1
		}
	}
	return beyond, len(g.repeated)
}

// TestStoreRepeatsOverACallGraph: what reaches a service beyond the first of each request
// stays within the bound, also when the service that calls it is repeated and its runs
// make their calls again.
func TestStoreRepeatsOverACallGraph(t *testing.T) {
	c := qt.New(t)
	const lookups = 600
	graph := newCallGraph(t, 2)
	served := graph.look(lookups)
	beyond, requests := graph.beyondFirst()
	allowed := graphRatio*float64(requests) + graphSlack
	c.Logf("%d lookups, %d served, %d calls, %d arrivals beyond the first, allowed %.0f", lookups, served, requests, beyond, allowed)
	c.Check(float64(beyond) <= allowed, qt.IsTrue, qt.Commentf("%d arrivals beyond the first, allowed %.0f", beyond, allowed))
	c.Check(beyond > 0, qt.IsTrue)
}

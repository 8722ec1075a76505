package budget_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/bench/repeatcheck"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
)

// A simulation of a fleet with a simulated clock: each node has one instance, services call each
// other in a chain of three, and the nodes make as many repeats as the package allows.
// Package repeatcheck checks the sends against the bound.

// graph lists the services, each of which calls the next.
var graph = []string{"first", "second", "third"}

// fleetPlan describes what happens to a fleet.
type fleetPlan struct {
	Nodes     int
	PerSecond float64 // client requests per second at one node
	Calls     int     // number of calls of a run that makes calls
	CallShare float64 // share of runs that make calls
	// Failures holds, by service, the shares of requests that fail in each way during the
	// trouble.
	Failures [3]failureShares
	// Restarts is the time between two restarts of nodes; zero means none.
	Restarts time.Duration
	// Listed is the share of the instances that nodes list during the trouble.
	Listed float64
	Seed   uint64
}

type failureShares struct{ Rejected, Lost, Failed float64 }

const (
	fleetTroubleStart = 3 * time.Second
	fleetTroubleEnd   = 12 * time.Second
	fleetEnd          = 18 * time.Second
	runTime           = 100 * time.Millisecond
	maxSends          = 4
	window            = 10 * time.Second
)

// fleetNode is one node with the service of its instance and its accounts.
type fleetNode struct {
	service  int
	accounts *budget.Accounts
}

// fleet simulates a plan.
type fleet struct {
	plan    fleetPlan
	random  *rand.Rand
	began   time.Time
	now     time.Time
	events  eventHeap
	nodes   []*fleetNode
	nodesOf [3][]*fleetNode
	seen    [3]repeatcheck.Observations
	repeats int
}

func simulateFleet(plan fleetPlan) *fleet {
	began := time.Now()
	f := &fleet{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1)), began: began, now: began}
	for i := range plan.Nodes {
		node := &fleetNode{service: i % len(graph)}
		node.start()
		f.nodes = append(f.nodes, node)
		f.nodesOf[node.service] = append(f.nodesOf[node.service], node)
		f.after(f.pause(), func() { f.client(node) })
	}
	if plan.Restarts > 0 {
		f.after(plan.Restarts, f.restart)
	}
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(event)
		if f.now = next.at; f.now.Sub(began) > fleetEnd {
			break
		}
		next.do()
	}
	return f
}

// start resets the node's accounts, as a new process does.
func (n *fleetNode) start() { n.accounts = budget.New(fleetBound) }

var fleetBound = budget.Options{Ratio: 0.2, Slack: 62, Window: window}

// pause returns the time until a client's next request.
func (f *fleet) pause() time.Duration {
	return time.Duration(f.random.ExpFloat64() / f.plan.PerSecond * float64(time.Second))
}

// client sends the next request at a node, mostly to the first service.
func (f *fleet) client(node *fleetNode) {
	f.after(f.pause(), func() { f.client(node) })
	service := 0
	if f.random.Float64() < 0.25 {
		service = 1 + f.random.IntN(2)
	}
	f.request(node, service, false, false, func(bool) {})
}

func (f *fleet) restart() {
	f.after(f.plan.Restarts, f.restart)
	f.nodes[f.random.IntN(len(f.nodes))].start()
}

func (f *fleet) troubled() bool {
	since := f.now.Sub(f.began)
	return since >= fleetTroubleStart && since < fleetTroubleEnd
}

// listed returns how many instances a node lists now.
func (f *fleet) listed() int {
	if f.troubled() {
		return max(int(f.plan.Listed*float64(f.plan.Nodes)), 1)
	}
	return f.plan.Nodes
}

// request starts a request at a node. isCall is set if the node's instance sends it, ofRepeat
// if a repeated run does. The nodes do not know ofRepeat; it is only used to count repeats.
func (f *fleet) request(node *fleetNode, service int, isCall, ofRepeat bool, done func(ok bool)) {
	f.seen[service].Requests = append(f.seen[service].Requests, f.now.Sub(f.began))
	node.accounts.SetInstanceCount(f.listed(), f.now)
	inherited := node.accounts.RecordRequest(graph[service], isCall, f.now)
	f.send(node, service, 0, budget.Repetition{Probability: inherited}, ofRepeat, done)
}

// send sends a request to an instance, and again while that is allowed. believed is what the
// node knows about the request being a repeat.
func (f *fleet) send(node *fleetNode, service, sends int, believed budget.Repetition, ofRepeat bool, done func(ok bool)) {
	at := f.nodesOf[service][f.random.IntN(len(f.nodesOf[service]))]
	repeat := ofRepeat || sends > 0
	if sends > 0 && !at.accounts.Fits(believed, f.now) { // refused by the instance's node
		node.accounts.ReturnRepeat(graph[service], f.now)
		done(false)
		return
	}
	if repeat {
		f.seen[service].Repeats = append(f.seen[service].Repeats, f.now.Sub(f.began))
		f.repeats++
	}
	retry := func(failed bool) {
		if sends+1 < maxSends && node.accounts.ReserveRepeat(graph[service], f.now) {
			f.send(node, service, sends+1, budget.Repetition{Probability: 1, Failed: failed}, ofRepeat, done)
			return
		}
		done(false)
	}
	var failures failureShares
	if f.troubled() {
		failures = f.plan.Failures[service]
	}
	if f.random.Float64() < failures.Rejected {
		f.after(time.Millisecond, func() { retry(false) })
		return
	}
	run, _ := at.accounts.Begin(believed, f.now)
	f.after(runTime/2, func() {
		f.call(at, service, repeat, func(ok bool) {
			f.after(runTime/2, func() {
				run.End()
				lost := f.random.Float64() < failures.Lost
				failed := !ok || f.random.Float64() < failures.Failed
				if lost || failed {
					retry(!lost)
					return
				}
				done(true)
			})
		})
	})
}

// call makes the calls of a run and reports whether all of them succeeded.
func (f *fleet) call(at *fleetNode, service int, repeat bool, done func(ok bool)) {
	if service+1 == len(graph) || f.random.Float64() >= f.plan.CallShare {
		done(true)
		return
	}
	pending, allOK := f.plan.Calls, true
	for range f.plan.Calls {
		f.request(at, service+1, true, repeat, func(ok bool) {
			allOK = allOK && ok
			if pending--; pending == 0 {
				done(allOK)
			}
		})
	}
}

type event struct {
	at time.Time
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (f *fleet) after(delay time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(delay), do})
}

// check reports each service whose bound was exceeded.
func (f *fleet) check(t interface {
	Errorf(format string, args ...any)
}) (worst float64) {
	bound := repeatcheck.Bound{Ratio: fleetBound.Ratio, Slack: fleetBound.Slack, Window: fleetBound.Window}
	for service, each := range f.seen {
		found := each.Worst(bound)
		if found.Share > 1 {
			t.Errorf("service %s: %s", graph[service], found)
		}
		worst = max(worst, found.Share)
	}
	return worst
}

// TestFleetKeepsTheBound guards against a fleet that makes more repeats than the bound allows
// when instances reject requests, fail or lose answers at one or several services of a chain.
func TestFleetKeepsTheBound(t *testing.T) {
	for name, failures := range map[string][3]failureShares{
		"rejections at the second":              {1: {Rejected: 0.55}},
		"rejections at the third":               {2: {Rejected: 0.55}},
		"answers lost at the first":             {0: {Lost: 0.3}},
		"answers lost at the second":            {1: {Lost: 0.3}},
		"answers lost at the first and second":  {0: {Lost: 0.3}, 1: {Lost: 0.3}},
		"answers lost and rejections at all":    {{Lost: 0.3, Rejected: 0.3}, {Lost: 0.3, Rejected: 0.3}, {Lost: 0.3, Rejected: 0.3}},
		"failures at the first, second rejects": {0: {Failed: 0.4}, 1: {Rejected: 0.5}},
	} {
		for nodes, perSecond := range map[int]float64{13: 30, 300: 4} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, nodes), func(t *testing.T) {
				played := simulateFleet(fleetPlan{
					Nodes: nodes, PerSecond: perSecond, Calls: 2, CallShare: 0.7, Failures: failures,
					Restarts: 13 * time.Second / time.Duration(nodes), Listed: 0.5, Seed: 7,
				})
				t.Logf("worst window: %.2f of the bound, %d repeats", played.check(t), played.repeats)
				qt.Check(t, played.repeats > 0, qt.IsTrue)
			})
		}
	}
	t.Run("random plans", func(t *testing.T) { rapid.Check(t, drawnFleetKeepsTheBound) })
}

// drawnFleetKeepsTheBound simulates a plan drawn at random.
func drawnFleetKeepsTheBound(t *rapid.T) {
	share := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
	plan := fleetPlan{
		Nodes:     rapid.SampledFrom([]int{3, 13, 40}).Draw(t, "nodes"),
		PerSecond: rapid.SampledFrom([]float64{2, 10, 30}).Draw(t, "per second"),
		Calls:     rapid.IntRange(1, 3).Draw(t, "calls"),
		CallShare: rapid.SampledFrom([]float64{0.5, 0.7, 1}).Draw(t, "call share"),
		Restarts:  rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 2 * time.Second}).Draw(t, "restarts"),
		Listed:    share("listed", 1),
		Seed:      rapid.Uint64().Draw(t, "seed"),
	}
	for i := range plan.Failures {
		plan.Failures[i] = failureShares{share("rejected", 0.7), share("lost", 0.4), share("failed", 0.4)}
	}
	simulateFleet(plan).check(t)
}

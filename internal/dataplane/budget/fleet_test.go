package budget_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/bench/repeatjudge"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
)

// A fleet in virtual time: each node stands beside one instance, services call each other
// three deep, and the nodes spend what the package lets them. judge counts as the users'
// bound does.

// graph is the services, each of which calls the next.
var graph = []string{"first", "second", "third"}

// fleetPlan is what happens to a fleet.
type fleetPlan struct {
	Nodes     int
	PerSecond float64 // requests of clients at one node
	Calls     int     // that a run makes
	CallShare float64 // of the runs that call
	// Ends are the shares of the arrivals that end in each way, by service, in the troubled
	// seconds.
	Ends [3]ends
	// Restarts is the time between two nodes that start again; zero: none.
	Restarts time.Duration
	// Listed is the share of the instances that nodes list in the troubled seconds.
	Listed float64
	Seed   uint64
}

type ends struct{ Rejected, Lost, Failed float64 }

const (
	fleetCalm    = 3 * time.Second
	fleetTrouble = 12 * time.Second
	fleetEnd     = 18 * time.Second
	runTime      = 100 * time.Millisecond
	mostSends    = 4
	window       = 10 * time.Second
)

// fleetNode is one node: the service of the instance beside it, and its accounts.
type fleetNode struct {
	service  int
	accounts *budget.Accounts
}

// fleet plays a plan.
type fleet struct {
	plan    fleetPlan
	random  *rand.Rand
	began   time.Time
	now     time.Time
	events  eventHeap
	nodes   []*fleetNode
	beside  [3][]*fleetNode
	seen    [3]repeatjudge.Seen
	repeats int
}

func playFleet(plan fleetPlan) *fleet {
	began := time.Now()
	f := &fleet{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1)), began: began, now: began}
	for i := range plan.Nodes {
		node := &fleetNode{service: i % len(graph)}
		node.start()
		f.nodes = append(f.nodes, node)
		f.beside[node.service] = append(f.beside[node.service], node)
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

// start empties the node's accounts, as a process that starts does.
func (n *fleetNode) start() { n.accounts = budget.New(fleetBound) }

var fleetBound = budget.Options{Ratio: 0.2, Slack: 62, Window: window}

// pause is the time to a client's next request.
func (f *fleet) pause() time.Duration {
	return time.Duration(f.random.ExpFloat64() / f.plan.PerSecond * float64(time.Second))
}

// client sends the next request at a node, for the first service mostly.
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
	return since >= fleetCalm && since < fleetTrouble
}

// listed is how many instances a node lists now.
func (f *fleet) listed() int {
	if f.troubled() {
		return max(int(f.plan.Listed*float64(f.plan.Nodes)), 1)
	}
	return f.plan.Nodes
}

// request takes a request at a node. isCall says that the instance beside it sends it,
// ofRepeat that a repeated run does; the latter only the judge knows.
func (f *fleet) request(node *fleetNode, service int, isCall, ofRepeat bool, done func(ok bool)) {
	f.seen[service].Requests = append(f.seen[service].Requests, f.now.Sub(f.began))
	node.accounts.Listed(f.listed(), f.now)
	inherited := node.accounts.Request(graph[service], isCall, f.now)
	f.send(node, service, 0, budget.Again{Probability: inherited}, ofRepeat, done)
}

// send brings a request to an instance, again while that is allowed. believed is what the
// node knows of its being a repeat.
func (f *fleet) send(node *fleetNode, service, sends int, believed budget.Again, ofRepeat bool, done func(ok bool)) {
	at := f.beside[service][f.random.IntN(len(f.beside[service]))]
	repeat := ofRepeat || sends > 0
	if sends > 0 && !at.accounts.Fits(believed, f.now) { // refused beside the instance
		node.accounts.Return(graph[service], f.now)
		done(false)
		return
	}
	if repeat {
		f.seen[service].Beyond = append(f.seen[service].Beyond, f.now.Sub(f.began))
		f.repeats++
	}
	again := func(failed bool) {
		if sends+1 < mostSends && node.accounts.Repeat(graph[service], f.now) {
			f.send(node, service, sends+1, budget.Again{Probability: 1, Failed: failed}, ofRepeat, done)
			return
		}
		done(false)
	}
	var ending ends
	if f.troubled() {
		ending = f.plan.Ends[service]
	}
	if f.random.Float64() < ending.Rejected {
		f.after(time.Millisecond, func() { again(false) })
		return
	}
	run, _ := at.accounts.Begin(believed, f.now)
	f.after(runTime/2, func() {
		f.call(at, service, repeat, func(ok bool) {
			f.after(runTime/2, func() {
				run.End()
				lost := f.random.Float64() < ending.Lost
				failed := !ok || f.random.Float64() < ending.Failed
				if lost || failed {
					again(!lost)
					return
				}
				done(true)
			})
		})
	})
}

// call makes the calls of a run and tells whether all of them were answered.
func (f *fleet) call(at *fleetNode, service int, repeat bool, done func(ok bool)) {
	if service+1 == len(graph) || f.random.Float64() >= f.plan.CallShare {
		done(true)
		return
	}
	open, allOK := f.plan.Calls, true
	for range f.plan.Calls {
		f.request(at, service+1, true, repeat, func(ok bool) {
			allOK = allOK && ok
			if open--; open == 0 {
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

// check reports each service whose bound was broken.
func (f *fleet) check(t interface {
	Errorf(format string, args ...any)
}) (worst float64) {
	bound := repeatjudge.Bound{Ratio: fleetBound.Ratio, Slack: fleetBound.Slack, Window: fleetBound.Window}
	for service, each := range f.seen {
		found := each.Worst(bound)
		if found.Share > 1 {
			t.Errorf("service %s: %s", graph[service], found)
		}
		worst = max(worst, found.Share)
	}
	return worst
}

// TestFleetKeepsTheBound: fleets of 13 and 300 nodes in the troubles that the incident had
// and their neighbours.
func TestFleetKeepsTheBound(t *testing.T) {
	for name, ending := range map[string][3]ends{
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
				played := playFleet(fleetPlan{
					Nodes: nodes, PerSecond: perSecond, Calls: 2, CallShare: 0.7, Ends: ending,
					Restarts: 13 * time.Second / time.Duration(nodes), Listed: 0.5, Seed: 7,
				})
				t.Logf("worst window: %.2f of the bound, %d repeats", played.check(t), played.repeats)
				qt.Check(t, played.repeats > 0, qt.IsTrue)
			})
		}
	}
	t.Run("whatever happens", func(t *testing.T) { rapid.Check(t, drawnFleetKeepsTheBound) })
}

// drawnFleetKeepsTheBound plays a plan drawn at random.
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
	for i := range plan.Ends {
		plan.Ends[i] = ends{share("rejected", 0.7), share("lost", 0.4), share("failed", 0.4)}
	}
	playFleet(plan).check(t)
}

package inbound

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// The load of the tile service: what its instances are asked for.
const (
	tileInstances, tileSlots, tileSenders = 19, 9, 90
	tileLinkRate                          = 0.93 * 10e6 / 8 // bytes per second for bodies
	minPackBytes, maxPackBytes            = 20e3, 540e3
	meanPackBytes                         = 90e3
	lookupBytes, lookupsPerSecond         = 1500, 214
	tileWarmUp, tileEnd                   = 10 * time.Second, 60 * time.Second
	tileHop                               = time.Millisecond
	tileTries                             = 4
)

type tileRoute struct {
	name                   string
	work, target, deadline time.Duration
}

var (
	packs   = tileRoute{"pack", 170 * time.Millisecond, time.Second, 4 * time.Second}
	lookups = tileRoute{"lookup", 83 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond}
)

// tileFleet replays the load in virtual time: a list of events, ordered by time.
type tileFleet struct {
	now     time.Time
	start   time.Time
	events  events
	random  *rand.Rand
	senders []*balance.Balancer
	nodes   []*tileNode
	entries []snapshot.Instance

	arrived, inTime, served, refused, ejections int

	// end is when the last request arrives. sends counts the offers of requests to instances, reports the
	// reports of links and reportBytes the bytes of their fields.
	end                         time.Duration
	sends, reports, reportBytes int
}

// tileNode is an instance with its link, which is an EgressLink in virtual time.
type tileNode struct {
	fleet            *tileFleet
	slowdown         float64
	running          int
	waiting          []func()
	work             time.Duration // of the waiting requests
	expected         int64
	linkFree         time.Time
	sent             float64 // bytes after the warm-up
	unreachableSince time.Time
	link             *responseLink
}

func (n *tileNode) Expect(bytes int64) func() {
	n.expected += bytes
	return func() { n.expected -= bytes }
}

func (n *tileNode) Owed() time.Duration {
	return max(n.linkFree.Sub(n.fleet.now), 0) + time.Duration(float64(n.expected)/tileLinkRate*float64(time.Second))
}

func (n *tileNode) Rate() float64 { return tileLinkRate }

// transmit returns when a body was sent that is queued now, and how long it is sent.
func (n *tileNode) transmit(bytes float64) (end time.Time, duration time.Duration) {
	duration = time.Duration(bytes / tileLinkRate * float64(time.Second))
	if n.linkFree.Before(n.fleet.now) {
		n.linkFree = n.fleet.now
	}
	n.linkFree = n.linkFree.Add(duration)
	if n.fleet.now.Sub(n.fleet.start) >= tileWarmUp {
		n.sent += bytes
	}
	if bytes < minPackBytes { // small messages are sent immediately
		return n.fleet.now.Add(duration), duration
	}
	return n.linkFree, duration
}

func (n *tileNode) report(execution time.Duration) *hop.Report {
	report := &hop.Report{
		Outcome: hop.Answered, Running: n.running, Waiting: len(n.waiting), Slots: tileSlots, Execution: execution,
		SlowdownPercent: int(100 * n.slowdown), Link: n.link.report(),
	}
	if report.Link.IsKnown() { // as it is transmitted
		encoded := report.Link.Encode()
		report.Link, _ = hop.DecodeLink(encoded)
		n.fleet.reports++
		n.fleet.reportBytes += len(hop.HeaderLink) + len(encoded)
	}
	return report
}

func newTileFleet(mechanisms mechanism.Set, seed uint64) *tileFleet {
	return newTileFleetOf(mechanisms, seed, tileInstances, tileSenders)
}

func newTileFleetOf(mechanisms mechanism.Set, seed uint64, instances, senders int) *tileFleet {
	start := time.Unix(1_000_000, 0)
	fleet := &tileFleet{now: start, start: start, end: tileEnd, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range senders {
		fleet.senders = append(fleet.senders, balance.New(balance.Options{
			Zone: "z", Mechanisms: mechanisms, Random: rand.New(rand.NewPCG(seed, uint64(i+2))),
		}))
	}
	for i := range instances {
		node := &tileNode{fleet: fleet, slowdown: []float64{0.7, 0.7, 1.6}[i%3]}
		node.link, _ = newResponseLink(Options{Egress: node, Mechanisms: mechanisms})
		fleet.nodes = append(fleet.nodes, node)
		name := fmt.Sprintf("i-%02d", i)
		fleet.entries = append(fleet.entries, snapshot.Instance{
			Name: name, Service: "tiles", Zone: "z", Address: name, Slots: tileSlots, State: snapshot.InstanceReady,
		})
	}
	return fleet
}

// run replays the load with the given rate of packs. The node of the last instance is not reachable from
// the given time on; zero: it always is.
func (f *tileFleet) run(packsPerSecond float64, unreachableAfter time.Duration) {
	f.arrive(packs, packsPerSecond)
	f.arrive(lookups, lookupsPerSecond*float64(len(f.nodes))/tileInstances)
	if unreachableAfter > 0 {
		f.nodes[len(f.nodes)-1].unreachableSince = f.start.Add(unreachableAfter)
	}
	for f.events.Len() > 0 {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
}

func (f *tileFleet) after(delay time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(max(delay, 0)), do})
}

func (f *tileFleet) arrive(route tileRoute, perSecond float64) {
	f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if f.now.Sub(f.start) >= f.end {
			return
		}
		request := &tileRequest{fleet: f, route: route, sender: f.senders[f.random.IntN(len(f.senders))], arrived: f.now, tried: make(map[string]bool), bytes: lookupBytes, work: 0.5 + f.random.Float64()}
		if route == packs {
			request.bytes = min(minPackBytes+f.random.ExpFloat64()*(meanPackBytes-minPackBytes), maxPackBytes)
			if f.now.Sub(f.start) >= tileWarmUp {
				f.arrived++
				request.counts = true
			}
		}
		request.try()
		f.arrive(route, perSecond)
	})
}

// tileRequest is a request with the instances that it is offered to.
type tileRequest struct {
	fleet   *tileFleet
	route   tileRoute
	sender  *balance.Balancer
	arrived time.Time
	bytes   float64
	work    float64 // as a multiple of that of the route
	tried   map[string]bool
	counts  bool
}

func (r *tileRequest) remaining() time.Duration { return r.route.deadline - r.fleet.now.Sub(r.arrived) }

// try offers the request to the next instance.
func (r *tileRequest) try() {
	choice, found := r.sender.Pick(balance.Request{
		Route: r.route.name, Target: r.route.target, Elapsed: r.fleet.now.Sub(r.arrived), Instances: r.fleet.entries,
		Avoid: func(name string) bool { return r.tried[name] }, Now: r.fleet.now,
	})
	if !found || len(r.tried) >= tileTries || r.remaining() <= 0 {
		if found {
			choice.Done(balance.Abandoned, nil, 0, r.fleet.now)
		}
		r.count(&r.fleet.refused)
		return
	}
	r.tried[choice.Instance.Name] = true
	r.fleet.sends++
	node := r.fleet.nodes[slices.IndexFunc(r.fleet.entries, func(entry snapshot.Instance) bool { return entry.Name == choice.Instance.Name })]
	if node.isUnreachable() {
		const connectTimeout = 300 * time.Millisecond
		r.fail(choice, balance.ConnectTimedOut, connectTimeout)
		return
	}
	r.fleet.after(tileHop, func() { r.offer(choice, node) })
}

func (r *tileRequest) fail(choice balance.Choice, result balance.Result, after time.Duration) {
	r.fleet.after(after, func() {
		if choice.Done(result, nil, 0, r.fleet.now) == balance.Ejected {
			r.fleet.ejections++
		}
		r.try()
	})
}

func (r *tileRequest) count(counter *int) {
	if r.counts {
		*counter++
	}
}

func (n *tileNode) isUnreachable() bool {
	return !n.unreachableSince.IsZero() && !n.fleet.now.Before(n.unreachableSince)
}

// offer lets the node decide about the request.
func (r *tileRequest) offer(choice balance.Choice, node *tileNode) {
	// The wait that the sender allows for: see allowedWait in package outbound.
	maxWait := time.Duration(0.8*float64(r.route.target)-1.5*float64(choice.ServiceTime)) - r.fleet.now.Sub(r.arrived)
	slotWait := node.work / tileSlots
	done := func() {}
	if node.link != nil {
		var retryAfter time.Duration
		done, retryAfter = node.link.admit(linkDemand{
			bytes: node.link.sizes.mean(r.route.name), slotWait: slotWait, serviceTime: choice.ServiceTime * 7 / 10,
			maxWait: maxWait, remaining: r.remaining(),
		}, true)
		if done == nil {
			report := node.report(0)
			report.Outcome, report.Reason, report.RetryAfter = hop.Refused, hop.ReasonLink, retryAfter
			r.fleet.after(tileHop, func() {
				choice.Done(balance.Busy, report, 0, r.fleet.now)
				r.try()
			})
			return
		}
	}
	work := time.Duration(float64(r.route.work) * node.slowdown * r.work)
	begin := func() {
		node.running++
		r.fleet.after(work, func() { r.end(choice, node, work, done) })
	}
	if node.running < tileSlots {
		begin()
		return
	}
	node.work += work
	node.waiting = append(node.waiting, func() { node.work -= work; begin() })
}

// end sends the response.
func (r *tileRequest) end(choice balance.Choice, node *tileNode, work time.Duration, done func()) {
	node.running--
	if len(node.waiting) > 0 {
		next := node.waiting[0]
		node.waiting = node.waiting[1:]
		next()
	}
	if node.link != nil {
		node.link.learn(r.route.name, &message.Response{Status: 200, Length: int64(r.bytes)})
	}
	report := node.report(work)
	done()
	if node.isUnreachable() {
		r.fail(choice, balance.DeliveryFailed, r.remaining())
		return
	}
	sentAt, transmission := node.transmit(r.bytes)
	report.Link = report.Link.After(transmission)
	r.fleet.after(sentAt.Add(tileHop).Sub(r.fleet.now), func() {
		choice.Done(balance.Served, report, int(r.bytes), r.fleet.now)
		r.count(&r.fleet.served)
		if r.fleet.now.Sub(r.arrived) <= r.route.target {
			r.count(&r.fleet.inTime)
		}
	})
}

// imbalance returns the load of the busiest reachable link as a multiple of their mean.
func (f *tileFleet) imbalance() float64 {
	total, busiest, count := 0.0, 0.0, 0
	for _, node := range f.nodes {
		if node.unreachableSince.IsZero() {
			total, busiest, count = total+node.sent, max(busiest, node.sent), count+1
		}
	}
	return busiest * float64(count) / total
}

// event is something that happens at a point in virtual time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(added any)    { *e = append(*e, added.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// TestPacksSpreadOverLinks replays packs for 19 instances with links of 10 Mbit/s. It guards against packs
// that queue on the links of the fastest instances while the links of others are idle.
func TestPacksSpreadOverLinks(t *testing.T) {
	for _, packsPerSecond := range []float64{125, 170} {
		for name, unreachableAfter := range map[string]time.Duration{"all links": 0, "one link cut": 15 * time.Second} {
			t.Run(fmt.Sprintf("%g packs per second/%s", packsPerSecond, name), func(t *testing.T) {
				c := qt.New(t)
				off := mechanism.All()
				off.LinkBacklog = false
				before, after := newTileFleet(off, 1), newTileFleet(mechanism.All(), 1)
				before.run(packsPerSecond, unreachableAfter)
				after.run(packsPerSecond, unreachableAfter)
				for label, fleet := range map[string]*tileFleet{"before": before, "after": after} {
					t.Logf("%s: busiest link %.2f of the mean; in time %.3f, served %.3f, refused %.3f of %d; %d ejections", label, fleet.imbalance(),
						fleet.share(fleet.inTime), fleet.share(fleet.served), fleet.share(fleet.refused), fleet.arrived, fleet.ejections)
				}
				c.Check(after.imbalance() <= 1.2, qt.IsTrue, qt.Commentf("%.2f", after.imbalance()))
				c.Check(after.inTime > before.inTime && after.arrived == before.arrived, qt.IsTrue, qt.Commentf("%d, before %d", after.inTime, before.inTime))
			})
		}
	}
}

func (f *tileFleet) share(count int) float64 { return float64(count) / float64(f.arrived) }

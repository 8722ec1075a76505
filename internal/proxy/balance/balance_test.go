package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/balance"
)

var begin = time.Unix(1_700_000_000, 0)

// later is past any slow start, ejection and load report of a test.
const later = 10 * time.Minute

// bench holds a balancer in zone centro of region south, with virtual time.
type bench struct {
	balancer  *balance.Balancer
	endpoints []membership.Endpoint
	now       time.Time
	request   balance.Request
}

func newBench(mode balance.Mode, zones ...string) *bench {
	b := &bench{now: begin, balancer: balance.New(balance.Options{
		Mode: mode, Region: "south", Zone: "centro", Source: rand.NewPCG(1, 2),
	})}
	for i, zone := range zones {
		b.endpoints = append(b.endpoints, endpoint(i, zone))
	}
	b.request = balance.Request{Service: "reservas"}
	return b
}

func endpoint(number int, zone string) membership.Endpoint {
	return membership.Endpoint{
		Node: membership.NodeID(fmt.Sprint(number)), Incarnation: 1,
		Region: "south", Zone: zone, DataAddress: fmt.Sprint(number), Slots: 10,
	}
}

func (b *bench) pick() (*balance.Choice, bool) {
	request := b.request
	request.Endpoints, request.Now = b.endpoints, b.now
	return b.balancer.Pick(request)
}

// change replaces the view, as views are immutable.
func (b *bench) change(edit func([]membership.Endpoint) []membership.Endpoint) {
	b.endpoints = edit(append([]membership.Endpoint(nil), b.endpoints...))
}

// observe picks until the instance comes up and ends that request; the others
// end without an observation.
func (b *bench) observe(t testing.TB, node string, observed balance.Observation) (ejected bool) {
	for range 10_000 {
		choice, ok := b.pick()
		if !ok {
			break
		}
		if choice.Endpoint.Node == membership.NodeID(node) {
			return choice.Done(observed, b.now)
		}
		choice.Done(balance.Cancelled, b.now)
	}
	t.Fatalf("instance %s is not picked", node)
	return false
}

// shares picks n times, each request ended before the next, and counts.
func (b *bench) shares(n int) map[membership.NodeID]int {
	counts := make(map[membership.NodeID]int)
	for range n {
		choice, ok := b.pick()
		if !ok {
			return counts
		}
		counts[choice.Endpoint.Node]++
		choice.Done(balance.Answered, b.now)
	}
	return counts
}

func TestLoadIsAvoided(t *testing.T) {
	c := qt.New(t)
	b := newBench(balance.TwoChoices, "centro", "centro", "centro", "centro")
	for range 40 { // all slots of all instances
		_, ok := b.pick()
		c.Assert(ok, qt.IsTrue)
	}
	counts := make(map[membership.NodeID]int)
	for range 20 {
		choice, _ := b.pick()
		counts[choice.Endpoint.Node]++
	}
	for node, count := range counts {
		c.Check(count < 12, qt.IsTrue, qt.Commentf("instance %s got %d of 20", node, count))
	}
}

// A reported load turns work away while it is fresh, and no longer.
func TestReportedLoad(t *testing.T) {
	for _, test := range []struct {
		name    string
		load    float64
		age     time.Duration
		avoided bool
	}{
		{"fresh", 0.9, 0, true},
		{"old", 0.9, later, false},
		{"not a number", math.NaN(), 0, false},
		{"below zero", -1, 0, false},
		{"absurd", math.Inf(1), 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(balance.TwoChoices, "centro", "centro")
			choice, _ := b.pick()
			loaded := choice.Endpoint.Node
			choice.Done(balance.Answered, b.now)
			choice.Report(test.load, b.now)
			b.now = b.now.Add(test.age)
			qt.Check(t, b.shares(100)[loaded] == 0, qt.Equals, test.avoided)
		})
	}
}

// An instance that refuses or fails at once has nothing in flight; it must not
// draw the work for that.
func TestFastRefusalsDrawNoWork(t *testing.T) {
	for _, test := range []struct {
		observed balance.Observation
		times    int
	}{
		{balance.Refused, 1},
		{balance.Failed, 3},
	} {
		c := qt.New(t)
		b := newBench(balance.TwoChoices, "centro", "centro", "centro")
		for range 3 {
			b.observe(t, "1", balance.Failed)
		}
		for range test.times { // "0" cannot be ejected any more
			c.Check(b.observe(t, "0", test.observed), qt.IsFalse)
		}
		c.Check(b.shares(100), qt.DeepEquals, map[membership.NodeID]int{"2": 100})
		b.now = b.now.Add(later)
		c.Check(b.shares(100)["0"] > 0, qt.IsTrue)
	}
}

func TestZonePreference(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight int // in the own zone
		want     map[membership.NodeID]bool
	}{
		{"room in the zone", 4, map[membership.NodeID]bool{"0": true}},
		{"zone full, room in the region", 9, map[membership.NodeID]bool{"1": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(balance.TwoChoices, "centro", "cerro", "prado")
			b.endpoints[2].Region = "north"
			b.request.PreferZone, b.request.SpillOver = true, 0.5
			for range test.inFlight {
				b.balancer.PickExactly("reservas", b.endpoints[0])
			}
			for node := range b.shares(50) {
				c.Check(test.want[node], qt.IsTrue, qt.Commentf("instance %s", node))
			}
		})
	}
}

// An instance that joins gets a tenth of a share at first and all of it in the
// end; those of the first view get theirs at once.
func TestSlowStart(t *testing.T) {
	c := qt.New(t)
	b := newBench(balance.TwoChoices, "centro", "centro", "centro")
	c.Check(b.shares(900)["2"] > 200, qt.IsTrue)
	b.now = b.now.Add(later)
	b.change(func(all []membership.Endpoint) []membership.Endpoint { return append(all, endpoint(3, "centro")) })
	early := b.shares(1000)["3"]
	c.Check(early > 0 && early < 100, qt.IsTrue, qt.Commentf("%d of 1000", early))
	b.now = b.now.Add(later)
	c.Check(b.shares(1000)["3"] > 200, qt.IsTrue)

	// A new process at the old name starts slowly too.
	b.change(func(all []membership.Endpoint) []membership.Endpoint {
		all[0].Incarnation++
		return all
	})
	again := b.shares(1000)["0"]
	c.Check(again > 0 && again < 100, qt.IsTrue, qt.Commentf("%d of 1000", again))
}

func TestEjection(t *testing.T) {
	c := qt.New(t)
	b := newBench(balance.TwoChoices, "centro", "centro", "centro", "centro")
	fail := func(node string) bool { return b.observe(t, node, balance.Failed) }
	c.Check(fail("0"), qt.IsFalse)
	c.Check(fail("0"), qt.IsFalse)
	b.observe(t, "0", balance.Answered) // failures in a row count
	c.Check(fail("0"), qt.IsFalse)
	c.Check(fail("0"), qt.IsFalse)
	c.Check(fail("0"), qt.IsTrue)
	c.Check(b.shares(200)["0"], qt.Equals, 0)

	b.now = b.now.Add(time.Second)
	c.Check(fail("0"), qt.IsTrue) // one failure is enough now, for twice the time
	b.now = b.now.Add(time.Second)
	c.Check(b.shares(200)["0"], qt.Equals, 0)
	b.now = b.now.Add(time.Second)
	c.Check(b.shares(200)["0"] > 0, qt.IsTrue)
}

func TestLeavingAndSuspectedAreLastChoices(t *testing.T) {
	c := qt.New(t)
	b := newBench(balance.TwoChoices, "centro", "centro")
	b.endpoints[0].Suspected = true
	c.Check(b.shares(100), qt.DeepEquals, map[membership.NodeID]int{"1": 100})
	b.observe(t, "1", balance.Leaving)
	c.Check(b.shares(100), qt.DeepEquals, map[membership.NodeID]int{"0": 100})
	b.observe(t, "0", balance.Leaving) // the view names them still: better than none
	c.Check(len(b.shares(100)) > 0, qt.IsTrue)
	b.now = b.now.Add(later)
	c.Check(b.shares(100), qt.DeepEquals, map[membership.NodeID]int{"1": 100})
}

// An instance that left the view and is back in it drains no longer, whatever it
// said before, also while old requests run on it.
func TestBackInTheViewIsNotLeaving(t *testing.T) {
	c := qt.New(t)
	b := newBench(balance.TwoChoices, "centro", "centro")
	for _, endpoint := range b.endpoints { // the old requests
		b.balancer.PickExactly("reservas", endpoint)
	}
	b.observe(t, "0", balance.Leaving)
	c.Check(b.shares(100), qt.DeepEquals, map[membership.NodeID]int{"1": 100})
	whole := b.endpoints
	b.change(func(all []membership.Endpoint) []membership.Endpoint { return all[1:] })
	b.shares(1)
	b.change(func([]membership.Endpoint) []membership.Endpoint { return whole })
	b.observe(t, "1", balance.Leaving)
	c.Check(b.shares(100), qt.DeepEquals, map[membership.NodeID]int{"0": 100})
}

func TestRandomIgnoresObservations(t *testing.T) {
	c := qt.New(t)
	b := newBench(balance.Random, "centro", "prado")
	for range 10 {
		c.Check(b.observe(t, "0", balance.Failed), qt.IsFalse)
	}
	counts := b.shares(1000)
	c.Check(counts["0"] > 400 && counts["1"] > 400, qt.IsTrue, qt.Commentf("%v", counts))
}

// Whatever is observed in whatever order, a service with an instance that does
// not drain is never empty, no request goes to one tried before, and at least
// half of the instances are not ejected.
func TestAServiceIsNeverEmptied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"centro", "prado"}), 1, 7).Draw(t, "zones")
		b := newBench(balance.TwoChoices, zones...)
		b.request.PreferZone = rapid.Bool().Draw(t, "prefer zone")
		ejectedUntil := make(map[membership.NodeID]time.Time)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			choice, ok := b.pick()
			if !ok {
				t.Fatalf("no instance of %d", len(zones))
			}
			observed := rapid.SampledFrom([]balance.Observation{balance.Failed, balance.Failed, balance.Refused, balance.Answered}).Draw(t, "observed")
			if choice.Done(observed, b.now) {
				ejectedUntil[choice.Endpoint.Node] = b.now.Add(time.Second) // at least
			}
			ejected := 0
			for _, until := range ejectedUntil {
				if b.now.Before(until) {
					ejected++
				}
			}
			if 2*ejected > len(zones) {
				t.Fatalf("%d of %d ejected", ejected, len(zones))
			}
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
		}
		b.request.Tried = nil
		for range zones {
			choice, ok := b.pick()
			if !ok {
				t.Fatalf("only %d of %d instances can be tried", len(b.request.Tried), len(zones))
			}
			b.request.Tried = append(b.request.Tried, balance.KeyOf(choice.Endpoint))
		}
		if _, ok := b.pick(); ok {
			t.Fatalf("an instance was tried twice")
		}
	})
}

func BenchmarkPick(b *testing.B) {
	zones := make([]string, 24)
	for i := range zones {
		zones[i] = []string{"centro", "prado", "cerro"}[i%3]
	}
	bench := newBench(balance.TwoChoices, zones...)
	bench.request.PreferZone = true
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := bench.pick()
		choice.Done(balance.Answered, bench.now)
	}
}

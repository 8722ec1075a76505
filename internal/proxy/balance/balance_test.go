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

var startTime = time.Unix(1_700_000_000, 0)

// afterExpiry exceeds the duration of slow start and of an ejection, and the validity of a load
// report.
const afterExpiry = 10 * time.Minute

// fixture is a balancer in zone centro of region south with virtual time.
type fixture struct {
	balancer  *balance.Balancer
	endpoints []membership.Endpoint
	now       time.Time
	request   balance.Request
}

func newFixture(mode balance.Mode, zones ...string) *fixture {
	b := &fixture{now: startTime, balancer: balance.New(balance.Options{
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

func (b *fixture) pick() (*balance.Choice, bool) {
	request := b.request
	request.Endpoints, request.Now = b.endpoints, b.now
	return b.balancer.Pick(request)
}

// changeView replaces the endpoints by an edited copy, because views are immutable.
func (b *fixture) changeView(edit func([]membership.Endpoint) []membership.Endpoint) {
	b.endpoints = edit(append([]membership.Endpoint(nil), b.endpoints...))
}

// observe picks until the given instance is chosen and ends that request with the
// observation. The other requests end as cancelled.
func (b *fixture) observe(t testing.TB, node string, observed balance.Observation) (ejected bool) {
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
	t.Fatalf("instance %s was never picked", node)
	return false
}

// countPicks picks n times, each request ended before the next, and returns the number
// of picks of each instance.
func (b *fixture) countPicks(n int) map[membership.NodeID]int {
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

func TestLoadedInstancesAreAvoided(t *testing.T) {
	c := qt.New(t)
	b := newFixture(balance.TwoChoices, "centro", "centro", "centro", "centro")
	for range 40 { // use all slots of all instances
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

// An instance with a high reported load is avoided, but only while the report is fresh.
func TestReportedLoad(t *testing.T) {
	for _, test := range []struct {
		name    string
		load    float64
		age     time.Duration
		avoided bool
	}{
		{"fresh", 0.9, 0, true},
		{"old", 0.9, afterExpiry, false},
		{"not a number", math.NaN(), 0, false},
		{"negative", -1, 0, false},
		{"infinite", math.Inf(1), 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(balance.TwoChoices, "centro", "centro")
			choice, _ := b.pick()
			loaded := choice.Endpoint.Node
			choice.Done(balance.Answered, b.now)
			choice.Report(test.load, b.now)
			b.now = b.now.Add(test.age)
			qt.Check(t, b.countPicks(100)[loaded] == 0, qt.Equals, test.avoided)
		})
	}
}

// An instance that refuses or fails at once has no requests in flight. It must not get
// more requests because of that.
func TestFastRefusalsDoNotAttractRequests(t *testing.T) {
	for _, test := range []struct {
		observed balance.Observation
		times    int
	}{
		{balance.Refused, 1},
		{balance.Failed, 3},
	} {
		c := qt.New(t)
		b := newFixture(balance.TwoChoices, "centro", "centro", "centro")
		for range 3 {
			b.observe(t, "1", balance.Failed)
		}
		for range test.times { // "0" cannot be ejected, as "1" already is
			c.Check(b.observe(t, "0", test.observed), qt.IsFalse)
		}
		c.Check(b.countPicks(100), qt.DeepEquals, map[membership.NodeID]int{"2": 100})
		b.now = b.now.Add(afterExpiry)
		c.Check(b.countPicks(100)["0"] > 0, qt.IsTrue)
	}
}

func TestZonePreference(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight int // in the balancer's zone
		want     map[membership.NodeID]bool
	}{
		{"room in the zone", 4, map[membership.NodeID]bool{"0": true}},
		{"zone full, room in the region", 9, map[membership.NodeID]bool{"1": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(balance.TwoChoices, "centro", "cerro", "prado")
			b.endpoints[2].Region = "north"
			b.request.PreferZone, b.request.SpillOver = true, 0.5
			for range test.inFlight {
				b.balancer.PickExactly("reservas", b.endpoints[0])
			}
			for node := range b.countPicks(50) {
				c.Check(test.want[node], qt.IsTrue, qt.Commentf("instance %s", node))
			}
		})
	}
}

// An instance that joins gets a tenth of its share at first and its full share in the
// end. Instances of the first view get their full share at once.
func TestSlowStart(t *testing.T) {
	c := qt.New(t)
	b := newFixture(balance.TwoChoices, "centro", "centro", "centro")
	c.Check(b.countPicks(900)["2"] > 200, qt.IsTrue)
	b.now = b.now.Add(afterExpiry)
	b.changeView(func(all []membership.Endpoint) []membership.Endpoint { return append(all, endpoint(3, "centro")) })
	early := b.countPicks(1000)["3"]
	c.Check(early > 0 && early < 100, qt.IsTrue, qt.Commentf("%d of 1000", early))
	b.now = b.now.Add(afterExpiry)
	c.Check(b.countPicks(1000)["3"] > 200, qt.IsTrue)

	// A new process of the same node begins a slow start too.
	b.changeView(func(all []membership.Endpoint) []membership.Endpoint {
		all[0].Incarnation++
		return all
	})
	again := b.countPicks(1000)["0"]
	c.Check(again > 0 && again < 100, qt.IsTrue, qt.Commentf("%d of 1000", again))
}

func TestEjection(t *testing.T) {
	c := qt.New(t)
	b := newFixture(balance.TwoChoices, "centro", "centro", "centro", "centro")
	fail := func(node string) bool { return b.observe(t, node, balance.Failed) }
	c.Check(fail("0"), qt.IsFalse)
	c.Check(fail("0"), qt.IsFalse)
	b.observe(t, "0", balance.Answered) // resets the count of consecutive failures
	c.Check(fail("0"), qt.IsFalse)
	c.Check(fail("0"), qt.IsFalse)
	c.Check(fail("0"), qt.IsTrue)
	c.Check(b.countPicks(200)["0"], qt.Equals, 0)

	b.now = b.now.Add(time.Second)
	c.Check(fail("0"), qt.IsTrue) // one failure is enough now, and the ejection lasts twice as long
	b.now = b.now.Add(time.Second)
	c.Check(b.countPicks(200)["0"], qt.Equals, 0)
	b.now = b.now.Add(time.Second)
	c.Check(b.countPicks(200)["0"] > 0, qt.IsTrue)
}

func TestLeavingAndSuspectedAreChosenLast(t *testing.T) {
	c := qt.New(t)
	b := newFixture(balance.TwoChoices, "centro", "centro")
	b.endpoints[0].Suspected = true
	c.Check(b.countPicks(100), qt.DeepEquals, map[membership.NodeID]int{"1": 100})
	b.observe(t, "1", balance.Leaving)
	c.Check(b.countPicks(100), qt.DeepEquals, map[membership.NodeID]int{"0": 100})
	b.observe(t, "0", balance.Leaving) // the view still has them, so they are used as a last resort
	c.Check(len(b.countPicks(100)) > 0, qt.IsTrue)
	b.now = b.now.Add(afterExpiry)
	c.Check(b.countPicks(100), qt.DeepEquals, map[membership.NodeID]int{"1": 100})
}

// An instance that left the view and came back is no longer regarded as draining, even
// if requests from before are still in flight on it.
func TestReturnToViewEndsLeaving(t *testing.T) {
	c := qt.New(t)
	b := newFixture(balance.TwoChoices, "centro", "centro")
	for _, endpoint := range b.endpoints { // requests from before
		b.balancer.PickExactly("reservas", endpoint)
	}
	b.observe(t, "0", balance.Leaving)
	c.Check(b.countPicks(100), qt.DeepEquals, map[membership.NodeID]int{"1": 100})
	whole := b.endpoints
	b.changeView(func(all []membership.Endpoint) []membership.Endpoint { return all[1:] })
	b.countPicks(1)
	b.changeView(func([]membership.Endpoint) []membership.Endpoint { return whole })
	b.observe(t, "1", balance.Leaving)
	c.Check(b.countPicks(100), qt.DeepEquals, map[membership.NodeID]int{"0": 100})
}

func TestRandomIgnoresObservations(t *testing.T) {
	c := qt.New(t)
	b := newFixture(balance.Random, "centro", "prado")
	for range 10 {
		c.Check(b.observe(t, "0", balance.Failed), qt.IsFalse)
	}
	counts := b.countPicks(1000)
	c.Check(counts["0"] > 400 && counts["1"] > 400, qt.IsTrue, qt.Commentf("%v", counts))
}

// For any sequence of failures, refusals and responses, Pick finds an instance until all
// were tried, never returns one that was tried before, and at most half of the instances
// are ejected.
func TestServiceKeepsEligibleInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"centro", "prado"}), 1, 7).Draw(t, "zones")
		b := newFixture(balance.TwoChoices, zones...)
		b.request.PreferZone = rapid.Bool().Draw(t, "prefer zone")
		ejectedUntil := make(map[membership.NodeID]time.Time)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			choice, ok := b.pick()
			if !ok {
				t.Fatalf("Pick returned none of %d instances", len(zones))
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
			t.Fatalf("Pick returned an instance that was tried before")
		}
	})
}

func BenchmarkPick(b *testing.B) {
	zones := make([]string, 24)
	for i := range zones {
		zones[i] = []string{"centro", "prado", "cerro"}[i%3]
	}
	fixture := newFixture(balance.TwoChoices, zones...)
	fixture.request.PreferZone = true
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := fixture.pick()
		choice.Done(balance.Answered, fixture.now)
	}
}

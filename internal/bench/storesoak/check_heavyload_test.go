package storesoak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// heavyTestCalls returns calls of a heavy route sent at 20 s, of which some were served.
func heavyTestCalls(route string, sent, served int) (calls []*call) {
	for i := range heavyRoutes {
		if heavyRoutes[i].name != route {
			continue
		}
		for number := range sent {
			c := &call{id: fmt.Sprint(route, number), heavy: &heavyRoutes[i], sent: at(20), ended: at(20.1), status: 503}
			if number < served {
				c.status = 200
			}
			calls = append(calls, c)
		}
	}
	return calls
}

// TestCheckHeavyLoad checks that a most urgent class that is served less often than the least urgent
// one, a missing answer and missing small answers are reported, but none of them during a fault.
func TestCheckHeavyLoad(t *testing.T) {
	missing := func(stop time.Duration) *call {
		return &call{id: "x", heavy: &heavyRoutes[0], readingStop: stop, sent: at(20), ended: at(20.1)}
	}
	var small []*call
	for number := range minClassCalls {
		small = append(small, &call{id: fmt.Sprint(number, "9"), kind: kindRead, sent: at(20), ended: at(20), status: 200 + 303*(number%10/9)})
	}
	rows := map[string]struct {
		calls []*call
		want  int
	}{
		"urgent served less":              {append(heavyTestCalls("urgent", 200, 160), heavyTestCalls("bulk", 200, 171)...), 1},
		"within the tolerance":            {append(heavyTestCalls("urgent", 200, 162), heavyTestCalls("bulk", 200, 171)...), 0},
		"bulk served less":                {append(heavyTestCalls("urgent", 200, 200), heavyTestCalls("bulk", 200, 20)...), 0},
		"too few to compare":              {append(heavyTestCalls("urgent", 199, 0), heavyTestCalls("bulk", 200, 200)...), 0},
		"no answer":                       {[]*call{missing(0)}, 1},
		"cut while its reader stopped":    {[]*call{missing(time.Second)}, 1},
		"a tenth of small ones are lost":  {small, 1},
		"small ones of runs with calls":   {heavyTestCalls("fetch", 200, 0), 0},
		"refused packs":                   {heavyTestCalls("pack", 200, 0), 0},
		"all refused for lack of a quota": {[]*call{{id: "q", key: "k", status: 429, sent: at(20), ended: at(20)}}, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newTestSoak()
			s.fleet.heavy = &heavyLoad{}
			s.checkHeavyLoad(row.calls)
			qt.Check(t, s.report.Violations, qt.HasLen, row.want)
			faulty := newTestSoak()
			faulty.fleet.heavy = &heavyLoad{}
			faulty.history.spans = []*faultSpan{{from: at(19), to: at(19.5)}}
			faulty.checkHeavyLoad(row.calls)
			qt.Check(t, faulty.report.Violations, qt.HasLen, 0)
		})
	}
}

// TestPackBodies checks that large answers have the sizes that the soak is about, and that no two calls
// have the same one: an answer that is cut or belongs to another call must not pass for the proper one.
func TestPackBodies(t *testing.T) {
	const count = 2000
	total, largest, seen := 0, 0, make(map[string]bool)
	for number := range count {
		body := bodyOf(fmt.Sprintf("pack-%06d%s", number, packSuffix))
		total, largest = total+len(body), max(largest, len(body))
		seen[body] = true
	}
	qt.Check(t, seen, qt.HasLen, count)
	qt.Check(t, total/count > 80_000 && total/count < 100_000, qt.IsTrue, qt.Commentf("mean %d", total/count))
	qt.Check(t, largest > 400_000 && largest <= mostPackBytes, qt.IsTrue, qt.Commentf("largest %d", largest))
}

// TestHeavyLoadIsDrawnBySeed checks that the same seed gives the same links, overloads, slow periods and
// calls, so that a failure can be replayed.
func TestHeavyLoadIsDrawnBySeed(t *testing.T) {
	describe := func(seed uint64) string {
		heavy := newHeavyLoad(Options{Seed: seed, Machines: 12, HeavyRate: 1})
		heavy.began = at(0)
		text := fmt.Sprint(heavy.knownLinks)
		for second := range 60 {
			now := at(float64(second))
			text += fmt.Sprint(" ", heavy.loadAt(now), heavy.isSlow(second%12, now))
		}
		return text
	}
	qt.Check(t, describe(1), qt.Equals, describe(1))
	qt.Check(t, describe(1), qt.Not(qt.Equals), describe(2))
	qt.Check(t, newHeavyLoad(Options{Seed: 1, Machines: 12}), qt.IsNil)
}

// TestHeavyLoadShares checks that slow periods and routes occur as often as intended, and that every
// second period is an overload.
func TestHeavyLoadShares(t *testing.T) {
	const draws = 10_000
	heavy, slow := &heavyLoad{seed: 1, began: at(0)}, 0
	for period := range draws {
		if heavy.isSlow(period%12, at(0).Add(time.Duration(period)*slowPeriod)) {
			slow++
		}
	}
	qt.Check(t, slow > 1300 && slow < 1700, qt.IsTrue, qt.Commentf("%d of %d are slow", slow, draws))
	random, packs := rand.New(rand.NewPCG(1, 1)), 0
	for range draws {
		if drawHeavyRoute(random).name == routePack {
			packs++
		}
	}
	qt.Check(t, packs > 2300 && packs < 2700, qt.IsTrue, qt.Commentf("%d of %d are packs", packs, draws))
	qt.Check(t, heavy.loadAt(at(0)), qt.Equals, 1.0)
	overload := heavy.loadAt(at(0).Add(overloadPeriod))
	qt.Check(t, overload >= leastOverload && overload <= mostOverload, qt.IsTrue)
	qt.Check(t, heavy.statedLoad(6, heavySlots, slowPercent), qt.Equals, "4,2,4,250")
}

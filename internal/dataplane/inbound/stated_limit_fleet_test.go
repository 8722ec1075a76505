package inbound

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
)

// statedLimits are the limits of the tests, in requests per second.
var statedLimits = []float64{0, 0.1, 1, 4.2, 17.7, 100, 1000}

// demandFor returns a load, in requests per second, well above a limit.
func demandFor(limit float64) float64 { return max(2.5*limit, 40) }

// runDisturbed states a limit 3 s after the start of a fleet that restarts, freezes and is cut, and
// returns the worst share of the bound.
func runDisturbed(seed uint64, senders int, limit float64, way startWay) float64 {
	m := newFleetModel(seed, senders, way)
	m.load(demandFor(limit))
	m.run(3 * time.Second)
	m.state(statement.Limit{Stated: true, PerSecond: limit})
	statedAt := m.now
	m.disturb()
	m.run(23 * time.Second)
	return m.worstShare(statedAt)
}

// TestStatedLimitHoldsInFleets checks that an instance which states a limit gets at most 0.9 of what is
// allowed in any 4 s, at all sizes of the fleet, while nodes restart, freeze and are cut off. A node that
// forgets the limit with its process sends everything until the next answer, at each restart.
func TestStatedLimitHoldsInFleets(t *testing.T) {
	const target = 0.9
	for _, senders := range []int{13, 80, 300, 1000} {
		t.Run(fmt.Sprint(senders, " senders"), func(t *testing.T) {
			for _, limit := range statedLimits {
				worst := 0.0
				for seed := range uint64(4) {
					worst = max(worst, runDisturbed(seed, senders, limit, heardBySenders))
				}
				t.Logf("limit %v: %.2f of the bound", limit, worst)
				qt.Check(t, worst <= target, qt.IsTrue, qt.Commentf("limit %v: %.2f of the bound", limit, worst))
			}
		})
	}
}

// TestStatedLimitOfARestartedNode compares the ways in which a node that has just started treats requests
// before the first answer. Without any knowledge the bound breaks; sending one request at a time keeps it,
// but holds requests back at each start, also where no instance states a limit.
func TestStatedLimitOfARestartedNode(t *testing.T) {
	c := qt.New(t)
	const senders, limit, starts = 80, 4.2, 20
	worst, heldBack := make(map[startWay]float64), make(map[startWay]int)
	for _, way := range []startWay{heardBySenders, oneAtATime, knowsNothing} {
		for seed := range uint64(6) {
			worst[way] = max(worst[way], runDisturbed(seed, senders, limit, way))
		}
		m := newFleetModel(1, senders, way)
		m.load(300)
		for start := range starts {
			m.run(time.Duration(start+1) * time.Second)
			m.startNode()
		}
		heldBack[way] = m.heldBack
		t.Logf("%s: %.2f of the bound; %d requests held back in %d starts without a limit", way, worst[way], heldBack[way], starts)
	}
	c.Check(worst[heardBySenders] <= 0.9, qt.IsTrue)
	c.Check(worst[knowsNothing] > 1, qt.IsTrue)
	c.Check(heldBack[heardBySenders], qt.Equals, 0)
	c.Check(heldBack[oneAtATime] > 0, qt.IsTrue)
}

// BenchmarkStatements is the cost that statements add to a request to an instance that states nothing.
func BenchmarkStatements(b *testing.B) {
	stated := newStatedLimit(statement.NewTracker(), time.Now())
	rates := rateLimits{cold: ratelimit.NewLimit(time.Now()), stated: stated}
	names := message.Names{Limit: "Server-Limit", Leaving: "Server-Leaving"}
	header := http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"5"}}
	for b.Loop() {
		now := time.Now()
		stated.statements.IsLeaving(modelProcess)
		stated.assume(modelProcess, statement.Limit{}, now)
		rates.Begin(now)
		stated.observe(modelProcess, statement.Decode(names, header), now, now)
	}
}

// TestStatedLimitIsUsed checks that at least 0.9 of a limit is used while more is asked for, also where
// answers take long.
func TestStatedLimitIsUsed(t *testing.T) {
	for _, longestWork := range []time.Duration{60 * time.Millisecond, 3 * time.Second} {
		for _, limit := range []float64{1, 4.2, 17.7, 100, 1000} {
			m := newFleetModel(7, 80, heardBySenders)
			m.longestWork = longestWork
			m.load(max(2.5*limit, 200))
			m.run(3 * time.Second)
			m.state(statement.Limit{Stated: true, PerSecond: limit})
			m.run(15 * time.Second)
			m.granted = 0
			m.run(35 * time.Second)
			used := float64(m.granted) / (20 * limit)
			t.Logf("work up to %s, limit %v: %.2f used", longestWork, limit, used)
			qt.Check(t, used >= 0.9 && used <= 1.05, qt.IsTrue)
		}
	}
}

// TestStatedLimitChanges checks the bound while the limit changes all the time, up, down and to none.
func TestStatedLimitChanges(t *testing.T) {
	for seed := range uint64(60) {
		m := newFleetModel(seed, 80, heardBySenders)
		m.load(400)
		m.run(3 * time.Second)
		m.state(statement.Limit{Stated: true, PerSecond: 20})
		statedAt := m.now
		m.disturb()
		var change func()
		change = func() {
			m.state(statement.Limit{Stated: true, PerSecond: []float64{2, 20, 200}[m.random.IntN(3)]})
			m.after(m.between(100*time.Millisecond, 3*time.Second), change)
		}
		m.after(time.Second, change)
		m.run(30 * time.Second)
		share := m.worstShare(statedAt)
		qt.Check(t, share <= 1, qt.IsTrue, qt.Commentf("seed %d: %.2f of the bound", seed, share))
	}
}

// TestLimitFallsWhileRequestsAreInProgress checks the bound when a limit falls, to a tenth and to zero, and the
// answers that tell it take long: what starts until then, and after that, must not add up to more.
func TestLimitFallsWhileRequestsAreInProgress(t *testing.T) {
	for _, longestWork := range []time.Duration{60 * time.Millisecond, 400 * time.Millisecond} {
		for _, row := range []struct{ before, after float64 }{{5, 0}, {5, 0.5}, {20, 2}, {60, 0}} {
			worst := 0.0
			for seed := range uint64(100) {
				m := newFleetModel(seed, 12, heardBySenders)
				m.longestWork = longestWork
				m.load(60)
				m.state(statement.Limit{Stated: true, PerSecond: row.before})
				statedAt := m.now
				m.run(6*time.Second + m.between(0, time.Second))
				m.state(statement.Limit{Stated: true, PerSecond: row.after})
				m.run(15 * time.Second)
				worst = max(worst, m.worstShare(statedAt))
			}
			t.Logf("work up to %s, %v to %v a second: %.2f of the bound", longestWork, row.before, row.after, worst)
			qt.Check(t, worst <= 0.9, qt.IsTrue, qt.Commentf("work up to %s, %v to %v a second: %.2f of the bound", longestWork, row.before, row.after, worst))
		}
	}
}

// TestLimitThatChangesWithEachAnswer checks that at least 0.9 of the lower one is used where an instance states
// two limits in turn, and that the bound holds.
func TestLimitThatChangesWithEachAnswer(t *testing.T) {
	const lower, higher, seconds = 10, 20, 20
	m := newFleetModel(3, 80, heardBySenders)
	m.load(200)
	m.state(statement.Limit{Stated: true, PerSecond: higher})
	statedAt := m.now
	var change func()
	change = func() {
		m.state(statement.Limit{Stated: true, PerSecond: lower + higher - m.limit.PerSecond})
		m.after(30*time.Millisecond, change)
	}
	m.after(0, change)
	m.run(4 * time.Second)
	m.granted = 0
	m.run((4 + seconds) * time.Second)
	t.Logf("%d requests in %d s, %.2f of the bound", m.granted, seconds, m.worstShare(statedAt))
	qt.Check(t, m.granted >= 0.9*lower*seconds, qt.IsTrue)
	qt.Check(t, m.worstShare(statedAt) <= 0.9, qt.IsTrue)
}

// TestUsedAgainAfterTheLimitEnded checks that an instance whose limit has ended is found out at the next
// request that its limit lets through.
func TestUsedAgainAfterTheLimitEnded(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 1, 4.2, 100} {
		for seed := range uint64(10) {
			m := newFleetModel(seed, 80, heardBySenders)
			m.load(200)
			m.run(time.Second)
			m.state(statement.Limit{Stated: true, PerSecond: limit})
			m.run(10*time.Second + m.between(0, time.Second))
			m.state(statement.Limit{})
			ended := m.now
			for !m.node.stated.answered || m.node.stated.limit.Stated {
				m.run(m.now.Sub(modelStart) + 10*time.Millisecond)
			}
			took := m.now.Sub(ended)
			allowed := time.Duration(float64(time.Second)/max(limit, probeRate)) + 150*time.Millisecond
			qt.Check(t, took <= allowed, qt.IsTrue, qt.Commentf("limit %v, seed %d: found out after %s, allowed %s", limit, seed, took, allowed))
		}
	}
}

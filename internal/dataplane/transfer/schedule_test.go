package transfer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testLink      = 10e6 / 8 // bytes per second
	meanPackBytes = 90_000
	maxPackBytes  = 540_000
	lookupBytes   = 1500
	// lookupsPerSecond is the share of one of 19 machines in 214 per second.
	lookupsPerSecond = 11.3
	// packTime is the part of a pack's target (1 s) that its work leaves, and packDeadline is when the
	// callers leave.
	packTime     = 800 * time.Millisecond
	packDeadline = 3800 * time.Millisecond
)

var testStart = time.Unix(1000, 0)

// pack is a large response, sent is when the link has transmitted it.
type pack struct {
	arrived, sent time.Time
	bytes         int
	order         Order
}

// newReplay returns the load of one link: packs, one in ten of a lower priority, and the times of lookups.
func newReplay(seed uint64, load float64, duration time.Duration) (packs []*pack, lookups []time.Time) {
	const scale = 89_000 // gives the mean after the cuts
	random := rand.New(rand.NewPCG(seed, 0))
	times := func(perSecond float64) (at []time.Time) {
		for next := testStart; next.Sub(testStart) < duration; at = append(at, next) {
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		return at
	}
	for _, at := range times(load * testLink / meanPackBytes) {
		created := &pack{arrived: at, bytes: min(max(int(random.ExpFloat64()*scale), MinQueuedBytes), maxPackBytes)}
		created.order = Order{Priority: 1, Due: at.Add(packTime)}
		if random.IntN(10) == 0 {
			created.order.Priority = 2
		}
		packs = append(packs, created)
	}
	return packs, times(lookupsPerSecond)
}

// run sends the packs over a link that transmits in the order of the writes. It returns how long
// each lookup waited until its transmission began.
func (s *schedule) run(packs []*pack, lookups []time.Time) (waits []time.Duration) {
	owners := make(map[*body]*pack)
	now, link := testStart, testStart // link is when all that was written is transmitted
	write := func(bytes int) (wait time.Duration) {
		wait = max(link.Sub(now), 0)
		link = now.Add(wait + transmissionTime(bytes, testLink))
		return wait
	}
	for {
		for ; len(lookups) > 0 && !lookups[0].After(now); lookups = lookups[1:] {
			waits = append(waits, write(lookupBytes))
			s.charge(lookupBytes, now)
		}
		for ; len(packs) > 0 && !packs[0].arrived.After(now); packs = packs[1:] {
			owners[s.add(packs[0].bytes, packs[0].order, now)] = packs[0]
		}
		for _, each := range slices.Clone(s.bodies) {
			if now.Sub(owners[each].arrived) > packDeadline {
				s.remove(each, now)
			}
		}
		granted, bytes, again := s.next(now)
		switch {
		case granted != nil && granted.remaining > 0:
			write(bytes)
			s.request(granted, now)
			continue
		case granted != nil:
			write(bytes)
			owners[granted].sent = link
			s.remove(granted, now)
			continue
		}
		if len(packs) > 0 && (again.IsZero() || packs[0].arrived.Before(again)) {
			again = packs[0].arrived
		}
		if len(lookups) > 0 && (again.IsZero() || lookups[0].Before(again)) {
			again = lookups[0]
		}
		if again.IsZero() {
			return waits
		}
		now = again
	}
}

// outcome has the shares of packs that were sent, and in time, and how long lookups waited.
type outcome struct {
	sent, inTime           float64
	median                 time.Duration // of the packs that were sent
	lookupMedian, lookup99 time.Duration
}

func newOutcome(packs []*pack, waits []time.Duration) outcome {
	var took []time.Duration
	inTime := 0.0
	for _, each := range packs {
		if each.sent.IsZero() {
			continue
		}
		took = append(took, each.sent.Sub(each.arrived))
		if !each.sent.After(each.order.Due) {
			inTime++
		}
	}
	slices.Sort(took)
	slices.Sort(waits)
	count := float64(len(packs))
	return outcome{
		sent: float64(len(took)) / count, inTime: inTime / count, median: took[len(took)/2],
		lookupMedian: waits[len(waits)/2], lookup99: waits[len(waits)*99/100],
	}
}

func (o outcome) String() string {
	millis := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("sent %.3f, in time %.3f, median %.0f ms; lookups wait %.1f ms at the median, %.1f ms at p99",
		o.sent, o.inTime, millis(o.median), millis(o.lookupMedian), millis(o.lookup99))
}

// pickDueOnly is pickDue without regard to whether a body can still be in time.
func pickDueOnly(candidates []*body, rate float64, _ time.Time) *body {
	return slices.MinFunc(candidates, func(a, b *body) int {
		if a.order.Priority != b.order.Priority {
			return a.order.Priority - b.order.Priority
		}
		return a.rank(rate).Compare(b.rank(rate))
	})
}

// TestOrdersOfPacks replays the packs and lookups of one link and compares the orders. It guards
// against small messages that wait behind packs, and against an order that serves less than the
// others.
func TestOrdersOfPacks(t *testing.T) {
	rows := []struct {
		name string
		pick picker
	}{{"due, late ones last", pickDue}, {"due", pickDueOnly}, {"round robin", pickLongestWaiting}}
	for _, load := range []float64{0.6, 0.9, 1.1} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("load %.1f seed %d", load, seed), func(t *testing.T) {
				c := qt.New(t)
				var outcomes []outcome
				for _, row := range rows {
					packs, lookups := newReplay(seed, load, 2*time.Minute)
					tested := newSchedule(bodyShare * testLink)
					tested.pick = row.pick
					got := newOutcome(packs, tested.run(packs, lookups))
					c.Logf("%-20s %s", row.name, got)
					c.Check(got.lookupMedian <= 5*time.Millisecond, qt.IsTrue)
					c.Check(got.lookup99 <= 50*time.Millisecond, qt.IsTrue)
					outcomes = append(outcomes, got)
				}
				const tolerance = 0.01
				for _, other := range outcomes[1:] {
					c.Check(outcomes[0].inTime >= other.inTime, qt.IsTrue)
					c.Check(outcomes[0].sent >= other.sent-tolerance, qt.IsTrue)
				}
			})
		}
	}
}

// TestNoBodyStarves guards against a body of low priority that is not sent while those of a higher
// one use the whole link.
func TestNoBodyStarves(t *testing.T) {
	c := qt.New(t)
	tested, now := newSchedule(testLink), testStart
	low := tested.add(10*chunkBytes, Order{Priority: 5}, now)
	const urgentBodies = 4
	for range urgentBodies {
		tested.add(1<<30, Order{Priority: 0}, now)
	}
	const maxGrants = 10 * (urgentBodies + 1) * fairInterval
	for grants := 0; low.remaining > 0; grants++ {
		c.Assert(grants < maxGrants, qt.IsTrue, qt.Commentf("%d bytes are left", low.remaining))
		granted, _, again := tested.next(now)
		if granted == nil {
			now = again
			granted, _, _ = tested.next(now)
		}
		tested.request(granted, now)
	}
}

// TestLateWakeUpsKeepTheRate guards against a rate that falls because a busy machine runs the
// schedule late, by more than the time of a chunk on a fast link.
func TestLateWakeUpsKeepTheRate(t *testing.T) {
	rows := map[string]struct {
		rate     int
		lateness time.Duration
	}{
		"10 Mbit/s":  {testLink, 12 * time.Millisecond},
		"200 Mbit/s": {20 * testLink, 3 * time.Millisecond},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tested, now := newSchedule(float64(row.rate)), testStart
			sending := tested.add(row.rate, Order{}, now)
			for sending.remaining > 0 {
				granted, _, again := tested.next(now)
				if granted == nil {
					now = again.Add(row.lateness)
					continue
				}
				tested.request(granted, now)
			}
			c.Check(now.Sub(testStart) < time.Second+row.lateness, qt.IsTrue, qt.Commentf("%s", now.Sub(testStart)))
		})
	}
}

// TestBlockedWriteEarnsNoBurst guards against chunks that are sent in a burst after a write was
// blocked: small messages would wait behind them.
func TestBlockedWriteEarnsNoBurst(t *testing.T) {
	c := qt.New(t)
	tested, now := newSchedule(testLink), testStart
	blocked := tested.add(10*chunkBytes, Order{}, now)
	for range 2 {
		granted, _, _ := tested.next(now)
		c.Assert(granted, qt.Equals, blocked)
		now = now.Add(time.Second)
		tested.request(blocked, now)
	}
	granted, _, _ := tested.next(now)
	c.Assert(granted, qt.Equals, blocked)
	tested.request(blocked, now)
	_, _, again := tested.next(now)
	c.Check(again.Sub(now), qt.Equals, transmissionTime(chunkBytes, testLink))
}

// TestSmallMessagesLeaveRoom guards against large bodies that are stopped by small messages beyond
// the rate of the link.
func TestSmallMessagesLeaveRoom(t *testing.T) {
	c := qt.New(t)
	tested := newSchedule(testLink)
	tested.charge(100*testLink, testStart)
	tested.add(MinQueuedBytes, Order{}, testStart)
	_, _, again := tested.next(testStart)
	c.Check(again.Sub(testStart), qt.Equals, maxSmallDebt)
}

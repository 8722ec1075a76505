package instanceload_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/instanceload"
)

var epoch = time.Unix(1000, 0)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

// TestNewestLoad checks which of two answers counts, and for how long.
func TestNewestLoad(t *testing.T) {
	const first, second = 100, 250
	for name, row := range map[string]struct{ sent, received, now, want int }{
		"sent and arrived later":           {10, 30, 30, second},
		"sent earlier, overtaken":          {-5, 22, 22, first},
		"sent earlier, arrived much after": {-200, 90, 90, second}, // a long request
		"still fresh":                      {10, 30, 330, second},
		"too old":                          {10, 30, 331, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var record instanceload.Record
			qt.Check(t, record.SlowdownPercent(at(0)), qt.Equals, 0)
			record.Observe(instanceload.Load{Slots: 9, SlowdownPercent: first}, at(0), at(20))
			record.Observe(instanceload.Load{Slots: 9, SlowdownPercent: second}, at(row.sent), at(row.received))
			qt.Check(t, record.SlowdownPercent(at(row.now)), qt.Equals, row.want)
			qt.Check(t, record.StatesSlowdown(), qt.IsTrue)
		})
	}
}

// TestLoadWithoutSlowdown checks that an instance that stops stating its slowdown is treated like one that
// never did.
func TestLoadWithoutSlowdown(t *testing.T) {
	c := qt.New(t)
	var record instanceload.Record
	c.Check(record.StatesSlowdown(), qt.IsFalse)
	record.Observe(instanceload.Load{Slots: 9, SlowdownPercent: 250}, at(0), at(20))
	record.Observe(instanceload.Load{Slots: 9}, at(30), at(40))
	c.Check(record.StatesSlowdown(), qt.IsFalse)
	c.Check(record.SlowdownPercent(at(41)), qt.Equals, 0)
}

// answer is an answer that states how long work took when it was made.
type answer struct {
	sent, made, received time.Time
	percent              int
}

// overtakingAnswers returns the answers of an instance that is slow 15 percent of the time, for 0.6 s at a
// time, in the order of their arrival. One in ten is delayed by up to 40 ms, so that others overtake it.
func overtakingAnswers(random *rand.Rand) (answers []answer, percentAt func(time.Time) int) {
	const (
		slow, period  = 600 * time.Millisecond, 4 * time.Second
		count, perSec = 20_000, 60.0
	)
	percentAt = func(now time.Time) int {
		if now.Sub(epoch)%period < slow {
			return 250
		}
		return 100
	}
	made := epoch
	for range count {
		made = made.Add(time.Duration(random.ExpFloat64() / perSec * float64(time.Second)))
		work := time.Duration(20+random.ExpFloat64()*80) * time.Millisecond
		flight := 200 * time.Microsecond
		if random.IntN(10) == 0 {
			flight += time.Duration(random.IntN(40)) * time.Millisecond
		}
		answers = append(answers, answer{made.Add(-work), made, made.Add(flight), percentAt(made)})
	}
	slices.SortFunc(answers, func(a, b answer) int { return a.received.Compare(b.received) })
	return answers, percentAt
}

// TestOvertakingAnswers replays answers that overtake each other. It guards against a slowdown that flips back
// because an older answer arrives later, and against long requests whose answers never count.
func TestOvertakingAnswers(t *testing.T) {
	c := qt.New(t)
	answers, percentAt := overtakingAnswers(rand.New(rand.NewPCG(1, 2)))
	var record instanceload.Record
	var byArrival, bySent int
	var newestSent time.Time
	var wrong, wrongByArrival, wrongBySent int
	for i, each := range answers[:len(answers)-1] {
		record.Observe(instanceload.Load{Slots: 9, SlowdownPercent: each.percent}, each.sent, each.received)
		byArrival = each.percent
		if each.sent.After(newestSent) {
			newestSent, bySent = each.sent, each.percent
		}
		until := answers[i+1].received // what is known until the next answer, looked at right before it
		truth := percentAt(until.Add(-time.Nanosecond))
		wrong += count(record.SlowdownPercent(until) != truth)
		wrongByArrival += count(byArrival != truth)
		wrongBySent += count(bySent != truth)
	}
	c.Logf("wrong before the next answer, of %d: record %d, by arrival %d, by the time sent %d", len(answers), wrong, wrongByArrival, wrongBySent)
	c.Check(wrong <= wrongByArrival, qt.IsTrue)
	c.Check(wrong <= wrongBySent, qt.IsTrue)
	c.Check(wrong < len(answers)/50, qt.IsTrue)
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

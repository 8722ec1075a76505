package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
)

var options = budget.Options{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// spend counts the repeats that a node may make at a moment.
func spend(b *budget.Budget, now time.Time, nodes int) (repeats int) {
	for b.Spend(now, nodes) {
		repeats++
	}
	return repeats
}

// TestNodesTogetherStayBelow: whatever share of the requests each node has, all of
// them together spend no more than the fleet may.
func TestNodesTogetherStayBelow(t *testing.T) {
	now := time.Now()
	requests, repeats := 0, 0
	for node := range 12 {
		b := budget.New(options)
		for range node * 20 {
			b.Request(now)
			requests++
		}
		repeats += spend(b, now, 12)
	}
	allowed := options.Ratio*float64(requests) + options.Slack
	qt.Check(t, float64(repeats) <= allowed, qt.IsTrue)
	qt.Check(t, repeats > 0, qt.IsTrue)
}

func TestWindowForgets(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b := budget.New(options)
	for range 100 {
		b.Request(now)
	}
	first := spend(b, now, 12)
	c.Check(first > 0, qt.IsTrue)
	c.Check(spend(b, now.Add(5*time.Second), 12), qt.Equals, 0)
	c.Check(spend(b, now.Add(time.Hour), 12), qt.Equals, int(budget.Share*options.Slack/12))
}

func TestSetOptions(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b := budget.New(budget.Options{Ratio: 0, Slack: 0, Window: time.Second})
	c.Check(spend(b, now, 1), qt.Equals, 0)
	b.SetOptions(budget.Options{Ratio: 0, Slack: 10, Window: time.Second})
	c.Check(spend(b, now, 1), qt.Equals, int(budget.Share*10))
}

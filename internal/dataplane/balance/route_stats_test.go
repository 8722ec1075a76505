package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestFractionWithin: the share of requests that take no longer than a limit follows the
// measured distribution, scaled to the expected service time.
func TestFractionWithin(t *testing.T) {
	c := qt.New(t)
	route := newRouteStats()
	for i := range 2000 {
		execution := 100 * time.Millisecond
		if i%10 == 0 {
			execution = 400 * time.Millisecond
		}
		route.recordServiceTime(execution, 1)
	}
	c.Check(route.fractionWithin(60*time.Millisecond, route.meanServiceTime) < 0.1, qt.IsTrue)
	c.Check(route.fractionWithin(250*time.Millisecond, route.meanServiceTime) > 0.85, qt.IsTrue)
	c.Check(route.fractionWithin(250*time.Millisecond, route.meanServiceTime) < 0.95, qt.IsTrue)
	c.Check(route.fractionWithin(700*time.Millisecond, route.meanServiceTime) > 0.97, qt.IsTrue)
	c.Check(route.fractionWithin(250*time.Millisecond, 4*route.meanServiceTime) < 0.1, qt.IsTrue) // a slow instance
	c.Check(route.fractionWithin(0, route.meanServiceTime), qt.Equals, 0.0)
}

// TestFractionWithinIsAProbability: it does not decrease as the limit grows, and stays
// between 0 and 1.
func TestFractionWithinIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := newRouteStats()
		for _, millis := range rapid.SliceOfN(rapid.IntRange(0, 100_000), 0, 100).Draw(t, "measured") {
			route.recordServiceTime(time.Duration(millis)*time.Millisecond, rapid.Float64Range(minSlowdown, maxSlowdown).Draw(t, "speed"))
		}
		service := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "service")) * time.Millisecond
		last := 0.0
		for limit := time.Millisecond; limit < time.Hour; limit *= 2 {
			share := route.fractionWithin(limit, service)
			if share < last || share > 1.000001 {
				t.Fatalf("fraction within %s: %f, but %f for half that limit", limit, share, last)
			}
			last = share
		}
	})
}

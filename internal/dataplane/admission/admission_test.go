package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
)

const ms = time.Millisecond

// TestDecide guards against requests that are rejected while the slots can still serve them, and against
// requests that wait although later ones will take all slots.
func TestDecide(t *testing.T) {
	free := admission.Backlog{Slots: 6}
	someWork := admission.Backlog{Slots: 6, Ahead: 1200 * ms}                          // 200 ms
	someLeft := admission.Backlog{Slots: 6, Ahead: 1200 * ms, Overtaking: 5}           // 1.2 s
	nothingLeft := admission.Backlog{Slots: 6, Ahead: 1200 * ms, Overtaking: 6}        // never
	all := admission.Backlog{Slots: 6, Ahead: 10 * time.Millisecond, Overtaking: 5.99} // as good as never
	for name, row := range map[string]struct {
		arrival admission.Arrival
		want    admission.Decision
	}{
		"free slot":                        {admission.Arrival{InTime: free, MayWait: 0, Left: time.Second, Late: free}, admission.Wait},
		"in time":                          {admission.Arrival{InTime: someWork, MayWait: 250 * ms, Left: time.Second, Late: nothingLeft}, admission.Wait},
		"late, slots left":                 {admission.Arrival{InTime: someWork, MayWait: 100 * ms, Left: 2 * time.Second, Late: someLeft}, admission.WaitLate},
		"late, just within its time":       {admission.Arrival{InTime: someWork, MayWait: 100 * ms, Left: 1300 * ms, Late: someLeft}, admission.Reject},
		"late, another instance may do":    {admission.Arrival{InTime: someWork, MayWait: 100 * ms, Left: 2 * time.Second, Late: someLeft, Elsewhere: true}, admission.Reject},
		"late, no slots left":              {admission.Arrival{InTime: someWork, MayWait: 100 * ms, Left: time.Hour, Late: nothingLeft}, admission.Reject},
		"late, hardly any slots left":      {admission.Arrival{InTime: someWork, MayWait: 100 * ms, Left: time.Hour, Late: all}, admission.Reject},
		"can only be late, free slot":      {admission.Arrival{InTime: free, MayWait: -1, Left: time.Second, Late: free}, admission.WaitLate},
		"late, free slot, others may do":   {admission.Arrival{InTime: free, MayWait: -1, Left: time.Second, Late: free, Elsewhere: true}, admission.WaitLate},
		"in time, but overtaken all along": {admission.Arrival{InTime: nothingLeft, MayWait: 250 * ms, Left: time.Second, Late: nothingLeft}, admission.Reject},
		"deadline before the due time":     {admission.Arrival{InTime: someWork, MayWait: time.Second, Left: 100 * ms, Late: someWork}, admission.Reject},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, row.arrival.Decide(), qt.Equals, row.want)
		})
	}
}

// TestRetryIn: a rejected caller is told a time within its own, and the whole of it if no capacity is in sight.
func TestRetryIn(t *testing.T) {
	c := qt.New(t)
	busy := admission.Backlog{Slots: 2, Ahead: time.Second}
	c.Check(admission.Arrival{InTime: busy, MayWait: 200 * ms, Left: time.Second, Late: busy}.RetryIn(), qt.Equals, 300*ms)
	full := admission.Backlog{Slots: 2, Ahead: time.Second, Overtaking: 2}
	c.Check(admission.Arrival{InTime: busy, MayWait: 200 * ms, Left: time.Second, Late: full}.RetryIn(), qt.Equals, time.Second)
	rapid.Check(t, func(t *rapid.T) {
		backlog := func(name string) admission.Backlog {
			return admission.Backlog{
				Slots: rapid.IntRange(1, 50).Draw(t, name), Ahead: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name)),
				Overtaking: rapid.Float64Range(0, 60).Draw(t, name),
			}
		}
		arrival := admission.Arrival{
			InTime: backlog("in time"), Late: backlog("late"), MayWait: time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "may wait")),
			Left: time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "left")),
		}
		if in := arrival.RetryIn(); in < 0 || in > arrival.Left {
			t.Fatalf("retry in %v of %v", in, arrival.Left)
		}
		if arrival.Decide() == admission.WaitLate && !arrival.Late.Keeps(arrival.Left) {
			t.Fatalf("a request begins to wait that would be rejected at once: %+v", arrival)
		}
	})
}

// TestGrants: the slots that other requests take are those granted to more urgent classes, as measured by how
// long slots are held, and after an overload begins they are taken to return to what is usual.
func TestGrants(t *testing.T) {
	c := qt.New(t)
	grants, now := admission.NewGrants(), time.Unix(1000, 0)
	full, late := admission.Class{Priority: 1}, admission.Class{Priority: 1, Value: 2}
	c.Check(grants.Known(90*ms, now), qt.IsFalse)
	play := func(class admission.Class, slots float64, duration time.Duration) {
		const step = 10 * ms
		for end := now.Add(duration); now.Before(end); now = now.Add(step) {
			grants.Granted(class, time.Duration(slots*float64(step)/2), now)
			grants.Released(100*ms, 200*ms) // twice as long as expected
		}
	}
	near := func(got, want float64) {
		c.Check(got > want-0.3 && got < want+0.3, qt.IsTrue, qt.Commentf("%v, want %v", got, want))
	}
	play(full, 4, time.Minute)
	c.Check(grants.Known(90*ms, now), qt.IsTrue)
	near(grants.Stretch(), 2)
	near(grants.Recent(late, now), 4)
	near(grants.Recent(full, now), 0)
	near(grants.Recent(admission.Class{Priority: 0, Value: 2}, now), 0)
	near(grants.Recent(admission.Class{Priority: 2}, now), 4)
	play(full, 6, 3*time.Second)
	near(grants.Recent(late, now), 6)
	near(grants.Overtaking(late, now), 4.2)
	play(full, 1, 3*time.Second)
	near(grants.Overtaking(late, now), 1)
	c.Check(grants.Known(90*ms, now.Add(2*time.Second)), qt.IsFalse)
}

// TestServices guards against callers that wait while one full instance after the other is asked.
func TestServices(t *testing.T) {
	c := qt.New(t)
	services, now := admission.NewServices(), time.Unix(1000, 0)
	c.Check(services.IsFull("s", 1, now), qt.IsFalse)
	for range 3 {
		services.Reported("s", 1, true, now)
	}
	c.Check(services.IsFull("s", 1, now), qt.IsFalse, qt.Commentf("a few rejections by chance"))
	for i := range 20 {
		services.Reported("s", 1, i%2 == 0, now)
	}
	c.Check(services.IsFull("s", 1, now), qt.IsTrue)
	c.Check(services.MaxRejections("s", 1, now), qt.Equals, 1)
	c.Check(services.MaxRejections("other", 1, now), qt.Equals, 2)
	for range 200 {
		services.Reported("s", 1, false, now)
	}
	c.Check(services.IsFull("s", 1, now), qt.IsFalse)
	for range 200 {
		services.Reported("s", 1, true, now)
	}
	c.Check(services.IsFull("s", 1, now.Add(5*time.Second)), qt.IsFalse, qt.Commentf("rejections of seconds ago"))
}

// TestFullForLowerPriorities guards against requests that are rejected after one instance because the service is
// full for requests of lower priority only.
func TestFullForLowerPriorities(t *testing.T) {
	const urgent, ordinary, lowest = 0, 1, 500
	c := qt.New(t)
	services, now := admission.NewServices(), time.Unix(1000, 0)
	isFull := func() (full [3]bool) {
		for i, priority := range []int{urgent, ordinary, lowest} {
			full[i] = services.IsFull("s", priority, now)
		}
		return full
	}
	for range 20 {
		services.Reported("s", lowest, true, now)
		services.Reported("s", ordinary, false, now)
	}
	c.Check(isFull(), qt.Equals, [3]bool{false, false, true})
	for range 20 {
		services.Reported("s", ordinary, true, now)
	}
	c.Check(isFull(), qt.Equals, [3]bool{false, true, true})
	for range 20 {
		services.Reported("s", urgent, true, now)
	}
	c.Check(isFull(), qt.Equals, [3]bool{true, true, true})
}

package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const target = time.Second

func instance(name, zone string) snapshot.Instance {
	return snapshot.Instance{Name: name, Service: "s", Zone: zone, Address: name, Slots: 4, State: snapshot.InstanceReady}
}

// pick chooses among the instances and returns the choice.
func pick(b *balance.Balancer, now time.Time, avoid string, instances ...snapshot.Instance) (balance.Choice, bool) {
	return b.Pick(balance.Request{
		Route: "r", Target: target, Instances: instances, Now: now,
		Avoid: func(name string) bool { return name == avoid },
	})
}

func TestOwnZoneFirst(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	for range 10 {
		choice, found := pick(b, now, "", instance("far", "other"), instance("home", "near"))
		c.Assert(found, qt.IsTrue)
		c.Check(choice.Instance.Name, qt.Equals, "home")
		choice.Done(balance.Served, &hop.Report{Outcome: hop.Answered, Slots: 4, Execution: 50 * time.Millisecond}, 0, now)
	}
}

// TestBusyZoneSpillsOver: if requests would be late in the node's own zone, another zone
// serves them.
func TestBusyZoneSpillsOver(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	choice, _ := pick(b, now, "", instance("home", "near"))
	choice.Done(balance.Served, &hop.Report{Outcome: hop.Answered, Running: 4, Waiting: 20, Slots: 4, Execution: 300 * time.Millisecond}, 0, now)
	choice, found := pick(b, now, "", instance("far", "other"), instance("home", "near"))
	c.Assert(found, qt.IsTrue)
	c.Check(choice.Instance.Name, qt.Equals, "far")
}

// recordServed records requests that an instance served in the given time.
func recordServed(b *balance.Balancer, now time.Time, at snapshot.Instance, execution time.Duration, times int) {
	for range times {
		choice, _ := pick(b, now, "", at)
		choice.Done(balance.Served, &hop.Report{Outcome: hop.Answered, Slots: 4, Execution: execution}, 1500, now)
	}
}

// TestSlowOwnZone: a slow instance of the own zone is preferred only if its answers are in
// time. If they may be late, a fast one of another zone is chosen, unless the bytes sent
// there cost more.
func TestSlowOwnZone(t *testing.T) {
	for name, row := range map[string]struct {
		slow  time.Duration
		bytes int
		want  string
	}{
		"a little slow":         {150 * time.Millisecond, 0, "home"},
		"often late":            {800 * time.Millisecond, 0, "far"},
		"often late, long body": {800 * time.Millisecond, 360 << 10, "home"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
			now := time.Now()
			home, far := instance("home", "near"), instance("far", "other")
			for range 20 { // alternately, as in production
				recordServed(b, now, far, 100*time.Millisecond, 3)
				recordServed(b, now, home, row.slow, 3)
			}
			choice, found := b.Pick(balance.Request{
				Route: "r", Target: target, Bytes: row.bytes, Instances: []snapshot.Instance{far, home}, Now: now,
				Avoid: func(string) bool { return false },
			})
			c.Assert(found, qt.IsTrue)
			c.Check(choice.Instance.Name, qt.Equals, row.want)
		})
	}
}

// TestSlowInstanceIsTriedAgain: a slow instance counts as average after a while without
// measurements.
func TestSlowInstanceIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	home, far := instance("home", "near"), instance("far", "other")
	recordServed(b, now, far, 100*time.Millisecond, 30)
	recordServed(b, now, home, 2*time.Second, 10)
	choice, _ := pick(b, now, "", far, home)
	c.Check(choice.Instance.Name, qt.Equals, "far")
	choice, _ = pick(b, now.Add(time.Minute), "", far, home)
	c.Check(choice.Instance.Name, qt.Equals, "home")
}

// TestNoFallbackToOtherZoneWhileOwnZoneIsFull: while the instance of the own zone is full, a
// request that it refused is not sent to an instance of another zone.
func TestNoFallbackToOtherZoneWhileOwnZoneIsFull(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	choice, _ := pick(b, now, "home", instance("far", "other"), instance("home", "near"))
	choice.Done(balance.Busy, &hop.Report{Outcome: hop.Refused, Running: 4, Waiting: 2, Slots: 4}, 0, now)
	_, found := pick(b, now, "home", instance("far", "other"), instance("home", "near"))
	c.Check(found, qt.IsFalse)
	_, found = pick(b, now.Add(time.Second), "home", instance("far", "other"), instance("home", "near"))
	c.Check(found, qt.IsTrue)
}

// TestEjectedInstanceIsAvoided: an instance that could not be reached gets no requests until
// it answers, unless there is no other.
func TestEjectedInstanceIsAvoided(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	choice, _ := pick(b, now, "", instance("home", "near"))
	c.Check(choice.Done(balance.DeliveryFailed, nil, 0, now), qt.Equals, balance.Ejected)
	choice, _ = pick(b, now, "", instance("far", "other"), instance("home", "near"))
	c.Check(choice.Instance.Name, qt.Equals, "far")
	choice, found := pick(b, now, "", instance("home", "near"))
	c.Assert(found, qt.IsTrue)
	c.Check(choice.Done(balance.Served, nil, 0, now), qt.Equals, balance.Recovered)
}

func TestDrainingInstanceGetsNoRequests(t *testing.T) {
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	leaving := instance("home", "near")
	leaving.State = snapshot.InstanceDraining
	_, found := pick(b, time.Now(), "", leaving)
	qt.Check(t, found, qt.IsFalse)
}

// TestFailingInstanceIsAvoided: an instance that accepts requests but fails them is avoided,
// even if the other one is in another zone, until its failure rate has decayed.
func TestFailingInstanceIsAvoided(t *testing.T) {
	for _, zone := range []string{"near", "other"} {
		for name, row := range map[string]struct {
			results []balance.Result
			avoided bool
		}{
			"one failure":            {[]balance.Result{balance.RequestFailed, balance.Served}, false},
			"two in a row":           {[]balance.Result{balance.RequestFailed, balance.RequestFailed}, true},
			"failed, then recovered": {[]balance.Result{balance.RequestFailed, balance.RequestFailed, balance.Served, balance.Served, balance.Served, balance.Served}, false},
		} {
			t.Run(zone+"/"+name, func(t *testing.T) {
				c := qt.New(t)
				b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
				now := time.Now()
				for _, result := range row.results {
					choice, _ := pick(b, now, "second", instance("first", "near"), instance("second", zone))
					choice.Done(result, &hop.Report{Outcome: hop.Answered, Slots: 4, Execution: 50 * time.Millisecond}, 0, now)
				}
				if row.avoided || zone == "other" {
					choice, _ := pick(b, now, "", instance("first", "near"), instance("second", zone))
					c.Check(choice.Instance.Name == "second", qt.Equals, row.avoided)
					choice.Done(balance.Abandoned, nil, 0, now)
				}
				choice, _ := pick(b, now.Add(20*time.Second), "", instance("first", "near"), instance("second", "other"))
				c.Check(choice.Instance.Name, qt.Equals, "first")
			})
		}
	}
}

// TestSilentInstanceIsAvoided: an instance with requests in progress that has been silent
// for much longer than they take gets no more requests until it answers.
func TestSilentInstanceIsAvoided(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	start := time.Now()
	at := func(millis int) string {
		choice, _ := pick(b, start.Add(time.Duration(millis)*time.Millisecond), "", instance("far", "other"), instance("home", "near"))
		choice.Done(balance.Abandoned, nil, 0, start.Add(time.Duration(millis)*time.Millisecond))
		return choice.Instance.Name
	}
	pending, _ := pick(b, start, "", instance("home", "near"))
	c.Check(at(100), qt.Equals, "home")
	c.Check(at(1000), qt.Equals, "far")
	pending.Done(balance.Served, &hop.Report{Outcome: hop.Answered, Slots: 4, Execution: time.Second}, 0, start.Add(1100*time.Millisecond))
	c.Check(at(1200), qt.Equals, "home")
	c.Check(at(5000), qt.Equals, "home") // no request is in progress
}

// TestWarmInstanceIsNotRateLimited: an instance that was rate limited while warming up is
// chosen as soon as it is warm.
func TestWarmInstanceIsNotRateLimited(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	cold := instance("home", "near")
	cold.WarmUpMillis = time.Minute.Milliseconds()
	choice, found := pick(b, now, "", cold)
	c.Assert(found, qt.IsTrue)
	choice.Done(balance.RateLimited, &hop.Report{Outcome: hop.Refused, Reason: hop.ReasonCold, RetryAfter: 5 * time.Second, ColdFor: time.Minute, Slots: 4}, 0, now)
	soon := now.Add(time.Second)
	_, found = pick(b, soon, "", cold)
	c.Check(found, qt.IsFalse)
	c.Check(b.RateLimitedFor([]snapshot.Instance{cold}, soon), qt.Equals, 4*time.Second)
	warm := instance("home", "near")
	_, found = pick(b, soon, "", warm)
	c.Check(found, qt.IsTrue)
	c.Check(b.RateLimitedFor([]snapshot.Instance{warm}, soon), qt.Equals, time.Duration(0))
}

// TestLimitedInstanceIsTriedAgainSoon checks that an instance which has reached its stated limit is left
// alone only briefly, as the limit may end at any time, while callers are told when it is to have room.
func TestLimitedInstanceIsTriedAgainSoon(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	limited := instance("home", "near")
	choice, found := pick(b, now, "", limited)
	c.Assert(found, qt.IsTrue)
	transition := choice.Done(balance.Limited, &hop.Report{Outcome: hop.Refused, Reason: hop.ReasonLimited, RetryAfter: 5 * time.Second, Slots: 4}, 0, now)
	c.Check(transition, qt.Equals, balance.Unchanged)
	_, found = pick(b, now.Add(50*time.Millisecond), "", limited)
	c.Check(found, qt.IsFalse)
	c.Check(b.RateLimitedFor([]snapshot.Instance{limited}, now.Add(50*time.Millisecond)), qt.Equals, 4950*time.Millisecond)
	_, found = pick(b, now.Add(time.Second), "", limited)
	c.Check(found, qt.IsTrue)
}

// TestWarmInstanceIsNotRateLimitedForEarlierRequests: a request takes its timestamp before
// it waits for the balancer's lock. Meanwhile another request may record that the instance
// became warm, with a later timestamp. The waiting request must not treat the instance as
// cold, or it is refused although no instance was asked.
func TestWarmInstanceIsNotRateLimitedForEarlierRequests(t *testing.T) {
	const refusedFor, coldFor = 5 * time.Second, time.Minute
	start := time.Now()
	later, earlier := start.Add(time.Second+time.Millisecond), start.Add(time.Second)
	rows := map[string]struct {
		warmed func(b *balance.Balancer, inProgress balance.Choice)
		listed time.Duration
	}{
		"by its entry": {listed: 0, warmed: func(b *balance.Balancer, _ balance.Choice) {
			_, _ = pick(b, later, "", instance("home", "near"))
		}},
		"by its node": {listed: coldFor, warmed: func(_ *balance.Balancer, inProgress balance.Choice) {
			inProgress.Done(balance.Served, &hop.Report{Outcome: hop.Answered, Slots: 4}, 0, later)
		}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
			cold, warm := instance("home", "near"), instance("home", "near")
			cold.WarmUpMillis, warm.WarmUpMillis = coldFor.Milliseconds(), row.listed.Milliseconds()
			inProgress, _ := pick(b, start, "", cold)
			refused, _ := pick(b, start, "", cold)
			refused.Done(balance.RateLimited, &hop.Report{Outcome: hop.Refused, Reason: hop.ReasonCold, RetryAfter: refusedFor, ColdFor: coldFor, Slots: 4}, 0, start)
			row.warmed(b, inProgress)
			_, found := pick(b, earlier, "", warm)
			c.Check(found, qt.IsTrue)
		})
	}
}

// TestEarlierEntryKeepsInstanceWarm: a request that was sent by an earlier entry of an
// instance ends after a newer entry says that it is warm. The earlier entry must not make
// the instance count as cold again.
func TestEarlierEntryKeepsInstanceWarm(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	cold, warm := instance("home", "near"), instance("home", "near")
	cold.WarmUpMillis = time.Minute.Milliseconds()
	inProgress, _ := pick(b, now, "", cold)
	refused, _ := pick(b, now, "", cold)
	refused.Done(balance.RateLimited, &hop.Report{Outcome: hop.Refused, Reason: hop.ReasonCold, RetryAfter: 5 * time.Second, ColdFor: time.Minute, Slots: 4}, 0, now)
	now = now.Add(time.Second)
	_, found := pick(b, now, "", warm)
	c.Assert(found, qt.IsTrue)
	inProgress.Done(balance.DeliveryFailed, nil, 0, now)
	c.Check(b.RateLimitedFor([]snapshot.Instance{warm}, now), qt.Equals, time.Duration(0))
}

// TestUnconfiguredNodeDoesNotEndWarmUp: a node that has just started refuses requests and
// cannot know that its instance is cold. Its report must not make senders count the
// instance as warm although its entry says that it is cold.
func TestUnconfiguredNodeDoesNotEndWarmUp(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	cold := instance("home", "near")
	cold.WarmUpMillis = time.Minute.Milliseconds()
	rateLimited, _ := pick(b, now, "", cold)
	rateLimited.Done(balance.RateLimited, &hop.Report{Outcome: hop.Refused, Reason: hop.ReasonCold, RetryAfter: 5 * time.Second, ColdFor: time.Minute, Slots: 4}, 0, now)
	unconfigured, _ := pick(b, now, "", instance("other", "near"))
	unconfigured.Instance = cold
	unconfigured.Done(balance.Busy, &hop.Report{Outcome: hop.Refused, Reason: hop.ReasonUnconfigured, Slots: 4}, 0, now)
	c.Check(b.RateLimitedFor([]snapshot.Instance{cold}, now), qt.Equals, 5*time.Second)
}

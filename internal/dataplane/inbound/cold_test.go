package inbound

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const coldTestBackend = "127.0.0.1:1"

// coldSnapshot returns a configuration in which a service has a cold rate, with some instances.
func coldSnapshot(c *qt.C, revision snapshot.Revision, service snapshot.Service, instances ...snapshot.Instance) *snapshot.Snapshot {
	document, err := snapshot.NewDocument(snapshot.Content{Revision: revision, Services: []snapshot.Service{service}, Instances: instances})
	c.Assert(err, qt.IsNil)
	routed, err := snapshot.New(document.Version(), nil, document.Content().Services, nil)
	c.Assert(err, qt.IsNil)
	return routed.WithFleet(document.Version(), document.Content())
}

func listedAt(name string, remaining time.Duration) snapshot.Instance {
	return snapshot.Instance{Name: name, Service: "a", Zone: "z", Address: coldTestBackend, State: snapshot.InstanceReady, WarmUpMillis: remaining.Milliseconds()}
}

func newTestTracker() *coldTracker {
	tracker := newColdTracker(Options{
		Service: "a", Zone: "z", Backend: coldTestBackend, Names: healthNames, Mechanisms: mechanism.All(),
		Cold: ColdBounds{Overage: 1.5, Slack: 8}, Logger: logging.Discard(),
	}, func() {})
	tracker.firstCheck = make(chan struct{})
	return tracker
}

// TestUnlistedInstanceStaysCold guards against an instance that has just started and counts as warm because the
// entry of its predecessor at the address changes before its own is listed.
func TestUnlistedInstanceStaysCold(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	service := snapshot.Service{Name: "a", ColdRate: 5.6, ColdMillis: 3000}
	tracker := newTestTracker()
	before := coldSnapshot(c, 1, service, listedAt("i-1", 1500*time.Millisecond))
	tracker.update(before, now)
	tracker.noteUnlisted("i-2", before, now.Add(time.Second))
	tracker.update(coldSnapshot(c, 2, service, listedAt("i-1", 0)), now.Add(1100*time.Millisecond))
	c.Check(tracker.limit.InForceFor(now.Add(1100*time.Millisecond)), qt.Equals, 2900*time.Millisecond)
}

// TestChecksThatFail guards against a node that takes a failed health check for a warm instance, or that never
// asks again.
func TestChecksThatFail(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	tracker := newTestTracker()
	tracker.update(coldSnapshot(c, 1, snapshot.Service{Name: "a", ColdRate: 5.6}, listedAt("i-1", 0)), now.Add(-time.Minute))
	tracker.allowance.SetPerSecond(2, now.Add(-time.Minute))
	begin := func(at time.Time) time.Duration { // without sending checks
		delay := tracker.allowance.Delay(0, at)
		if delay == 0 {
			tracker.allowance.Start(at)
		}
		return delay
	}
	c.Check(begin(now), qt.Equals, time.Duration(0))
	c.Check(begin(now), qt.Equals, time.Duration(0))
	c.Assert(tracker.allowance.TakeCheck(now), qt.IsTrue)
	tracker.applyCheck(health{}, errors.New("refused"), now, now)
	c.Check(tracker.checkFailing, qt.IsTrue)
	c.Check(begin(now), qt.Equals, time.Second)
	c.Check(tracker.allowance.TakeCheck(now), qt.IsFalse)

	later := now.Add(500 * time.Millisecond)
	c.Assert(tracker.allowance.TakeCheck(later), qt.IsTrue)
	tracker.applyCheck(health{instance: "i-1"}, nil, later, later)
	c.Check(tracker.checkFailing, qt.IsFalse)
	c.Check(begin(later), qt.Equals, time.Duration(0))
}

// TestNoChecksWithoutColdRateOrHealthPath checks that an instance is not asked where its service has no cold rate
// or no health path, or where checks are disabled.
func TestNoChecksWithoutColdRateOrHealthPath(t *testing.T) {
	bounds := ColdBounds{Overage: 1.5, Slack: 8}
	for name, row := range map[string]struct {
		service snapshot.Service
		want    int
	}{
		"both":                  {snapshot.Service{ColdRate: 5.6, HealthPath: "/health"}, 14},
		"no cold rate":          {snapshot.Service{HealthPath: "/health"}, 0},
		"no health path":        {snapshot.Service{ColdRate: 5.6}, 0},
		"less than one allowed": {snapshot.Service{ColdRate: 0.01, HealthPath: "/health"}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, bounds.allowanceOf(row.service), qt.Equals, row.want)
		})
	}
}

// TestAnswerEndsAnAssumption guards against an instance that is held back though it has stated that it is warm, and
// against an answer that ends what is newer than its check, or concerns another instance.
func TestAnswerEndsAnAssumption(t *testing.T) {
	const asked, answered = 10 * time.Millisecond, 20 * time.Millisecond
	service := snapshot.Service{Name: "a", ColdRate: 5.6, ColdMillis: 3000}
	for name, row := range map[string]struct {
		assumedAfter time.Duration // after the start of the test
		unlisted     string
		answer       health
		want         time.Duration // for which the instance counts as cold when the answer is there
	}{
		"warm":                             {answer: health{instance: "i-1"}},
		"cold":                             {answer: health{instance: "i-1", coldFor: time.Second}, want: time.Second},
		"cold for longer than assumed":     {answer: health{instance: "i-1", coldFor: 5 * time.Second}, want: 5 * time.Second},
		"check sent before the assumption": {assumedAfter: asked + time.Millisecond, answer: health{instance: "i-1"}, want: 3*time.Second - answered + asked + time.Millisecond},
		"the predecessor answers":          {unlisted: "i-2", answer: health{instance: "i-1"}, want: 3*time.Second - answered},
		"the new instance answers":         {unlisted: "i-2", answer: health{instance: "i-2", coldFor: 2 * time.Second}, want: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Now()
			tracker := newTestTracker()
			tracker.update(coldSnapshot(c, 1, service, listedAt("i-1", 0)), start)
			tracker.assumeCold(coldByEvacuation, row.unlisted, tracker.lastSnapshot, start.Add(row.assumedAfter))
			tracker.applyCheck(row.answer, nil, start.Add(asked), start.Add(answered))
			c.Check(tracker.limit.InForceFor(start.Add(answered)), qt.Equals, row.want)
		})
	}
}

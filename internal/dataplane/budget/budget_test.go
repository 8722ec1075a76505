package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
)

const service = "data"

var bound = budget.Options{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}

// steady is the share of the slack that a node uses after its first window.
const steady = budget.UsableShare

// repeated describes a request that failed at an instance before.
var repeated = budget.Repetition{Probability: 1, Failed: true}

// spend makes repeats until no more are allowed, and returns their number.
func spend(a *budget.Accounts, now time.Time) (repeats int) {
	for a.ReserveRepeat(service, now) {
		repeats++
	}
	return repeats
}

// newAfterWindow returns the counters of a node that has run for longer than one window, in a
// fleet of the given number of nodes.
func newAfterWindow(options budget.Options, nodes int, now time.Time) *budget.Accounts {
	a := budget.New(options)
	a.RecordRequest(service, false, now.Add(-3*options.Window))
	a.SetInstanceCount(nodes, now)
	return a
}

// TestNodesTogetherKeepTheBound checks that the nodes together make no more repeats than the
// fleet may, however the requests are distributed among them.
func TestNodesTogetherKeepTheBound(t *testing.T) {
	now := time.Now()
	requests, repeats := 0, 0
	for node := range 12 {
		a := newAfterWindow(bound, 12, now)
		for range node * 20 {
			a.RecordRequest(service, false, now)
			requests++
		}
		repeats += spend(a, now)
	}
	allowed := bound.Ratio*float64(requests) + bound.Slack
	qt.Check(t, float64(repeats) <= allowed, qt.IsTrue)
	qt.Check(t, repeats > 0, qt.IsTrue)
}

func TestCountsExpire(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	a := newAfterWindow(bound, 12, now)
	for range 100 {
		a.RecordRequest(service, false, now)
	}
	first := spend(a, now)
	c.Check(first > 0, qt.IsTrue)
	c.Check(spend(a, now.Add(5*time.Second)), qt.Equals, 0)
	a.SetInstanceCount(12, now.Add(time.Hour))
	c.Check(spend(a, now.Add(time.Hour)), qt.Equals, int(steady*bound.Slack/12))
}

// TestCountsLastOneWindow checks that repeats count for the whole window, wherever within a
// bucket they were made, and that requests do not count for longer than the window.
func TestCountsLastOneWindow(t *testing.T) {
	c := qt.New(t)
	for offset := range 25 {
		now := time.Now().Add(time.Duration(offset) * 40 * time.Millisecond)
		a := newAfterWindow(bound, 1, now)
		c.Assert(spend(a, now), qt.Equals, int(steady*bound.Slack))
		c.Check(spend(a, now.Add(bound.Window-time.Millisecond)), qt.Equals, 0)
		b := budget.New(bound)
		for range 100 {
			b.RecordRequest(service, false, now)
		}
		c.Check(spend(b, now.Add(bound.Window+time.Millisecond)), qt.Equals, int(steady*bound.Slack))
	}
}

// TestRestartedProcessHasNoSlack checks that a process has no slack for its first window, as
// it does not know how much the process before used, unless there was none.
func TestRestartedProcessHasNoSlack(t *testing.T) {
	for name, row := range map[string]struct {
		firstStart bool
		want       int
	}{
		"restart":     {false, 0},
		"first start": {true, int(steady * bound.Slack)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			options := bound
			options.FirstStart = row.firstStart
			a := budget.New(options)
			a.SetInstanceCount(1, now)
			a.RecordRequest(service, false, now)
			a.SetOptions(bound)
			c.Check(spend(a, now.Add(bound.Window-time.Second)), qt.Equals, row.want)
			c.Check(spend(a, now.Add(3*bound.Window)), qt.Equals, int(steady*bound.Slack))
		})
	}
}

// TestMissingEntriesDoNotAddSlack guards against a larger part of the slack while instances
// are not listed, as their nodes continue to make repeats.
func TestMissingEntriesDoNotAddSlack(t *testing.T) {
	now := time.Now()
	a := newAfterWindow(bound, 12, now)
	a.SetInstanceCount(1, now.Add(time.Second))
	qt.Check(t, spend(a, now.Add(time.Second)), qt.Equals, int(steady*bound.Slack/12))
}

func TestReturnedRepeatsDoNotCount(t *testing.T) {
	now := time.Now()
	a := newAfterWindow(bound, 12, now)
	first := spend(a, now)
	a.ReturnRepeat(service, now)
	qt.Check(t, first > 0, qt.IsTrue)
	qt.Check(t, spend(a, now), qt.Equals, 1)
}

// TestCallsOfRepeatedRuns checks that the calls of a repeated run are charged to the bound of
// the called service when the run begins, and that a run whose calls do not fit is not
// admitted.
func TestCallsOfRepeatedRuns(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	a := newAfterWindow(bound, 12, now) // a slack of 4 of 60
	for range 10 {
		run, admitted := a.Begin(budget.Repetition{}, now)
		c.Assert(admitted, qt.IsTrue)
		c.Assert(a.RecordRequest(service, true, now), qt.Equals, 0.0)
		run.End()
	}
	before, allowed := a.State(service, now)
	c.Check(before, qt.Equals, 0.0)
	repeats := 0
	for a.Fits(repeated, now) {
		run, admitted := a.Begin(repeated, now)
		c.Assert(admitted, qt.IsTrue)
		c.Check(a.RecordRequest(service, true, now), qt.Equals, 0.99) // no other run is in progress
		run.End()
		repeats++
	}
	spent, _ := a.State(service, now)
	c.Check(repeats > 0, qt.IsTrue)
	c.Check(spent <= allowed, qt.IsTrue)
	_, admitted := a.Begin(repeated, now)
	c.Check(admitted, qt.IsFalse)
	_, admitted = a.Begin(budget.Repetition{Probability: 0.99, Failed: true}, now) // it may be a first send
	c.Check(admitted, qt.IsTrue)
}

// TestCallsInherit checks that the probability with which a call is one of a repeated run is
// the share of such runs among those in progress, weighted by the calls that they make.
func TestCallsInherit(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	a := budget.New(bound)
	for range 6 {
		_, _ = a.Begin(budget.Repetition{}, now)
	}
	run, _ := a.Begin(repeated, now)
	c.Check(a.RecordRequest(service, true, now), qt.Equals, 0.25)
	c.Check(a.RecordRequest(service, false, now), qt.Equals, 0.0)
	run.End()
	run.End()
	c.Check(a.RecordRequest(service, true, now), qt.Equals, 0.0)
}

func TestSetOptions(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	a := newAfterWindow(budget.Options{Window: time.Second}, 1, now)
	c.Check(spend(a, now), qt.Equals, 0)
	a.SetOptions(budget.Options{Slack: 10, Window: time.Second})
	c.Check(spend(a, now), qt.Equals, int(steady*10))
}

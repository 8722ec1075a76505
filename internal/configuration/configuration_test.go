package configuration_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

var _ distribution.Adopter = (*configuration.Applier)(nil)

const (
	plainProgram       = `route(name="plain", to="reservas")`
	conditionalProgram = `
route(name="plain", to="reservas")
if ready("reservas", at_least=2):
    route(name="extra", path="/extra", to="reservas")
`
)

func document(c *qt.C, revision snapshot.Revision, program string) *snapshot.Document {
	document, err := snapshot.NewDocument(snapshot.Content{
		Revision: revision,
		Services: []snapshot.Service{{Name: "reservas"}},
		Policies: []snapshot.Policy{{Name: "reservas.star", Program: program}},
	})
	c.Assert(err, qt.IsNil)
	return document
}

func newApplier(c *qt.C) *configuration.Applier {
	applier, err := configuration.NewApplier(configuration.Options{Store: &snapshot.Store{}, Logger: logging.Discard()})
	c.Assert(err, qt.IsNil)
	return applier
}

func TestAdopt(t *testing.T) {
	c := qt.New(t)
	applier := newApplier(c)
	updates, cancel := applier.Subscribe()
	defer cancel()
	c.Assert(applier.Current(), qt.IsNil)
	c.Assert(applier.Document(), qt.IsNil)

	adopted := document(c, 5, plainProgram)
	c.Assert(applier.Adopt(adopted), qt.IsNil)
	c.Assert((<-updates).InForce, qt.Equals, adopted.Version())
	c.Assert(applier.Adopt(adopted), qt.IsNil)
	c.Assert(applier.Current().Generation(), qt.Equals, uint64(1))
	c.Assert(applier.Document(), qt.Equals, adopted)

	c.Assert(errors.Is(applier.Adopt(document(c, 4, plainProgram)), configuration.ErrOlder), qt.IsTrue)
	_, refused := applier.Refusal()
	c.Assert(refused, qt.IsFalse)
	c.Assert(errors.Is(applier.Adopt(document(c, 5, plainProgram+" ")), configuration.ErrConflict), qt.IsTrue)

	invalid := document(c, 6, `route(name="a", to="reservas"); route(name="b", to="none")`)
	fault := applier.Adopt(invalid)
	c.Assert(fault, qt.ErrorMatches, `reservas.star:1:38: there is no service "none" in this revision; publish .*`)
	c.Assert(applier.Adopt(invalid), qt.Equals, fault)
	refusal, refused := applier.Refusal()
	c.Assert(refused, qt.IsTrue)
	c.Assert(refusal.Version, qt.Equals, invalid.Version())
	c.Assert(refusal.Reason, qt.Equals, fault.Error())
	update := <-updates
	c.Assert(update.InForce, qt.Equals, adopted.Version())
	c.Assert(*update.Refusal, qt.Equals, refusal)
	c.Assert(applier.Current().Version(), qt.Equals, adopted.Version())

	c.Assert(applier.Adopt(document(c, 7, plainProgram)), qt.IsNil)
	_, refused = applier.Refusal()
	c.Assert(refused, qt.IsFalse)
	c.Assert((<-updates).Refusal, qt.IsNil)
}

// readyCount is a fleet with that many ready instances of each service.
type readyCount int

func (r readyCount) ReadyInstances(string, string) int { return int(r) }

// TestHysteresis compares random observations with a simple model: a result
// changes once all observations during the hold time differ from it.
func TestHysteresis(t *testing.T) {
	condition := policy.Condition{Service: "reservas", AtLeast: 2}
	rapid.Check(t, func(t *rapid.T) {
		holdTime := 3 * time.Second
		now := time.Unix(0, 0)
		ready := rapid.IntRange(0, 4).Draw(t, "ready at first")
		state := configuration.NewHysteresis(holdTime).Tracking([]policy.Condition{condition}, readyCount(ready))
		inEffect := ready >= 2
		var differingSince *time.Time
		for range rapid.IntRange(1, 30).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			holds := rapid.IntRange(0, 4).Draw(t, "ready") >= 2
			count := readyCount(0)
			if holds {
				count = 2
			}
			next, changed := state.Observe(count, now)
			if holds == inEffect {
				differingSince = nil
			} else if differingSince == nil {
				since := now
				differingSince = &since
			}
			due := differingSince != nil && now.Sub(*differingSince) >= holdTime
			if due {
				inEffect, differingSince = holds, nil
			}
			deadline, pending := next.Deadline()
			if changed != due || next.Holds(condition) != inEffect || pending != (differingSince != nil) {
				t.Fatalf("changed %v, want %v; holds %v, want %v; pending %v", changed, due, next.Holds(condition), inEffect, pending)
			}
			if pending && !deadline.Equal(differingSince.Add(holdTime)) {
				t.Fatalf("deadline is %v, but the result has differed since %v", deadline, *differingSince)
			}
			state = next.Tracking([]policy.Condition{condition}, count)
		}
	})
}

package distribution_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestInvariantsUnderRandomFaults runs random faults in random order. The simulation checks at
// each adoption that the node does not go back to an older revision and holds a document
// exactly as it was published. At the end, with all faults healed, all nodes must hold the
// newest revision.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 16).Draw(t, "machines")
		f := simulation.New(simulation.Options{
			Seed:       rapid.Uint64().Draw(t, "seed"),
			Latency:    time.Duration(rapid.IntRange(1, 200).Draw(t, "latency ms")) * time.Millisecond,
			AdoptDelay: time.Duration(rapid.IntRange(1, 500).Draw(t, "adopt ms")) * time.Millisecond,
			ListLag:    time.Duration(rapid.IntRange(0, 60).Draw(t, "list lag s")) * time.Second,
			Duplicates: rapid.Float64Range(0, 0.3).Draw(t, "duplicates"),
		})
		var revision snapshot.Revision
		publish := func(policies ...string) *snapshot.Document {
			revision++
			published := document(revision, policies...)
			reason := ""
			if len(policies) > 0 {
				reason = "does not compile"
			}
			f.Platform.Publish(published, reason)
			return published
		}
		history := []*snapshot.Document{publish()}
		for i := range count {
			f.Start(machine(i), nil)
		}
		any := rapid.IntRange(0, count-1)
		one := func(t *rapid.T) simulation.Machine { return machine(any.Draw(t, "machine")) }
		t.Repeat(map[string]func(*rapid.T){
			"":        func(t *rapid.T) { f.Run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond) },
			"kill":    func(t *rapid.T) { f.Kill(one(t).Name) },
			"stop":    func(t *rapid.T) { f.Stop(one(t).Name) },
			"restart": func(t *rapid.T) { f.Restart(one(t).Name) },
			"pause": func(t *rapid.T) {
				f.Pause(one(t).Name, time.Duration(rapid.IntRange(1, 60).Draw(t, "s"))*time.Second)
			},
			"cut": func(t *rapid.T) {
				side := rapid.SliceOfN(rapid.Bool(), count, count).Draw(t, "side")
				sides := make(map[simulation.Machine]bool)
				for i := range count {
					sides[machine(i)] = side[i]
				}
				f.Cut(between(func(m *simulation.Machine) bool { return sides[*m] }))
			},
			"heal":            func(*rapid.T) { f.Cut(nil) },
			"publish":         func(*rapid.T) { history = append(history, publish()) },
			"publish bad":     func(*rapid.T) { publish("broken") },
			"source down":     func(*rapid.T) { f.Platform.SetDown(true) },
			"source up":       func(*rapid.T) { f.Platform.SetDown(false) },
			"source stale":    func(t *rapid.T) { f.Platform.SetStale(rapid.SampledFrom(history).Draw(t, "old")) },
			"source current":  func(*rapid.T) { f.Platform.SetStale(nil) },
			"source unheard":  func(t *rapid.T) { f.Platform.SetUnanswered(inZone) },
			"source is heard": func(*rapid.T) { f.Platform.SetUnanswered(nil) },
			"slow":            func(t *rapid.T) { f.SetSlow(one(t).Name, true) },
			"fast":            func(t *rapid.T) { f.SetSlow(one(t).Name, false) },
		})
		f.Cut(nil)
		f.Platform.SetDown(false)
		f.Platform.SetStale(nil)
		f.Platform.SetUnanswered(nil)
		for i := range count {
			f.SetSlow(machine(i).Name, false)
			f.Restart(machine(i).Name)
		}
		last := publish()
		const healed = 2 * time.Minute // pauses of a minute may still run
		if !f.RunUntil(healed, func() bool { return f.AllHold(last.Version()) }) {
			t.Fatalf("the fleet did not converge to %s", last.Version())
		}
		if broken := f.Violations(); len(broken) > 0 {
			t.Fatalf("violated invariants: %v", broken)
		}
	})
}

package distribution_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
)

// TestChangeAfterSourceOutage checks that a change is in force in time once the source answers
// again after any length of silence. During the silence, readers of a zone take over from each
// other. When they hand reading back, no reader may keep a new version to itself, and lost polls
// must not delay the next one.
func TestChangeAfterSourceOutage(t *testing.T) {
	const inForceWithin = time.Second
	const seeds = 15
	for silence := 4500 * time.Millisecond; silence <= 8*time.Second; silence += 500 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			for seed := range uint64(seeds) {
				c := qt.New(t)
				s := newScenario(c, simulation.Options{
					Seed: seed, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1,
				}, nil)
				s.Platform.SetUnanswered(func(*simulation.Machine) bool { return true })
				s.Run(silence)
				s.publish()
				s.Run(500 * time.Millisecond)
				s.Platform.SetUnanswered(nil)
				s.converged(inForceWithin)
			}
		})
	}
}

// TestPollCountAtFleetStart checks that the nodes of a fleet that starts together do not all
// keep polling the source. The lists they read at first name few others, so that each node would
// act as a reader until it learns of the rest over its links.
func TestPollCountAtFleetStart(t *testing.T) {
	const (
		nodes      = 60
		apart      = 20 * time.Millisecond // between two starts, while instances register
		firstPolls = 3                     // per node at its start: for the first version, and shortly after it
		polled     = 4 * time.Second
		stillPolls = 3 // per reader in that time, while nothing changes
	)
	for seed := range uint64(5) {
		c := qt.New(t)
		timing := distribution.DefaultTiming().ForCurrentSource()
		s := &scenario{c: c, Fleet: simulation.New(simulation.Options{
			Seed: seed, Timing: timing, ReadersPerZone: 1, SourceIsCurrent: true, ListLag: time.Second,
			Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond,
		})}
		s.publish()
		for i := range nodes {
			s.Start(machine(i), nil)
			s.Run(apart)
			s.publish() // the entry of its instance
		}
		s.Run(polled)
		c.Check(s.Platform.Polls() <= nodes*firstPolls+zones*stillPolls, qt.IsTrue, qt.Commentf("seed %d: %d polls", seed, s.Platform.Polls()))
		s.converged(time.Second)
	}
}

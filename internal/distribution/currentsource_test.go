package distribution_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
)

// TestSourceReturnsAfterSilence: while the source said nothing, several readers of
// a zone took over from each other. Once it answers again, and they hand reading
// back, none of them keeps what it learned to itself. Found by a hunt
// (hunt-37d4-27): a version was in force 2.5 s after the source's answer.
func TestSourceReturnsAfterSilence(t *testing.T) {
	const inForceWithin = time.Second
	for seed := range uint64(20) {
		c := qt.New(t)
		s := newScenario(c, simulation.Options{
			Seed: seed, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1,
		}, nil)
		s.Platform.SetUnheard(func(*simulation.Machine) bool { return true })
		s.Run(6 * time.Second)
		s.publish()
		s.Run(500 * time.Millisecond)
		s.Platform.SetUnheard(nil)
		s.converged(inForceWithin)
	}
}

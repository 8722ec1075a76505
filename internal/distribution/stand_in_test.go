package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/wire"
)

// buildWithoutReports is a node of a build that neither sends nor accepts reports of reads.
type buildWithoutReports struct{ engine *distribution.Engine }

func buildWithoutReportsOf(engine *distribution.Engine) simulation.Participant {
	return buildWithoutReports{engine}
}

// NextWake implements simulation.Participant.
func (b buildWithoutReports) NextWake() time.Time { return b.engine.NextWake() }

// Handle implements simulation.Participant.
func (b buildWithoutReports) Handle(now time.Time, event distribution.Event) []distribution.Action {
	var kept []distribution.Action
	for _, action := range b.engine.Handle(now, event) {
		send, ok := action.(distribution.Send)
		if ok && send.Type == wire.TypeSourceReport {
			continue
		}
		if ok && send.Type == wire.TypeHello {
			send.Frame = withChangedHello(send.Frame, func(hello *wire.Hello) {
				if hello.Purpose.AcceptsReports() {
					hello.Purpose = wire.PurposeLinkWithOrigins
				}
			})
			action = send
		}
		kept = append(kept, action)
	}
	return kept
}

// TestStandInsStopAfterCut checks that nodes which read the source during a cut leave it to the readers of
// their zone soon after it, so that a cut does not add readers for good.
func TestStandInsStopAfterCut(t *testing.T) {
	for _, nodes := range []int{13, 80} {
		for name, pattern := range cutPatterns() {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, name), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newFreshnessFleet(nodes, 1)
				groupOf := pattern(f, rand.New(rand.NewPCG(1, 3)))
				f.Cut(func(from, to *simulation.Machine) bool { return groupOf(from) != groupOf(to) })
				f.Run(5 * time.Second)
				f.Cut(nil)
				f.Run(30 * time.Second)
				c.Check(f.Platform.RecentPollers(3*time.Second), qt.Equals, freshnessZones)
			})
		}
	}
}

// TestSourceOutageAddsFewReads checks that a node which nothing confirms because the source fails everyone
// does not add to the load on it: all such nodes together try about ten times a second, whatever their
// number, and none of them reads on after the outage.
func TestSourceOutageAddsFewReads(t *testing.T) {
	const (
		outage   = 5 * time.Second
		group    = 4 // nodes of a zone that may read by their rank
		perPause = 50
		slack    = 1.5 // the times between tries are random
	)
	for _, nodes := range []int{13, 80, 300} {
		for _, fault := range []string{"silent", "reset", "busy"} {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, fault), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				f := newFreshnessFleet(nodes, 1)
				behavior := sourceFaults()[fault]
				for outages := range 3 {
					f.Platform.SetBehavior(func(*simulation.Machine) simulation.Behavior { return behavior })
					f.Run(outage)
					pollers := f.Platform.RecentPollers(outage)
					c.Check(float64(pollers) <= group*freshnessZones+slack*perPause, qt.IsTrue, qt.Commentf("%d nodes read in outage %d", pollers, outages))
					f.Platform.SetBehavior(nil)
					c.Check(f.inForce(c) <= time.Second, qt.IsTrue)
					f.Run(10 * time.Second)
					c.Check(f.Platform.RecentPollers(3*time.Second), qt.Equals, freshnessZones)
					f.restartReaders() // the next outage fails others
				}
			})
		}
	}
}

// restartReaders restarts the nodes that read, so that others do.
func (f *freshnessFleet) restartReaders() {
	for _, name := range f.Machines() {
		if f.Engine(name).Status().Reader {
			f.Kill(name)
			f.Restart(name)
		}
	}
	f.Run(10 * time.Second)
}

// TestConfirmationTrafficDoesNotGrowWithFleet checks that frames, bytes and polls of an idle fleet do not grow
// with its size, per node and in total.
func TestConfirmationTrafficDoesNotGrowWithFleet(t *testing.T) {
	const (
		idle      = 10 * time.Second
		tolerance = 1.2
	)
	type traffic struct{ frames, bytes, polls float64 }
	measure := func(nodes int) traffic {
		f := newFreshnessFleet(nodes, 1)
		f.Run(5 * time.Second)
		frames, bytes := f.Sent()
		polls := f.Platform.Polls()
		f.Run(idle)
		framesAfter, bytesAfter := f.Sent()
		perNode := float64(nodes) * idle.Seconds()
		return traffic{
			frames: float64(framesAfter-frames) / perNode, bytes: float64(bytesAfter-bytes) / perNode,
			polls: float64(f.Platform.Polls()-polls) / idle.Seconds(),
		}
	}
	t.Parallel()
	c := qt.New(t)
	small, large := measure(100), measure(1000)
	c.Logf("per node and second: %+v at 100 nodes, %+v at 1,000", small, large)
	c.Check(large.frames <= tolerance*small.frames, qt.IsTrue)
	c.Check(large.bytes <= tolerance*small.bytes, qt.IsTrue)
	c.Check(large.polls <= tolerance*small.polls, qt.IsTrue)
}

// TestChangesInForceAcrossRollout checks that nodes of a build that passes on no reports do not make the
// others read the source, and that changes are in force everywhere.
func TestChangesInForceAcrossRollout(t *testing.T) {
	c := qt.New(t)
	f := newFreshnessFleet(24, 1)
	for i, name := range f.Machines() {
		if i%2 == 0 {
			f.Kill(name)
			f.Replace(name, buildWithoutReportsOf)
		}
	}
	f.Run(20 * time.Second)
	for range 5 {
		c.Check(f.inForce(c) <= time.Second, qt.IsTrue)
		f.Run(3 * time.Second)
	}
	c.Check(f.countReaders() <= 2*freshnessZones, qt.IsTrue, qt.Commentf("%d readers", f.countReaders()))
}

package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

func TestJournalNoticesBrokenPromises(t *testing.T) {
	first := snapshot.Version{Revision: 1, Hash: snapshot.ContentHash{1}}
	second := snapshot.Version{Revision: 2, Hash: snapshot.ContentHash{2}}
	forged := snapshot.Version{Revision: 2, Hash: snapshot.ContentHash{9}}
	for name, test := range map[string]struct {
		adopted  []snapshot.Version
		breaches int
	}{
		"forward":         {[]snapshot.Version{first, second}, 0},
		"back":            {[]snapshot.Version{second, first}, 1},
		"never published": {[]snapshot.Version{first, forged}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			journal := NewJournal()
			for _, version := range []snapshot.Version{first, second} {
				_, err := journal.publish(func() (snapshot.Version, error) { return version, nil })
				c.Assert(err, qt.IsNil)
			}
			for _, version := range test.adopted {
				journal.started(0) // a new process of the node makes no difference
				journal.adopted(0, version, time.Now())
			}
			c.Assert(journal.Breaches(), qt.HasLen, test.breaches)
			c.Assert(journal.delays(1, 2), qt.HasLen, len(test.adopted))
		})
	}
}

func TestJournalAwaitsTheProcessThatRuns(t *testing.T) {
	c := qt.New(t)
	journal := NewJournal()
	version := snapshot.Version{Revision: 1}
	journal.adopted(0, version, time.Now())
	c.Assert(journal.await(context.Background(), []int{0}, version), qt.IsNil)

	journal.started(0)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(journal.await(ended, []int{0}, version), qt.ErrorMatches, "1 of 1 nodes do not hold .* node-0000")
}

func TestQuantiles(t *testing.T) {
	c := qt.New(t)
	var delays []time.Duration
	for i := range 1000 {
		delays = append(delays, time.Duration(i+1)*time.Millisecond)
	}
	quantiles := quantilesOf(delays)
	c.Assert(quantiles.Max, qt.Equals, 1.0)
	c.Assert(quantiles.P50 >= 0.5 && quantiles.P50 < 0.502, qt.IsTrue)
	c.Assert(quantiles.P99 >= 0.99 && quantiles.P99 < 0.992, qt.IsTrue)
}

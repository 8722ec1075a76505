package inbound

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCrashIsReportedOnce checks that a crash is reported once, with all requests whose
// connections it ended and those abandoned shortly before. The loss of a connection to a
// running instance is not reported.
func TestCrashIsReportedOnce(t *testing.T) {
	for name, gone := range map[string]bool{"crashed": true, "connection lost": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			checking, instanceGone := make(chan struct{}, 1), make(chan bool)
			var reported [][]runInProgress
			detector := &crashDetector{
				isGone:  func() bool { checking <- struct{}{}; return <-instanceGone },
				crashed: func(runs []runInProgress) { reported = append(reported, runs) },
			}
			detector.noteAbandoned(runInProgress{id: "expired"}, time.Now().Add(-2*abandonedTTL))
			detector.noteAbandoned(runInProgress{id: "abandoned"}, time.Now())
			var waiting sync.WaitGroup
			crashed := make([]bool, 3)
			join := func(index int, id string) {
				waiting.Go(func() { crashed[index] = detector.connectionLost(runInProgress{id: id}) })
			}
			join(0, "first")
			<-checking
			detector.mutex.Lock()
			check := detector.check
			detector.mutex.Unlock()
			join(1, "second")
			join(2, "third")
			for count := 0; count < 3; {
				detector.mutex.Lock()
				count = len(check.runs)
				detector.mutex.Unlock()
			}
			instanceGone <- gone
			waiting.Wait()
			c.Check(crashed, qt.DeepEquals, []bool{gone, gone, gone})
			if !gone {
				c.Check(reported, qt.HasLen, 0)
				return
			}
			c.Assert(reported, qt.HasLen, 1)
			ids := map[string]bool{}
			for _, run := range reported[0] {
				ids[run.id] = true
			}
			c.Check(ids, qt.DeepEquals, map[string]bool{"first": true, "second": true, "third": true, "abandoned": true})
		})
	}
}

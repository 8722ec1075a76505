package inbound

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCrashOfTheInstance: all requests whose connections break at a crash are told of together,
// with those that were given up shortly before; the loss of one connection tells of nothing.
func TestCrashOfTheInstance(t *testing.T) {
	for name, gone := range map[string]bool{"crashed": true, "lost a connection": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			asked, verdict := make(chan struct{}, 1), make(chan bool)
			var told [][]runInProgress
			watch := &crashWatch{
				isGone:  func() bool { asked <- struct{}{}; return <-verdict },
				crashed: func(runs []runInProgress) { told = append(told, runs) },
			}
			watch.givenUp(runInProgress{id: "long ago"}, time.Now().Add(-2*abandonedMemory))
			watch.givenUp(runInProgress{id: "given up"}, time.Now())
			var waiting sync.WaitGroup
			ended := make([]bool, 3)
			join := func(index int, id string) {
				waiting.Go(func() { ended[index] = watch.broken(runInProgress{id: id}) })
			}
			join(0, "first")
			<-asked
			watch.mutex.Lock()
			check := watch.check
			watch.mutex.Unlock()
			join(1, "second")
			join(2, "third")
			for count := 0; count < 3; {
				watch.mutex.Lock()
				count = len(check.runs)
				watch.mutex.Unlock()
			}
			verdict <- gone
			waiting.Wait()
			c.Check(ended, qt.DeepEquals, []bool{gone, gone, gone})
			if !gone {
				c.Check(told, qt.HasLen, 0)
				return
			}
			c.Assert(told, qt.HasLen, 1)
			ids := map[string]bool{}
			for _, run := range told[0] {
				ids[run.id] = true
			}
			c.Check(ids, qt.DeepEquals, map[string]bool{"first": true, "second": true, "third": true, "given up": true})
		})
	}
}

package app

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoreStatedLimit guards against an instance that states a limit on its requests in its answers and
// gets more all the same, because nothing on the path of requests reads the statement, each sender keeps to
// it for itself, or the node beside the instance forgets it when it restarts.
func TestStoreStatedLimit(t *testing.T) {
	const (
		limit    = 4.2
		duration = 8 * time.Second
		interval = 10 * time.Millisecond
	)
	t.Run("other instances have room", func(t *testing.T) {
		t.Parallel()
		load := newStatementLoad(t, []string{"front", "front", "front", "data", "data", "data", "data", "data", "data"}, interval)
		load.state(3, limit)
		load.run(duration)
		load.checkBound(3, limit)
		load.r.c.Check(load.statuses, qt.HasLen, 1, qt.Commentf("some requests were not served: %v", load.statuses))
	})
	t.Run("the node beside the instance restarts", func(t *testing.T) {
		t.Parallel()
		load := newStatementLoad(t, []string{"front", "front", "front", "data", "data", "data", "data", "data", "data"}, interval)
		load.state(3, limit)
		restarted := make(chan struct{})
		time.AfterFunc(duration/2, func() {
			load.restart(3)
			close(restarted)
		})
		load.run(duration)
		<-restarted
		load.checkBound(3, limit)
	})
	t.Run("the only instance", func(t *testing.T) {
		t.Parallel()
		load := newStatementLoad(t, []string{"front", "front", "front", "data"}, 5*interval)
		load.setLatencyTarget()
		load.state(3, limit)
		load.run(duration)
		load.checkBound(3, limit)
		load.r.c.Check(load.statuses[http.StatusServiceUnavailable] > 0, qt.IsTrue)
	})
	t.Run("all instances", func(t *testing.T) {
		t.Parallel()
		load := newStatementLoad(t, []string{"front", "front", "front", "data", "data", "data"}, 5*interval)
		load.setLatencyTarget()
		for index := 3; index < 6; index++ {
			load.state(index, limit)
		}
		load.run(duration)
		for index := 3; index < 6; index++ {
			load.checkBound(index, limit)
		}
		load.r.c.Check(load.statuses[http.StatusServiceUnavailable] > 0, qt.IsTrue)
	})
}

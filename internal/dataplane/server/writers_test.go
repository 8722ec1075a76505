package server

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// TestIdleWritersAreBounded guards against writers of a burst that all stay, and against writers that
// outlive their server.
func TestIdleWritersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := New(Options{})
		var ended atomic.Int32
		for range maxIdleWriters + 5 {
			server.running.Go(func() {
				server.writers.run(&connection{queue: newAnswerQueue()})
				ended.Add(1)
			})
		}
		synctest.Wait()
		c.Check(ended.Load(), qt.Equals, int32(5))
		server.write(&connection{queue: newAnswerQueue()}) // by an idle writer
		synctest.Wait()
		c.Check(ended.Load(), qt.Equals, int32(5))
		server.Close()
		c.Check(ended.Load(), qt.Equals, int32(maxIdleWriters+5))
	})
}

package server

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// TestAnswerQueueKeepsOrderAndLimit guards against responses in another order than their requests,
// against a second writer, and against a client that queues requests without limit.
func TestAnswerQueueKeepsOrderAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		queue := newAnswerQueue()
		added := make([]*exchange, maxPipelined+1)
		for i := range added {
			added[i] = &exchange{}
		}
		for i, each := range added[:maxPipelined] {
			c.Assert(queue.add(each), qt.Equals, i == 0)
		}
		isAdded, isWritten := make(chan struct{}), make(chan struct{})
		go func() {
			c.Check(queue.add(added[maxPipelined]), qt.IsFalse)
			close(isAdded)
			queue.awaitWritten()
			close(isWritten)
		}()
		synctest.Wait()
		c.Check(isClosed(isAdded), qt.IsFalse)
		for i, each := range added {
			c.Assert(queue.take() == each, qt.IsTrue, qt.Commentf("request %d", i))
			synctest.Wait()
			c.Assert(isClosed(isAdded), qt.IsTrue)
		}
		c.Check(isClosed(isWritten), qt.IsFalse)
		c.Check(queue.take(), qt.IsNil)
		synctest.Wait()
		c.Check(isClosed(isWritten), qt.IsTrue)
		c.Check(queue.add(added[0]), qt.IsTrue)
	})
}

// TestAnswerQueueMemory guards against a queue that keeps the memory of pipelined requests, and
// against one that allocates for each request of a client that does not pipeline.
func TestAnswerQueueMemory(t *testing.T) {
	c := qt.New(t)
	queue, one := newAnswerQueue(), &exchange{}
	takeAll := func() {
		for queue.take() != nil {
		}
	}
	exchangeOne := func() {
		queue.add(one)
		takeAll()
	}
	exchangeOne()
	c.Check(testing.AllocsPerRun(100, exchangeOne), qt.Equals, 0.0)
	for range maxPipelined {
		queue.add(one)
	}
	takeAll()
	c.Check(cap(queue.waiting) <= keptQueueLength, qt.IsTrue)
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

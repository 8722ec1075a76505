package server

import "sync"

// keptQueueLength is the length up to which an empty queue keeps its memory, for the next request.
const keptQueueLength = 2

// answerQueue holds the requests of a connection whose responses are to be written, in their order.
// A goroutine writes them only while there are any.
type answerQueue struct {
	mutex sync.Mutex
	// shrank is signalled when a request is taken and when the writer has ended.
	shrank  *sync.Cond
	waiting []*exchange
	// writing is set while a writer runs.
	writing bool
}

func newAnswerQueue() *answerQueue {
	created := &answerQueue{}
	created.shrank = sync.NewCond(&created.mutex)
	return created
}

// add appends a request; it waits while too many are queued. If start is true, the caller must start
// the writer.
func (q *answerQueue) add(added *exchange) (start bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.waiting) >= maxPipelined {
		q.shrank.Wait()
	}
	q.waiting = append(q.waiting, added)
	start = !q.writing
	q.writing = true
	return start
}

// take removes the next request; the writer ends if there is none.
func (q *answerQueue) take() *exchange {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.shrank.Broadcast()
	if len(q.waiting) == 0 {
		q.writing = false
		if cap(q.waiting) > keptQueueLength {
			q.waiting = nil
		}
		return nil
	}
	next := q.waiting[0]
	last := copy(q.waiting, q.waiting[1:])
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	return next
}

// awaitWritten waits until the writer has ended.
func (q *answerQueue) awaitWritten() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for q.writing {
		q.shrank.Wait()
	}
}

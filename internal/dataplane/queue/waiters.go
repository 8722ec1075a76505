package queue

import (
	"container/heap"
	"time"
)

// verdict is a slot or a refusal.
type verdict struct {
	slot    *Slot
	refusal Refusal
}

// waiter is a request in the queue.
type waiter struct {
	ticket  Ticket
	due     time.Time    // when its wait must end
	granted chan verdict // takes one without blocking
	index   int
}

// goesBefore reports whether the waiter goes before one of that rank and time.
func (w *waiter) goesBefore(priority int, due time.Time) bool {
	if w.ticket.Priority != priority {
		return w.ticket.Priority < priority
	}
	return w.due.Before(due)
}

// waiters is a heap: the most urgent first, then the one that is due first.
type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	return w[i].goesBefore(w[j].ticket.Priority, w[j].due)
}

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(item any) {
	added := item.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	removed := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	removed.index = -1
	return removed
}

// remove takes a waiter out and reports whether it was there.
func (w *waiters) remove(gone *waiter) bool {
	if gone.index < 0 || gone.index >= len(*w) || (*w)[gone.index] != gone {
		return false
	}
	heap.Remove(w, gone.index)
	return true
}

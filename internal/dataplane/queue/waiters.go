package queue

import "container/heap"

// verdict is a slot or a refusal.
type verdict struct {
	slot    *Slot
	refusal Refusal
}

// waiter is a request in the queue.
type waiter struct {
	ticket  Ticket
	order   uint64
	granted chan verdict // takes one without blocking
	index   int
}

// waiters is a heap: the most urgent first, then the earliest.
type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	if w[i].ticket.Priority != w[j].ticket.Priority {
		return w[i].ticket.Priority < w[j].ticket.Priority
	}
	return w[i].order < w[j].order
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

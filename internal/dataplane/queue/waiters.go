package queue

import (
	"container/heap"
	"time"
)

// grantResult is a slot or a refusal.
type grantResult struct {
	slot    *Slot
	refusal Refusal
}

// waiter is a queued request.
type waiter struct {
	ticket Ticket
	// giveUpAt is when the request has waited for as long as it may, unless that is extended.
	giveUpAt time.Time
	result   chan grantResult // buffered, so that the single send never blocks
	index    int
}

// lengthWeight is how much later a request is ordered per unit of its processing time: many
// short requests are served in the time of a long one.
const lengthWeight = 4

// effectiveDue returns the due time, adjusted for the length, by which requests of one
// priority and value are ordered.
func (t Ticket) effectiveDue() time.Time { return t.Due.Add(lengthWeight * t.Length) }

// isLate reports whether the request goes behind those of all priorities that can be in time. One without a forecast
// does not: the answer to a call is needed late as well, as the request that it is made for fails without it.
func (t Ticket) isLate() bool { return t.lateLast && t.Forecast && t.Value == ValueLate }

// precedes reports whether the request gets a slot before the other, unless a class is owed slot time.
func (t Ticket) precedes(other Ticket) bool {
	if t.isLate() != other.isLate() {
		return other.isLate()
	}
	if t.Priority != other.Priority {
		return t.Priority < other.Priority
	}
	if t.beyondShare != other.beyondShare {
		return other.beyondShare
	}
	if t.Value != other.Value {
		return t.Value < other.Value
	}
	due, otherDue := t.effectiveDue(), other.effectiveDue()
	if t.Retried != other.Retried && due.Equal(otherDue) {
		return t.Retried
	}
	return due.Before(otherDue)
}

// waiters is a heap of queued requests, ordered by Ticket.precedes.
type waiters []*waiter

// hasLessUrgent reports whether a request of a less urgent priority waits.
func (w waiters) hasLessUrgent(ticket Ticket) bool {
	for _, other := range w {
		if other.ticket.Priority > ticket.Priority {
			return true
		}
	}
	return false
}

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	return w[i].ticket.precedes(w[j].ticket)
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

// postpone moves the due time of a waiter that is still queued to its latest start.
func (w *waiters) postpone(late *waiter) {
	if late.index < 0 {
		return
	}
	late.ticket.Due = late.ticket.LatestStart
	heap.Fix(w, late.index)
}

// remove removes a waiter and reports whether it was still queued.
func (w *waiters) remove(gone *waiter) bool {
	if gone.index < 0 || gone.index >= len(*w) || (*w)[gone.index] != gone {
		return false
	}
	heap.Remove(w, gone.index)
	return true
}

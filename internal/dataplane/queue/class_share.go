package queue

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
)

// ShareGuarantee guarantees each priority a part of the slot time. It is used by one goroutine at a time.
type ShareGuarantee interface {
	// Arrived counts a request that asks for slot time.
	Arrived(priority int, slotTime time.Duration, now time.Time)
	// Granted counts slot time that a request gets.
	Granted(priority int, slotTime time.Duration, now time.Time)
	// Guaranteed returns the share of the slot time that a priority is guaranteed, from 0 to 1.
	Guaranteed(priority int, now time.Time) float64
	// Owed returns the slot time by which a priority has had less than it is guaranteed; negative if it has had more.
	Owed(priority int, now time.Time) time.Duration
}

// noGuarantee lets each priority take what it asks for before any lower one.
type noGuarantee struct{}

func (noGuarantee) Arrived(int, time.Duration, time.Time) {}
func (noGuarantee) Granted(int, time.Duration, time.Time) {}
func (noGuarantee) Guaranteed(int, time.Time) float64     { return 0 }
func (noGuarantee) Owed(int, time.Time) time.Duration     { return 0 }

// GuaranteeShares makes the queue guarantee each priority a part of the slot time. It must be called before the queue is
// used.
func (q *Queue) GuaranteeShares(guarantee ShareGuarantee) { q.guarantee = guarantee }

// PutLateLast lets requests that can be in time go before those of any priority that can only be late. It must be
// called before the queue is used.
func (q *Queue) PutLateLast() { q.lateLast = true }

// next returns the waiter that gets the next free slot, or nil if no waiter may take one. Requests that can only be
// late get slots that no other may take. The caller must hold the mutex.
func (q *Queue) next(now time.Time) *waiter {
	if q.waiting.Len() == 0 || q.running >= q.slots {
		return nil
	}
	if next := q.nextOf(q.waiting.firstOfClasses(false), now); next != nil {
		return next
	}
	return q.nextOf(q.waiting.firstOfClasses(true), now)
}

// nextOf returns which of the first waiters of all classes gets the next slot: one whose class is owed slot time, or
// else the first of those that may take one. The caller must hold the mutex.
func (q *Queue) nextOf(firstOfClasses [classCount]*waiter, now time.Time) *waiter {
	var next, owed *waiter
	for _, first := range firstOfClasses {
		if first == nil || !q.hasSlotFor(first.ticket) {
			continue
		}
		if next == nil || first.ticket.precedes(next.ticket) {
			next = first
		}
		if q.owes(first.ticket, now) && (owed == nil || first.ticket.precedes(owed.ticket)) {
			owed = first
		}
	}
	if owed != nil {
		return owed
	}
	return next
}

// owes reports whether the class of a request is owed the slot time that the request needs. The caller must hold the
// mutex.
func (q *Queue) owes(ticket Ticket, now time.Time) bool {
	owed := q.guarantee.Owed(ticket.Priority, now)
	return owed > 0 && owed >= ticket.cost
}

// firstOfClasses returns the first waiter of each class among those that can be in time, or among the late ones.
func (w waiters) firstOfClasses(late bool) (first [classCount]*waiter) {
	for _, each := range w {
		known := &first[classOf(each.ticket.Priority)]
		if each.ticket.isLate() == late && (*known == nil || each.ticket.precedes((*known).ticket)) {
			*known = each
		}
	}
	return first
}

// guaranteedBacklog returns what a request waits for before it gets a slot from the guaranteed share of its class,
// whatever requests of other classes arrive. The caller must hold the mutex.
func (q *Queue) guaranteedBacklog(ticket Ticket, now time.Time) admission.Backlog {
	ahead := ticket.cost - q.guarantee.Owed(ticket.Priority, now)
	for _, other := range q.waiting {
		if classOf(other.ticket.Priority) == classOf(ticket.Priority) && other.ticket.precedes(ticket) {
			ahead += q.expected(other.ticket)
		}
	}
	share := q.guarantee.Guaranteed(ticket.Priority, now)
	untilNextSlot := time.Duration(share * float64(q.serviceTime))
	return admission.Backlog{
		Slots: q.slots, Ahead: q.stretched(max(ahead, 0)) + untilNextSlot, Overtaking: (1 - share) * float64(q.slots),
	}
}

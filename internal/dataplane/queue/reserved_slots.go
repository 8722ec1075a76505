package queue

import "time"

// ReserveByPriority makes the queue keep slots free for requests of higher priority while requests of
// priority 0 arrive. It must be called before the queue is used.
func (q *Queue) ReserveByPriority() { q.reservation = newReservation(overdueWithinIdle) }

// Reserved returns the number of slots that requests of the lowest priority that is in use may not take now.
func (q *Queue) Reserved() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reservation.update(q.slots, q.guarantee, time.Now())
	return q.reservation.reserved()
}

// Usable returns the number of slots that requests of a priority and all lower ones may hold now.
func (q *Queue) Usable(priority int) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.reservation.usable(priority, q.slots)
}

// arrived counts a request that asks for a slot. The caller must hold the mutex.
func (q *Queue) arrived(ticket Ticket, now time.Time) {
	q.fairness.arrived(ticket, now)
	if !ticket.Retried { // a retry was counted when it was new: rejections are no further demand
		q.guarantee.Arrived(ticket.Priority, ticket.cost, now)
		q.reservation.arrived(ticket, now)
	}
	q.reservation.update(q.slots, q.guarantee, now)
}

// refused counts a request that gets no slot. The reserve would not help against a rate limit. The caller
// must hold the mutex.
func (q *Queue) refused(ticket Ticket, refusal Refusal, now time.Time) {
	if refusal == Busy {
		q.reservation.waited(ticket, false, now)
	}
}

// hasSlotFor reports whether a slot is free that a request may take. The caller must hold the mutex.
func (q *Queue) hasSlotFor(ticket Ticket) bool {
	return q.running < q.slots && q.reservation.admits(ticket.Priority, q.slots)
}

// recheckReserve schedules a further grant while requests wait although slots are free: the reserve that
// holds them back may fall before a slot is returned. The caller must hold the mutex.
func (q *Queue) recheckReserve(now time.Time) {
	if q.waiting.Len() > 0 && q.running < q.slots {
		q.scheduleGrant(reservationInterval, now)
	}
}

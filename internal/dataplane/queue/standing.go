package queue

import "time"

// Standing is how a request stands among those that hold slots or wait for one. It explains a refusal and
// decides nothing.
type Standing struct {
	// Usable is the number of slots that requests of its priority may take; the others are reserved.
	Usable int
	// Held is the number of slots that requests of each priority hold.
	Held map[int]int
	// Ahead is the number of waiting requests that get slots before it.
	Ahead int
	// Forecast is how long it would wait to be served late. It is nil if the ticket asks for no forecast or
	// the requests that go ahead leave no slots.
	Forecast *time.Duration
}

// Standing returns how a request that arrives now would stand. Its cost grows with the requests that run and
// wait, so that it is meant for log lines whose rate is bounded.
func (q *Queue) Standing(ticket Ticket) Standing {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	ticket = q.ranked(ticket, now)
	found := Standing{Usable: q.reservation.usable(ticket.Priority, q.slots), Held: make(map[int]int)}
	for slot := range q.grantedAt {
		found.Held[slot.priority]++
	}
	if ticket.Forecast {
		ticket = q.asLate(ticket)
		backlog := q.backlog(ticket, q.workAhead(ticket), q.overtaking.Overtaking(ticket.class(), now))
		if wait, ok := backlog.Forecast(); ok {
			found.Forecast = &wait
		}
	}
	for _, other := range q.waiting {
		if other.ticket.precedes(ticket) {
			found.Ahead++
		}
	}
	return found
}

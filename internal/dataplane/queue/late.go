package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
)

// reviewInterval is the time between two reviews of the waiting requests whose tickets ask for a forecast.
const reviewInterval = 20 * time.Millisecond

// Overtaking tells how many slots are taken by requests that go ahead of late ones of a class.
type Overtaking interface {
	Overtaking(class admission.Class, now time.Time) float64
}

// SetOvertaking replaces the measurement of those slots, to compare rules.
func (q *Queue) SetOvertaking(other Overtaking) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.overtaking = other
}

// LateCounts count requests whose tickets ask for a forecast and that could only be late.
type LateCounts struct {
	// Waited began to wait as late ones on arrival, Demoted did so after they had waited to be in time.
	Waited, Demoted uint64
	// Rejected were rejected on arrival, Withdrawn while they waited, as the forecast no longer held.
	Rejected, Withdrawn uint64
	// Started got a slot.
	Started uint64
}

// LateCounts returns the counts since the queue was created.
func (q *Queue) LateCounts() LateCounts {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.late
}

// admit decides whether a request may wait, and returns the ticket with which it does. The caller must hold
// the mutex.
func (q *Queue) admit(ticket Ticket, now time.Time) (Ticket, Refusal, time.Duration) {
	ticket.Forecast = ticket.Forecast && q.grants.Known(q.serviceTime, now)
	_, reason := q.expectedWait(ticket, now)
	if !ticket.Forecast || reason == RateLimited || !ticket.LatestStart.After(now) {
		ticket.Forecast = false
		refusal, wait := q.refusal(ticket, now)
		return ticket, refusal, wait
	}
	late := q.asLate(ticket)
	inTime := q.backlog(ticket, q.workAhead(ticket), q.grants.Recent(ticket.class(), now)).Shorter(q.guaranteedBacklog(ticket, now))
	arrival := admission.Arrival{
		InTime: inTime, MayWait: ticket.Due.Sub(now), Left: late.LatestStart.Sub(now), Elsewhere: ticket.Elsewhere,
		Late: q.backlog(late, q.workAhead(late), q.overtaking.Overtaking(late.class(), now)),
	}
	if ticket.Value == ValueLate {
		arrival.MayWait = -1
	}
	switch arrival.Decide() {
	case admission.Wait:
		return ticket, None, 0
	case admission.WaitLate:
		if arrival.Late.Ahead <= 0 {
			late.LatestStart = ticket.LatestStart // it starts now
		}
		return late, None, 0
	default:
		q.late.Rejected++
		return ticket, Busy, arrival.RetryIn()
	}
}

func (t Ticket) class() admission.Class {
	return admission.Class{Late: t.isLate(), Priority: t.Priority, Value: int(t.Value)}
}

// recordGrant records that a request gets a slot. The caller must hold the mutex.
func (q *Queue) recordGrant(ticket Ticket, now time.Time) {
	q.grants.Granted(ticket.class(), q.expected(ticket), now)
	if ticket.Forecast && ticket.Value == ValueLate {
		q.late.Started++
	}
}

// lateStartMargin is how much earlier than its latest start, in expected service times, a late request must
// start: it starts at the last moment more often than others, and its work may take longer than expected.
const lateStartMargin = 1

// asLate returns the ticket of a request that can only be late. Late requests are ordered by their latest
// start, so that as many as possible are served.
func (q *Queue) asLate(ticket Ticket) Ticket {
	ticket.LatestStart = ticket.LatestStart.Add(-lateStartMargin * q.expected(ticket))
	ticket.Value, ticket.Due = ValueLate, ticket.LatestStart
	return ticket
}

// workAhead returns the slot time of the waiting requests that precede a request. Those do not that may not take the
// slots which are free for it. The caller must hold the mutex.
func (q *Queue) workAhead(ticket Ticket) time.Duration {
	work, free := time.Duration(0), q.hasSlotFor(ticket)
	for _, other := range q.waiting {
		if other.ticket.precedes(ticket) && (!free || q.hasSlotFor(other.ticket)) {
			work += q.expected(other.ticket)
		}
	}
	return work
}

// backlog returns what a request waits for, given the expected slot time of the waiting requests that precede
// it and the slots that those take which will overtake it. Reserved slots that the request may not take count
// as taken. The caller must hold the mutex.
func (q *Queue) backlog(ticket Ticket, waitingAhead time.Duration, overtaking float64) admission.Backlog {
	ahead := q.stretched(waitingAhead)
	if !q.hasSlotFor(ticket) {
		ahead += q.serviceTime // until the next slot is free
	}
	reserved := q.slots - q.reservation.usable(ticket.Priority, q.slots)
	return admission.Backlog{Slots: q.slots, Ahead: ahead, Overtaking: max(overtaking, float64(reserved))}
}

// stretched converts expected slot time to the time for which slots are held.
func (q *Queue) stretched(expected time.Duration) time.Duration {
	return time.Duration(q.grants.Stretch() * float64(expected))
}

// countWaiting counts a request that begins to wait. The caller must hold the mutex.
func (q *Queue) countWaiting(ticket Ticket) {
	if ticket.Forecast && ticket.Value == ValueLate {
		q.late.Waited++
	}
}

// giveUpAt returns when a request has waited for as long as it may. If another instance may serve it, that is
// when it can no longer be in time here: it may find a free slot there.
func (t Ticket) giveUpAt(now time.Time) time.Time {
	latest := t.LatestStart
	switch {
	case t.Forecast && t.Elsewhere && t.Due.Before(latest):
		return t.Due
	case !t.Forecast && now.Add(t.MaxWait).Before(latest):
		return now.Add(t.MaxWait)
	default:
		return latest
	}
}

// scheduleReview reviews the waiting requests after an interval if any of them asks for a forecast. The
// caller must hold the mutex.
func (q *Queue) scheduleReview() {
	forecast := func(each *waiter) bool { return each.ticket.Forecast }
	if q.reviewPending || !slices.ContainsFunc(q.waiting, forecast) {
		return
	}
	q.reviewPending = true
	time.AfterFunc(reviewInterval, func() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.reviewPending = false
		q.review(time.Now())
		q.scheduleReview()
	})
}

// review moves the requests that can no longer be in time behind the others, and rejects those that will not
// start by their latest start. The caller must hold the mutex.
func (q *Queue) review(now time.Time) {
	q.demote(now)
	work := time.Duration(0)
	for _, each := range q.waiting.inOrder() {
		if q.waitsInVain(each.ticket, work, now) {
			q.withdraw(each, now)
			continue
		}
		work += q.expected(each.ticket)
	}
}

// waitsInVain reports whether a waiting request is not forecast to start by its latest start, given the expected
// slot time of those that precede it. While no slots are granted, as by an instance that hangs, none is. The only
// instance for a request keeps it while less urgent ones wait, which would get its slot. The caller must hold
// the mutex.
func (q *Queue) waitsInVain(ticket Ticket, workAhead time.Duration, now time.Time) bool {
	if !ticket.Forecast || ticket.Value != ValueLate || ticket.OnlyCandidate && q.waiting.hasLessUrgent(ticket) {
		return false
	}
	backlog := q.backlog(ticket, workAhead, q.overtaking.Overtaking(ticket.class(), now))
	return !q.grants.Known(q.serviceTime, now) || !backlog.Keeps(ticket.LatestStart.Sub(now))
}

// withdraw rejects a waiting request. The caller must hold the mutex.
func (q *Queue) withdraw(withdrawn *waiter, now time.Time) {
	q.late.Withdrawn++
	heap.Remove(&q.waiting, withdrawn.index)
	if !q.hasSlotFor(withdrawn.ticket) {
		q.refused(withdrawn.ticket, Busy, now)
	}
	withdrawn.result <- grantResult{refusal: Withdrawn}
}

// demote moves the requests that can no longer be in time behind the others. The caller must hold the mutex.
func (q *Queue) demote(now time.Time) {
	for _, each := range slices.Clone(q.waiting) {
		if each.ticket.Forecast && !each.ticket.Elsewhere && each.ticket.Value != ValueLate && !each.ticket.Due.After(now) {
			q.late.Demoted++
			each.ticket = q.asLate(each.ticket)
			heap.Fix(&q.waiting, each.index)
		}
	}
}

// countLate returns the number of the waiters that can only be late, by forecast.
func (w waiters) countLate() int {
	late := 0
	for _, each := range w {
		if each.ticket.Forecast && !each.ticket.Elsewhere && each.ticket.Value == ValueLate {
			late++
		}
	}
	return late
}

// inOrder returns the waiters in the order in which they get slots.
func (w waiters) inOrder() []*waiter {
	return slices.SortedFunc(slices.Values(w), func(a, b *waiter) int {
		switch {
		case a.ticket.precedes(b.ticket):
			return -1
		case b.ticket.precedes(a.ticket):
			return 1
		default:
			return 0
		}
	})
}

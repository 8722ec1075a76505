// Package queue grants the slots of one instance to requests. Requests are ordered by
// priority, then by the fair shares of their tenants, then by the value of their answer, then by
// due time, with short requests preferred over long ones. Slots go only to requests that can still
// meet their deadline; all others are refused as early as possible. While requests of priority 0
// arrive, slots are reserved for them from those of lower priority. A request whose ticket asks for a
// forecast waits even if it can only be late, as long as it is forecast to start by its latest start.
package queue

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
)

// Queue is safe for concurrent use.
type Queue struct {
	limiter RateLimiter

	mutex sync.Mutex
	// timerPending is set while a timer of scheduleGrant runs, which ends at grantAt.
	timerPending bool
	grantAt      time.Time
	slots        int
	running      int
	waiting      waiters
	// serviceTime is the mean time for which a request holds a slot.
	serviceTime time.Duration
	// grantedAt holds the time at which each slot in use was granted.
	grantedAt map[*Slot]time.Time
	fairness  fairness
	// reservation is nil unless ReserveByPriority was called.
	reservation *reservation
	// guarantee is set by GuaranteeShares, lateLast by PutLateLast.
	guarantee ShareGuarantee
	lateLast  bool
	// grants and late belong to the requests with forecasts; reviewPending is set while a timer of
	// scheduleReview runs.
	grants        *admission.Grants
	overtaking    Overtaking
	late          LateCounts
	reviewPending bool
}

// initialServiceTime is assumed as the mean service time before any request has ended.
const initialServiceTime = 100 * time.Millisecond

// New returns a Queue with the given number of slots.
func New(slots int) *Queue { return NewRateLimited(slots, unlimited{}) }

// NewRateLimited returns a Queue with the given number of slots and a limit on the rate at
// which requests start.
func NewRateLimited(slots int, limiter RateLimiter) *Queue {
	grants := admission.NewGrants()
	return &Queue{
		limiter: limiter, slots: max(slots, 1), serviceTime: initialServiceTime, grantedAt: make(map[*Slot]time.Time),
		fairness: maxMinShares{}, guarantee: noGuarantee{}, grants: grants, overtaking: grants,
	}
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.slots = max(slots, 1)
	q.grantWaiting(time.Now())
}

// LimitChanged applies a change of the rate limit to the requests that wait: those that can start now
// start, and those that would have to wait for too long are refused.
func (q *Queue) LimitChanged() {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.grantWaiting(now)
	q.refuseRateLimited(now)
}

// Usage returns the current usage.
func (q *Queue) Usage() Usage {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	late := q.waiting.countLate()
	return Usage{Running: q.running, Waiting: q.waiting.Len() - late, Slots: q.slots, Late: late}
}

// Wait returns how long a request that arrives now would wait for a slot.
func (q *Queue) Wait(ticket Ticket) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	wait, _ := q.expectedWait(q.ranked(ticket, now), now)
	return wait
}

// Backlog returns the expected time until all running and waiting requests have ended.
func (q *Queue) Backlog() time.Duration {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	total := time.Duration(0)
	for slot, since := range q.grantedAt {
		total += max(slot.expected-now.Sub(since), 0)
	}
	for _, other := range q.waiting {
		total += q.expected(other.ticket)
	}
	return total / time.Duration(q.slots)
}

// Slot is the permission to send one request to the instance.
type Slot struct {
	queue    *Queue
	once     sync.Once
	expected time.Duration
	priority int
}

// Release passes the slot to the next request. If ran is set, the instance processed the
// request, and its time counts towards the mean service time.
func (s *Slot) Release(ran bool) {
	s.once.Do(func() { s.queue.release(s, ran) })
}

// Acquire waits for a slot. If it returns none, it returns the reason and the time after
// which a slot is likely to be free.
func (q *Queue) Acquire(ctx context.Context, ticket Ticket) (*Slot, Refusal, time.Duration) {
	now := time.Now()
	q.mutex.Lock()
	ticket = q.ranked(ticket, now)
	q.arrived(ticket, now)
	ticket, refusal, wait := q.admit(ticket, now)
	if refusal != None {
		q.refused(ticket, refusal, now)
		q.mutex.Unlock()
		return nil, refusal, wait
	}
	if q.hasSlotFor(ticket) && q.waiting.Len() == 0 && q.limiter.Begin(now) == 0 {
		slot := q.grant(ticket, now)
		q.mutex.Unlock()
		return slot, None, 0
	}
	waiter := &waiter{ticket: ticket, giveUpAt: ticket.giveUpAt(now), result: make(chan grantResult, 1)}
	heap.Push(&q.waiting, waiter)
	q.countWaiting(ticket)
	q.grantWaiting(now)
	q.scheduleReview()
	q.mutex.Unlock()
	return q.await(ctx, waiter)
}

// Refusal reports whether and why a request would be refused now, and after which time a
// slot is likely to be free. It neither takes nor reserves a slot.
func (q *Queue) Refusal(ticket Ticket) (Refusal, time.Duration) {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	ticket = q.ranked(ticket, now)
	_, refusal, wait := q.admit(ticket, now)
	if refusal != None {
		q.arrived(ticket, now) // it asks for no slot any more
		q.refused(ticket, refusal, now)
	}
	return refusal, wait
}

// ranked returns a request with what the queue orders it by. The caller must hold the mutex.
func (q *Queue) ranked(ticket Ticket, now time.Time) Ticket {
	ticket.cost = q.expected(ticket)
	ticket.beyondShare = q.fairness.exceeds(ticket, now)
	ticket.lateLast = q.lateLast && ticket.Tenant == ""
	ticket.startBy, ticket.canBeDue = ticket.Due, ticket.Due.After(now)
	return ticket
}

// refusal implements Refusal for the given time. The caller must hold the mutex.
func (q *Queue) refusal(ticket Ticket, now time.Time) (Refusal, time.Duration) {
	if !ticket.LatestStart.After(now) {
		return Expired, 0
	}
	maxWait := ticket.MaxWait
	if ticket.OnlyCandidate && q.waiting.hasLessUrgent(ticket) {
		maxWait = ticket.LatestStart.Sub(now)
	}
	wait, refusal := q.expectedWait(ticket, now)
	if wait > maxWait || now.Add(wait).After(ticket.LatestStart) {
		return refusal, wait
	}
	return None, 0
}

// await waits until the waiter gets a slot or is refused. More urgent requests that arrive
// later may delay it for longer than was expected.
func (q *Queue) await(ctx context.Context, waiter *waiter) (*Slot, Refusal, time.Duration) {
	timer := time.NewTimer(time.Until(waiter.giveUpAt))
	defer timer.Stop()
	refusal, removed := Cancelled, false
	for pending := true; pending; {
		select {
		case received := <-waiter.result:
			return received.slot, received.refusal, q.meanServiceTime()
		case <-timer.C:
			refusal = q.waitRefusal(waiter.ticket)
			var extension time.Duration
			if removed, extension = q.expireWait(waiter); extension > 0 {
				timer.Reset(extension)
				continue
			}
		case <-ctx.Done():
			removed = q.remove(waiter)
		}
		pending = false
	}
	if removed {
		return nil, refusal, q.meanServiceTime()
	}
	received := <-waiter.result // sent before the waiter could be removed
	if refusal == Cancelled && received.slot != nil {
		received.slot.Release(false)
		return nil, refusal, 0
	}
	return received.slot, received.refusal, q.meanServiceTime()
}

// expireWait removes a waiter whose maximum wait is over, or returns for how long it may
// continue to wait. A waiter that continues goes behind those of its priority that can
// still start when they are due.
func (q *Queue) expireWait(waiter *waiter) (removed bool, extension time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if waiter.ticket.OnlyCandidate && q.waiting.hasLessUrgent(waiter.ticket) {
		if extension = time.Until(waiter.ticket.LatestStart); extension > 0 {
			q.waiting.postpone(waiter)
			return false, min(extension, recheckInterval)
		}
	}
	if removed = q.waiting.remove(waiter); removed && !q.hasSlotFor(waiter.ticket) {
		q.refused(waiter.ticket, Busy, time.Now())
	}
	return removed, 0
}

// recheckInterval is the time between two checks of whether a waiter beyond its maximum
// wait may continue to wait.
const recheckInterval = 20 * time.Millisecond

func (q *Queue) remove(waiter *waiter) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting.remove(waiter)
}

func (q *Queue) meanServiceTime() time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.serviceTime
}

// expectedWait returns how long a request would wait until those before it have started
// and a slot is free, and the reason if it were refused for that. The caller must hold the
// mutex.
func (q *Queue) expectedWait(ticket Ticket, now time.Time) (time.Duration, Refusal) {
	count, work := 0, time.Duration(0)
	for _, other := range q.waiting {
		if other.ticket.precedes(ticket) {
			count++
			work += q.expected(other.ticket)
		}
	}
	if !q.hasSlotFor(ticket) {
		work += q.serviceTime // until the next slot is free
	}
	slotWait, rateWait := work/time.Duration(q.reservation.usable(ticket.Priority, q.slots)), q.limiter.Delay(count, now)
	if guaranteed, ok := q.guaranteedBacklog(ticket, now).Forecast(); ok {
		slotWait = min(slotWait, guaranteed)
	}
	if rateWait > slotWait {
		return rateWait, RateLimited
	}
	return slotWait, Busy
}

func (q *Queue) expected(ticket Ticket) time.Duration {
	if ticket.Expected > 0 {
		return ticket.Expected
	}
	return q.serviceTime
}

// grant takes a slot for a request. The caller must hold the mutex.
func (q *Queue) grant(ticket Ticket, now time.Time) *Slot {
	q.running++
	q.fairness.granted(ticket, now)
	q.guarantee.Granted(ticket.Priority, ticket.cost, now)
	q.reservation.granted(ticket, now)
	q.recordGrant(ticket, now)
	slot := &Slot{queue: q, expected: q.expected(ticket), priority: ticket.Priority}
	q.grantedAt[slot] = now
	return slot
}

// serviceTimeSmoothing is the inverse weight of a new measurement in the mean service time.
const serviceTimeSmoothing = 16

func (q *Queue) release(slot *Slot, ran bool) {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := now.Sub(q.grantedAt[slot])
	q.reservation.released(slot.priority, held, ran)
	if ran {
		q.serviceTime += (held - q.serviceTime) / serviceTimeSmoothing
		q.grants.Released(slot.expected, held)
	}
	delete(q.grantedAt, slot)
	q.running--
	q.grantWaiting(now)
}

// grantWaiting grants free slots to waiters. The caller must hold the mutex.
func (q *Queue) grantWaiting(now time.Time) {
	q.reservation.update(q.slots, q.guarantee, now)
	for next := q.next(now); next != nil; next = q.next(now) {
		if !next.ticket.LatestStart.After(now) {
			heap.Remove(&q.waiting, next.index)
			next.result <- grantResult{refusal: Expired}
			continue
		}
		if delay := q.limiter.Begin(now); delay > 0 {
			q.scheduleGrant(delay, now)
			return
		}
		heap.Remove(&q.waiting, next.index)
		next.result <- grantResult{slot: q.grant(next.ticket, now)}
	}
	q.recheckReserve(now)
}

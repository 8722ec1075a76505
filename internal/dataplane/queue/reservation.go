package queue

import (
	"math"
	"time"
)

const (
	// classCount is the number of priorities that are told apart. All beyond share the last class.
	classCount = 8
	// urgentMemory is how long slots are reserved after the last request of priority 0.
	urgentMemory = 3 * time.Second
	// minUrgentShare is the share of priority 0 among the requests from which slots are reserved. Routes without a
	// priority have 0 as well: the few requests of test or administrative routes reserve nothing.
	minUrgentShare = 0.2
	// reservationInterval is the time between two computations of the reserves.
	reservationInterval = 100 * time.Millisecond
	// loadWindow is the time over which the arrivals of a class are averaged.
	loadWindow = 2 * time.Second
	// negligibleArrivals is the number of requests, weighted by age, below which a class is not in use.
	negligibleArrivals = 0.1
	// heldSmoothing is the inverse weight of a new measurement in the mean time for which a class holds a slot.
	heldSmoothing = 16
)

// class is a priority from 0 to classCount-1.
type class int

func classOf(priority int) class { return class(min(max(priority, 0), classCount-1)) }

// classLoad is the load that the requests of one class offer, served or not.
type classLoad struct {
	// arrivals is the number of requests, weighted by age.
	arrivals float64
	// held is the mean time for which a request holds a slot; zero until one has ended.
	held time.Duration
	// running is the number of slots that the class holds.
	running int
}

// reservation keeps slots free for requests of higher priority: those held by a class and by all classes
// after it are limited. It applies only while requests of priority 0 arrive. It does no I/O. A nil
// reservation limits nothing.
type reservation struct {
	size  sizing
	loads [classCount]classLoad
	// boundaries holds, for each class, what is reserved for the classes before it.
	boundaries [classCount]boundary
	updatedAt  time.Time
	// urgentAt is when the last request of priority 0 arrived while enough of the requests had that priority.
	urgentAt time.Time
}

// boundary is the reserve that separates a class and all after it from the classes before it.
type boundary struct {
	// reserved is the number of slots that the class and those after it may not hold.
	reserved int
	// load is the number of slots that the classes before it ask for on average.
	load float64
	// waits counts the requests of these classes whose wait has ended, and overdue those that got no slot
	// by their due time. They are weighted by age.
	waits, overdue float64
	// changedAt is when the reserve last changed.
	changedAt time.Time
}

// sizing returns the slots to reserve at a boundary.
type sizing func(at *boundary, slots int, now time.Time) int

func newReservation(size sizing) *reservation { return &reservation{size: size} }

// arrived counts a new request that asks for a slot.
func (r *reservation) arrived(ticket Ticket, now time.Time) {
	if r == nil {
		return
	}
	asking := classOf(ticket.Priority)
	r.loads[asking].arrivals++
	if asking == 0 && r.loads[0].arrivals >= minUrgentShare*r.arrivals() {
		r.urgentAt = now
	}
}

// arrivals returns the number of requests of all classes, weighted by age.
func (r *reservation) arrivals() float64 {
	sum := 0.0
	for _, load := range r.loads {
		sum += load.arrivals
	}
	return sum
}

// waited counts the end of a request's wait for a slot, which it got or not. A request that was due before
// it arrived says nothing about the reserve.
func (r *reservation) waited(ticket Ticket, granted bool, now time.Time) {
	if r == nil || !ticket.canBeDue {
		return
	}
	for each := classOf(ticket.Priority) + 1; each < classCount; each++ {
		r.boundaries[each].waits++
		if !granted || now.After(ticket.startBy) {
			r.boundaries[each].overdue++
		}
	}
}

// granted counts a slot that a request gets.
func (r *reservation) granted(ticket Ticket, now time.Time) {
	if r == nil {
		return
	}
	r.loads[classOf(ticket.Priority)].running++
	r.waited(ticket, true, now)
}

// released counts a slot that a request returns. If ran is set, the request held it for as long as its
// processing took.
func (r *reservation) released(priority int, held time.Duration, ran bool) {
	if r == nil {
		return
	}
	load := &r.loads[classOf(priority)]
	load.running--
	switch {
	case !ran:
	case load.held == 0:
		load.held = held
	default:
		load.held += (held - load.held) / heldSmoothing
	}
}

// limit returns the number of slots that a class may hold together with those after it.
func (r *reservation) limit(of class, slots int) int {
	return max(slots-r.boundaries[of].reserved, 1)
}

// usable returns the number of slots that requests of a priority may use.
func (r *reservation) usable(priority, slots int) int {
	if r == nil {
		return slots
	}
	return r.limit(classOf(priority), slots)
}

// admits reports whether a request of a priority may take one of the free slots. If it may not, neither may
// one of a lower priority, as each limit includes all classes after its own.
func (r *reservation) admits(priority, slots int) bool {
	if r == nil {
		return true
	}
	for each, held := class(classCount-1), 0; each >= 0; each-- {
		held += r.loads[each].running
		if each <= classOf(priority) && held >= r.limit(each, slots) {
			return false
		}
	}
	return true
}

// update computes the reserves anew if that is due. They leave each class what it is guaranteed.
func (r *reservation) update(slots int, guarantee ShareGuarantee, now time.Time) {
	if r == nil || now.Sub(r.updatedAt) < reservationInterval {
		return
	}
	factor := math.Exp(-now.Sub(r.updatedAt).Seconds() / loadWindow.Seconds())
	r.updatedAt = now
	ahead, reserved := 0.0, 0
	guaranteed := guaranteedFrom(guarantee, now)
	for each := range r.boundaries {
		at := &r.boundaries[each]
		at.load = ahead
		at.waits *= factor
		at.overdue *= factor
		if each > 0 {
			reserved = max(reserved, min(r.sizeOf(at, slots, now), slots-1, slots-int(math.Ceil(guaranteed[each]*float64(slots)))))
		}
		if at.reserved != reserved {
			at.reserved, at.changedAt = reserved, now
		}
		load := &r.loads[each]
		load.arrivals *= factor
		ahead += load.arrivals * load.held.Seconds() / loadWindow.Seconds()
	}
}

// guaranteedFrom returns the share of the slot time that each class and all after it are guaranteed.
func guaranteedFrom(guarantee ShareGuarantee, now time.Time) (shares [classCount]float64) {
	sum := 0.0
	for each := classCount - 1; each >= 0; each-- {
		sum += guarantee.Guaranteed(each, now)
		shares[each] = sum
	}
	return shares
}

func (r *reservation) sizeOf(at *boundary, slots int, now time.Time) int {
	if now.Sub(r.urgentAt) > urgentMemory {
		return 0
	}
	return r.size(at, slots, now)
}

// reserved returns the reserve for the lowest priority of which requests arrived in the last seconds.
func (r *reservation) reserved() int {
	if r == nil {
		return 0
	}
	lowest := classCount - 1
	for lowest > 0 && r.loads[lowest].arrivals < negligibleArrivals {
		lowest--
	}
	return r.boundaries[lowest].reserved
}

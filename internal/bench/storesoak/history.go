package storesoak

import (
	"slices"
	"sync"
	"time"
)

// settleTime is how long after the end of a fault time bounds do not apply yet.
const settleTime = 3 * time.Second

// faultSpan is the time during which a fault was active.
type faultSpan struct {
	fault    fault
	from, to time.Time // to is zero while the fault is active
}

// history records the injected faults with their times. It is safe for concurrent use.
type history struct {
	mutex sync.Mutex
	spans []*faultSpan
	// lastFaultEnded is when the last fault was undone.
	lastFaultEnded time.Time
}

func (h *history) begin(begun fault) *faultSpan {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	created := &faultSpan{fault: begun, from: time.Now()}
	h.spans = append(h.spans, created)
	return created
}

// recordStart records the start of the fleet as a fault of all machines, since nodes need
// settleTime after it too.
func (h *history) recordStart(f *fleet, from time.Time) {
	var all []int
	for _, m := range f.machines {
		all = append(all, m.number)
	}
	h.end(h.begin(fault{name: "start of the fleet", machines: all, impaired: all, ofProcess: true}))
	h.spans[0].from = from
}

func (h *history) end(ended *faultSpan) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ended.to = time.Now()
}

// during returns the faults that were active, or had ended less than settleTime before, at
// some moment between from and to.
func (h *history) during(from, to time.Time) (found []*faultSpan) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, each := range h.spans {
		if each.from.Before(to) && (each.to.IsZero() || each.to.Add(settleTime).After(from)) {
			found = append(found, each)
		}
	}
	return found
}

// isFaultFree reports whether no fault affected the time between from and to.
func (h *history) isFaultFree(from, to time.Time) bool { return len(h.during(from, to)) == 0 }

// onlyPlanned reports whether planned maintenance of a machine, and no other fault, affected
// the time between from and to.
func (h *history) onlyPlanned(machine int, from, to time.Time) bool {
	found := h.during(from, to)
	for _, each := range found {
		if !each.fault.planned || !slices.Contains(each.fault.machines, machine) {
			return false
		}
	}
	return len(found) > 0
}

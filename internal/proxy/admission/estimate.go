package admission

import "time"

// estimate is a moving average of how long a request holds its slot.
type estimate struct{ mean float64 } // nanoseconds; zero: no sample yet

// estimateGain is the weight of a new sample.
const estimateGain = 0.1

func (e *estimate) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean = float64(sample)
		return
	}
	e.mean += estimateGain * (float64(sample) - e.mean)
}

// expectedWait is how long a request of the route that arrives now would wait for
// a slot: the slots that must come free first, over the rate at which they do.
func (q *Queue) expectedWait(r *route) time.Duration {
	slots := max(min(q.limits.Slots, q.limits.Connections-q.sessions), 1)
	wait := q.hold.mean * float64(q.ahead(r)+1) / float64(slots)
	if r.limits.MaxInFlight > 0 {
		own := q.hold.mean * float64(len(r.waiting)+1) / float64(r.limits.MaxInFlight)
		wait = max(wait, own)
	}
	return time.Duration(wait)
}

// ahead counts the requests that get a slot before a new one of the route: its own
// and, of each other route, as many as its weight gives it meanwhile.
func (q *Queue) ahead(r *route) int {
	own := len(r.waiting)
	total := own
	for _, other := range q.ring.routes {
		if other == r {
			continue
		}
		turns := (own + 1) * other.weight() / r.weight()
		total += min(len(other.waiting), max(turns, 1))
	}
	return total
}

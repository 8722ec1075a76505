package admission

import "time"

// movingAverage is an exponential moving average of how long a request holds its slot.
type movingAverage struct{ mean float64 } // in nanoseconds; zero: no sample yet

// averageGain is the weight of a new sample.
const averageGain = 0.1

func (e *movingAverage) add(sample time.Duration) {
	if e.mean == 0 {
		e.mean = float64(sample)
		return
	}
	e.mean += averageGain * (float64(sample) - e.mean)
}

// expectedWait estimates how long a request of the route that arrives now would wait
// for a slot: the number of slots that must be released first, divided by the rate at
// which slots are released.
func (q *Queue) expectedWait(r *route) time.Duration {
	slots := max(min(q.limits.Slots, q.limits.Connections-q.sessions), 1)
	wait := q.holdTime.mean * float64(q.requestsAhead(r)+1) / float64(slots)
	if r.limits.MaxInFlight > 0 {
		own := q.holdTime.mean * float64(len(r.waiting)+1) / float64(r.limits.MaxInFlight)
		wait = max(wait, own)
	}
	return time.Duration(wait)
}

// requestsAhead estimates how many waiting requests get a slot before a new one of the
// route: all of its own and, of each other route, as many as that route's weight allows
// in the meantime.
func (q *Queue) requestsAhead(r *route) int {
	own := len(r.waiting)
	total := own
	for _, other := range q.roundRobin.routes {
		if other == r {
			continue
		}
		turns := (own + 1) * other.weight() / r.weight()
		total += min(len(other.waiting), max(turns, 1))
	}
	return total
}

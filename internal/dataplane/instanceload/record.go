package instanceload

import "time"

const (
	// freshTime is how long a load counts after its answer has arrived.
	freshTime = 300 * time.Millisecond
	// overtakeTime is how soon after another answer one must arrive to be taken for overtaken by it. With 20 ms and
	// more, and with the order of sending alone, the answers of long requests are missed too often.
	overtakeTime = 5 * time.Millisecond
)

// Record is the newest load that the answers of an instance have stated. The zero value holds none.
type Record struct {
	load           Load
	sent, received time.Time
}

// Observe adds the load of an answer that arrived at received to a request sent at sent, and reports
// whether it is the newest. Of two answers that arrived within overtakeTime, the one to the request that
// was sent later counts as newer; otherwise the one that arrived later.
func (r *Record) Observe(load Load, sent, received time.Time) bool {
	if sent.Before(r.sent) && received.Sub(r.received) < overtakeTime {
		return false
	}
	r.load, r.sent, r.received = load, sent, received
	return true
}

// StatesSlowdown reports whether the newest load states how long work takes, however old it is.
func (r *Record) StatesSlowdown() bool { return r.load.SlowdownPercent > 0 }

// SlowdownPercent returns how long work takes at the moment, in percent of the instance's usual time;
// zero if the newest load does not state it or is too old.
func (r *Record) SlowdownPercent(now time.Time) int {
	if now.Sub(r.received) > freshTime {
		return 0
	}
	return r.load.SlowdownPercent
}

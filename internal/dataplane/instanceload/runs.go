package instanceload

import (
	"slices"
	"time"
)

// abandonedServiceTimes is how many times its expected service time a request counts as running from its
// start after its caller has left, and at least once from then on. Longer work is rare, and an instance
// that does not go on must not lose its slots for long.
const abandonedServiceTimes = 2

// Run is a request that was sent to the instance.
type Run struct {
	sent time.Time
	// peak is the largest number of requests that were in progress at the same time as this one.
	peak int
	// answered is set once the header of its answer has arrived.
	answered bool
	// abandonedUntil is when an abandoned request counts as ended at the latest.
	abandonedUntil time.Time
}

// Until returns when an abandoned request counts as ended at the latest.
func (r *Run) Until() time.Time { return r.abandonedUntil }

// Runs are the requests of the sidecar that the instance works on. As nobody else sends requests to the
// instance, its load is the sum of those in progress and those that were abandoned, on which it goes on
// until the load shows that it does not. What is in progress here may have been answered already when the
// load was determined, with that answer still on its way. So a load is applied FlightTime after it arrived:
// what is still in progress then was running at the instance. No more requests count as abandoned than were.
type Runs struct {
	inProgress, abandoned []*Run
	unsettled             []*unsettledLoad
	// countsAnswered is set once a load has shown that it includes the request with whose answer it came.
	countsAnswered bool
	// expired is set once an abandoned request was counted as ended because of its age. If it still runs,
	// the load seems to include one request more than it does.
	expired bool
}

// FlightTime is how long an answer takes from the instance to the sidecar at most. Both run on one machine,
// so only a wait for the processor takes milliseconds.
const FlightTime = 20 * time.Millisecond

// unsettledLoad is a load that has arrived less than FlightTime ago.
type unsettledLoad struct {
	total    int
	received time.Time
	// running are the requests that the load includes, unless they end before it is settled: they were sent
	// before the request with whose answer the load came.
	running []*Run
	// abandoned are the requests that were abandoned then and sent before that request.
	abandoned []*Run
}

// Begin adds a request that is sent now.
func (r *Runs) Begin(now time.Time) *Run {
	run := &Run{sent: now}
	r.inProgress = append(r.inProgress, run)
	for _, each := range r.inProgress {
		each.peak = max(each.peak, len(r.inProgress))
	}
	return run
}

// Answered records that the header of the answer to a request has arrived. Its body may still be on its way, but
// whether the instance counts the request as running is not known any more.
func (r *Runs) Answered(run *Run, now time.Time) {
	run.answered = true
	for _, each := range r.unsettled {
		if now.Sub(each.received) < FlightTime {
			each.running = remove(each.running, run)
		}
	}
}

// End removes a request from those in progress.
func (r *Runs) End(run *Run, now time.Time) {
	r.Answered(run, now)
	r.inProgress = remove(r.inProgress, run)
}

// Abandon makes a request one on which the instance may go on although it gets no answer any more.
// expected is its expected service time.
func (r *Runs) Abandon(run *Run, expected time.Duration, now time.Time) {
	r.End(run, now)
	run.answered = false
	run.abandonedUntil = now.Add(expected)
	if until := run.sent.Add(abandonedServiceTimes * expected); until.After(run.abandonedUntil) {
		run.abandonedUntil = until
	}
	r.abandoned = append(r.abandoned, run)
}

// Observe records the load of the answer to a request, after Answered and before End, and reports whether Settle
// must be called FlightTime later. executed is false if the answer rejects the request.
func (r *Runs) Observe(run *Run, load Load, executed bool, now time.Time) (settle bool) {
	total := load.Running + load.Waiting
	if len(r.abandoned) == 0 {
		r.countsAnswered = r.countsAnswered || executed && !r.expired && total >= run.peak
		return false
	}
	observed := &unsettledLoad{total: total, received: now, running: sentBefore(r.inProgress, run), abandoned: sentBefore(r.abandoned, run)}
	if executed && r.countsAnswered {
		observed.total--
	}
	r.unsettled = append(r.unsettled, observed)
	return true
}

// sentBefore returns the unanswered requests that were sent before another one.
func sentBefore(runs []*Run, other *Run) []*Run {
	return slices.DeleteFunc(slices.Clone(runs), func(each *Run) bool { return each.answered || !each.sent.Before(other.sent) })
}

// Settle applies the loads that arrived FlightTime ago, and returns the abandoned requests that have ended
// according to them.
func (r *Runs) Settle(now time.Time) (ended []*Run) {
	for len(r.unsettled) > 0 && now.Sub(r.unsettled[0].received) >= FlightTime {
		ended = append(ended, r.apply(r.unsettled[0])...)
		r.unsettled = r.unsettled[1:]
	}
	return ended
}

// apply removes and returns abandoned requests if a load leaves room for fewer of them: those that count as
// ended first.
func (r *Runs) apply(settled *unsettledLoad) (ended []*Run) {
	covered := slices.DeleteFunc(settled.abandoned, func(each *Run) bool { return !slices.Contains(r.abandoned, each) })
	excess := max(settled.total-len(settled.running), 0)
	if len(covered) <= excess {
		return nil
	}
	slices.SortStableFunc(covered, func(a, b *Run) int { return a.abandonedUntil.Compare(b.abandonedUntil) })
	ended = covered[:len(covered)-excess]
	r.abandoned = slices.DeleteFunc(r.abandoned, func(each *Run) bool { return slices.Contains(ended, each) })
	return ended
}

// Expire removes an abandoned request that counts as ended, and reports whether it was still abandoned.
func (r *Runs) Expire(run *Run) bool {
	before := len(r.abandoned)
	r.abandoned = remove(r.abandoned, run)
	removed := len(r.abandoned) < before
	r.expired = r.expired || removed
	return removed
}

// Crashed removes and returns all abandoned requests, as the instance runs none any more.
func (r *Runs) Crashed() []*Run {
	ended := r.abandoned
	r.abandoned = nil
	return ended
}

// Abandoned returns the number of abandoned requests on which the instance may still work.
func (r *Runs) Abandoned() int { return len(r.abandoned) }

// remove removes one request.
func remove(runs []*Run, gone *Run) []*Run {
	return slices.DeleteFunc(runs, func(each *Run) bool { return each == gone })
}

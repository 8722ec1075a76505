package budget

import (
	"sync"
	"time"
)

// Again tells how far a request is a repeat, as its sender knows it.
type Again struct {
	// Probability, from 0 to 1, that it is a repeat.
	Probability float64
	// Failed says that an instance answered before that the request failed.
	Failed bool
}

// certain reports whether an instance certainly got the request before.
func (a Again) certain() bool { return a.Probability >= 1 }

// calls is what the run is expected to call again, as a multiple of the mean of all runs.
func (a Again) calls() float64 {
	if a.Failed {
		return callsAfterFailure * a.Probability
	}
	return a.Probability
}

// Run is one request that the instance beside the node works on.
type Run struct {
	accounts       *Accounts
	first, repeats float64
	once           sync.Once
}

// Fits reports whether the calls of a run that is a repeat would be within this node's part of the
// bound of each service that runs of the instance call.
func (a *Accounts) Fits(again Again, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.runs.advance(bucketOf(now, a.options.Window))
	return a.fits(again, now)
}

// Begin notes a request that goes to the instance beside the node. The calls that it will
// make count as repeats as far as it is one. One that certainly is a repeat is not admitted
// when its calls don't fit; any other is.
func (a *Accounts) Begin(again Again, now time.Time) (run *Run, admitted bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.runs.advance(bucketOf(now, a.options.Window))
	if again.certain() && !a.fits(again, now) {
		return nil, false
	}
	if again.Probability > 0 {
		a.charge(again, now)
	}
	a.runs.add(1)
	run = &Run{accounts: a, first: 1 - again.Probability, repeats: again.calls()}
	a.firsts += run.first
	a.repeats += run.repeats
	return run, true
}

// End notes that the instance has ended with the request.
func (r *Run) End() {
	r.once.Do(func() {
		r.accounts.mutex.Lock()
		defer r.accounts.mutex.Unlock()
		r.accounts.firsts -= r.first
		r.accounts.repeats -= r.repeats
	})
}

// fits is Fits for the buckets as they are. The mutex is held.
func (a *Accounts) fits(again Again, now time.Time) bool {
	for service := range a.services {
		found := a.of(service, now)
		if calls := a.fanOut(found); calls > 0 && found.repeats.most()+again.calls()*calls > a.allowed(found, now) {
			return false
		}
	}
	return true
}

// charge takes the calls of a run as far as it is a repeat. The mutex is held.
func (a *Accounts) charge(again Again, now time.Time) {
	for service := range a.services {
		found := a.of(service, now)
		if calls := a.fanOut(found); calls > 0 {
			found.repeats.add(again.calls() * calls)
		}
	}
}

// fanOut is how many calls to a service a run of the instance makes in the mean. The mutex
// is held.
func (a *Accounts) fanOut(found *account) float64 {
	calls := found.calls.most() / max(a.runs.most(), 1)
	if calls < leastFanOut {
		return 0
	}
	return calls
}

// repeatShare is the probability that a call which the instance makes now is one of a
// repeated run. The mutex is held.
func (a *Accounts) repeatShare() float64 {
	const none = 1e-6 // what is left of sums that rounding keeps from zero
	if a.repeats < none {
		return 0
	}
	return min(a.repeats/(a.repeats+max(a.firsts, 0)), mostInherited)
}

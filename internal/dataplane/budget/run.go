package budget

import (
	"sync"
	"time"
)

// Repetition is what the sender of a request knows about it being a repeat.
type Repetition struct {
	// Probability is the probability, from 0 to 1, that the request is a repeat.
	Probability float64
	// Failed is set if an instance answered before that the request failed.
	Failed bool
}

// certain reports whether an instance has certainly received the request before.
func (r Repetition) certain() bool { return r.Probability >= 1 }

// callFactor returns how many calls the run is expected to repeat, as a multiple of the mean
// number of calls of all runs.
func (r Repetition) callFactor() float64 {
	if r.Failed {
		return failedCallFactor * r.Probability
	}
	return r.Probability
}

// Run is one request that the local instance is processing.
type Run struct {
	accounts                  *Accounts
	firstWeight, repeatWeight float64
	once                      sync.Once
}

// Fits reports whether the calls of a repeated run would stay within this node's part of the
// bound of each service that the instance calls.
func (a *Accounts) Fits(repetition Repetition, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.runs.advance(bucketOf(now, a.options.Window))
	return a.fits(repetition, now)
}

// Begin records a request that is sent to the local instance. The calls that it will make
// count as repeats in proportion to the probability that it is one. A certain repeat is not
// admitted if its calls do not fit; any other request is.
func (a *Accounts) Begin(repetition Repetition, now time.Time) (run *Run, admitted bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.runs.advance(bucketOf(now, a.options.Window))
	if repetition.certain() && !a.fits(repetition, now) {
		return nil, false
	}
	if repetition.Probability > 0 {
		a.charge(repetition, now)
	}
	a.runs.add(1)
	run = &Run{accounts: a, firstWeight: 1 - repetition.Probability, repeatWeight: repetition.callFactor()}
	a.activeFirsts += run.firstWeight
	a.activeRepeats += run.repeatWeight
	return run, true
}

// End records that the instance has finished processing the request.
func (r *Run) End() {
	r.once.Do(func() {
		r.accounts.mutex.Lock()
		defer r.accounts.mutex.Unlock()
		r.accounts.activeFirsts -= r.firstWeight
		r.accounts.activeRepeats -= r.repeatWeight
	})
}

// fits implements Fits for the current buckets. The caller must hold the mutex.
func (a *Accounts) fits(repetition Repetition, now time.Time) bool {
	for service := range a.services {
		found := a.accountOf(service, now)
		if calls := a.fanOut(found); calls > 0 && found.repeats.upperSum()+repetition.callFactor()*calls > a.allowed(found, now) {
			return false
		}
	}
	return true
}

// charge counts the expected calls of a run as repeats, in proportion to the probability
// that it is one. The caller must hold the mutex.
func (a *Accounts) charge(repetition Repetition, now time.Time) {
	for service := range a.services {
		found := a.accountOf(service, now)
		if calls := a.fanOut(found); calls > 0 {
			found.repeats.add(repetition.callFactor() * calls)
		}
	}
}

// fanOut returns the mean number of calls to a service per run of the instance. The caller
// must hold the mutex.
func (a *Accounts) fanOut(found *account) float64 {
	calls := found.calls.upperSum() / max(a.runs.upperSum(), 1)
	if calls < minFanOut {
		return 0
	}
	return calls
}

// repeatShare returns the probability that a call which the instance makes now is one of a
// repeated run. The caller must hold the mutex.
func (a *Accounts) repeatShare() float64 {
	const epsilon = 1e-6 // covers the rounding errors of a sum that is zero
	if a.activeRepeats < epsilon {
		return 0
	}
	return min(a.activeRepeats/(a.activeRepeats+max(a.activeFirsts, 0)), maxInherited)
}

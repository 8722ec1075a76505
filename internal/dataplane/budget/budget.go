// Package budget limits the repeats that a fleet sends to the instances of a service, that
// is all sends beyond the first of each request. The bound in each time window is a ratio of
// the requests for the service plus a slack. It covers the whole call graph: a run (the
// execution of a request at an instance) that is a repeat makes its calls again, and these
// count as repeats at the called service.
//
// The nodes do not coordinate. All sends of a request are made by the node at which it
// starts, and the calls of a run start at the node of its instance. Each node therefore
// limits what starts there by its own requests and an equal part of the slack. The bounds of
// the nodes add up to that of the fleet, whichever nodes start, stop or are unreachable.
package budget

import (
	"sync"
	"time"
)

// Options set the bound of a fleet.
type Options struct {
	// Ratio is the number of repeats allowed per request.
	Ratio float64
	// Slack is the number of further repeats that the fleet may make in a window.
	Slack float64
	// Window is the length of the time window for both.
	Window time.Duration
	// FirstStart is set if no process of this node ran before. It is used by New only.
	FirstStart bool
}

const (
	// UsableShare is the fraction of a node's part of the bound that the node uses. The rest is
	// a margin, because the share of repeated calls and the calls per run are estimates:
	// TestFleetKeepsTheBound uses up to 0.9 of the bound.
	UsableShare = 0.8
	// failedCallFactor is the number of calls made by a run whose request failed at an
	// instance before, as a multiple of the mean of all runs. It is an upper bound: requests that
	// make more calls than the mean fail more often, because their calls may fail. Such
	// a run makes 1.9 calls where the mean is 1.4.
	failedCallFactor = 2
	// maxInherited caps the estimated probability that a call of the instance belongs to a
	// repeated run (repeatShare). It is below 1 because Begin may refuse a request whose
	// probability is 1, which must mean that an instance has certainly received it before.
	maxInherited = 0.99
	// minFanOut is the mean number of calls per run to a service below which they are ignored.
	minFanOut = 0.02
	// maxServices limits the number of services that are tracked.
	maxServices = 10_000
)

// Accounts counts the requests and repeats that start at one node, those of external callers
// and those of the node's local instance. It is safe for concurrent use.
type Accounts struct {
	mutex   sync.Mutex
	options Options
	// firstStart is set if no process of this node ran before this one.
	firstStart bool
	// firstRequestAt is when the first request arrived; zero if none did.
	firstRequestAt time.Time
	services       map[string]*account
	// listed is the number of instances that the node lists, each of which has a node that
	// makes repeats. Its buckets are as long as the window, as entries may be missing for
	// minutes.
	listed slidingWindow
	// runs counts the runs that the local instance has started.
	runs slidingWindow
	// activeFirsts and activeRepeats are sums over the requests that the instance is processing.
	// Each request adds 1 minus its probability of being a repeat to activeFirsts, and its
	// callFactor to activeRepeats.
	activeFirsts, activeRepeats float64
}

// New returns empty Accounts.
func New(options Options) *Accounts {
	return &Accounts{options: options, firstStart: options.FirstStart, services: make(map[string]*account)}
}

// SetOptions changes the bound. If the window changes, all counts are reset.
func (a *Accounts) SetOptions(options Options) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if options.Window != a.options.Window {
		a.services, a.listed, a.runs, a.firstRequestAt = make(map[string]*account), slidingWindow{}, slidingWindow{}, time.Time{}
	}
	a.options = options
}

// SetInstanceCount records how many instances the node lists now.
func (a *Accounts) SetInstanceCount(instances int, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.listed.advance(windowOf(now, a.options.Window))
	a.listed.raiseTo(float64(instances))
}

// RecordRequest records a request for a service that starts at this node. isCall is set if the
// local instance sent it or may have sent it. The result is the probability, from 0 to 1,
// that the request is a call made by a repeated run.
func (a *Accounts) RecordRequest(service string, isCall bool, now time.Time) (inherited float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.accountOf(service, now)
	if a.firstRequestAt.IsZero() {
		a.firstRequestAt = now
	}
	if isCall {
		inherited = a.repeatShare()
		found.calls.add(1)
	}
	found.requests.add(1 - inherited)
	return inherited
}

// ReserveRepeat reports whether the node's part of the bound allows a further send of a request to
// a service, and counts the send if it does.
func (a *Accounts) ReserveRepeat(service string, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.accountOf(service, now)
	if found.repeats.upperSum()+1 > a.allowed(found, now) {
		return false
	}
	found.repeats.add(1)
	return true
}

// ReturnRepeat returns a repeat that reached no instance to the budget.
func (a *Accounts) ReturnRepeat(service string, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.accountOf(service, now).repeats.add(-1)
}

// State returns how many repeats were made for a service in the window that ends now, and
// how many are allowed.
func (a *Accounts) State(service string, now time.Time) (spent, allowed float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.accountOf(service, now)
	return found.repeats.upperSum(), a.allowed(found, now)
}

// accountOf returns the account of a service as of now. The caller must hold the mutex.
func (a *Accounts) accountOf(service string, now time.Time) *account {
	found := a.services[service]
	if found == nil {
		if len(a.services) >= maxServices {
			a.services = make(map[string]*account)
		}
		found = &account{}
		a.services[service] = found
	}
	found.advance(bucketOf(now, a.options.Window))
	return found
}

// allowed returns this node's part of the bound. The caller must hold the mutex.
func (a *Accounts) allowed(found *account, now time.Time) float64 {
	return UsableShare * (a.options.Ratio*found.requests.lowerSum() + a.slack(now))
}

// slack returns this node's part of the slack. A new process does not know how much of it the
// process before used, which may be all, and therefore has none for the first window. The
// divisor is the highest recent number of listed instances, because a node continues to make
// repeats while the entry of its instance is missing. The caller must hold the mutex.
func (a *Accounts) slack(now time.Time) float64 {
	windowPassed := !a.firstRequestAt.IsZero() && now.Sub(a.firstRequestAt) >= a.options.Window
	if !windowPassed && !a.firstStart {
		return 0
	}
	a.listed.advance(windowOf(now, a.options.Window))
	return a.options.Slack / max(a.listed.maximum(), 1)
}

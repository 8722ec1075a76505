package storesoak

import (
	"net/http"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/bench/repeatcheck"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/settings"
)

// Report is the result of one soak. Counts are of calls unless stated otherwise.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Faults  int     `json:"faults"`
	Changes int     `json:"configuration_changes"`

	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`

	// RanTwice are unsafe calls that ran more than once.
	RanTwice int `json:"doubled"`
	// RanRefused are unsafe calls that ran although they were refused as not executed.
	RanRefused int `json:"ran_though_refused"`
	// Wrong got a response that is not that of one of their own runs.
	Wrong int `json:"wrong"`
	// NoRetryAfter were refused as not executed without a Retry-After header.
	NoRetryAfter int `json:"untold"`
	// UnmatchedRuns are runs that match no call that was sent, or ran at another service than that
	// of the route.
	UnmatchedRuns int `json:"unasked"`
	// RolledBack were handled with an older configuration than an earlier call to the same
	// process.
	RolledBack int `json:"went_back"`
	// Invalid were handled in a way that no version of the configuration allows.
	Invalid int `json:"handled_as_no_version_says"`
	// Lost got no response because of planned maintenance.
	Lost int `json:"lost"`
	// ColdOverloads are instances that were overloaded while they were cold.
	ColdOverloads int `json:"fell_over"`
	// ColdTurns counts how often an instance turned cold while it ran. MostWhileCold is the most requests that
	// began in a second at an instance that had.
	ColdTurns     int `json:"cold_turns"`
	MostWhileCold int `json:"most_while_cold"`
	// Crashes counts the crashes by requests that crash instances.
	Crashes int `json:"crashes"`
	// AfterThirdCrash is how often such a request still reached instances when it had crashed
	// three and the nodes had had time to learn of that. Reads and writes are counted
	// separately; this is the larger count.
	AfterThirdCrash int `json:"after_third_crash"`
	// WronglyRefused are other calls that were refused as if they crashed instances.
	WronglyRefused int `json:"shut_out"`
	// LateAnswers got their response later than a time bound that no fault suspended.
	LateAnswers int `json:"late_answers"`
	// LateChanges were handled without a change although its time bound, which no fault
	// suspended, had passed.
	LateChanges int `json:"late_changes"`

	// Withdrawals counts how often instances were to get no new requests.
	Withdrawals int `json:"endings"`
	// LateArrivals are the requests that reached instances later than allowed after a withdrawal.
	LateArrivals int `json:"late_arrivals"`
	// LastArrival is the time from a withdrawal to the last request, where no other fault
	// suspended the time bound.
	LastArrival Quantiles `json:"seconds_until_the_last_arrival"`

	// InForce is the time from the acknowledgement of a change until it was in force, at
	// machines that were not impaired meanwhile.
	InForce Quantiles `json:"seconds_until_in_force"`

	// StatedLimits and StatedLeavings count how often instances stated limits, and that they leave.
	StatedLimits   int `json:"stated_limits"`
	StatedLeavings int `json:"stated_leavings"`
	// LimitBoundShare is the largest used share of the bound of a stated limit in any window.
	LimitBoundShare float64 `json:"limits"`
	// LastAfterLeaving is the longest time, in seconds, from when a machine had passed on that an instance
	// leaves until a request began there that reached the instance.
	LastAfterLeaving float64 `json:"seconds_after_leaving"`

	// Unauthenticated ran with no key or one that never existed, or for another tenant than the key's.
	Unauthenticated int `json:"unauthenticated"`
	// LateRevocations ran with a key that had been revoked for longer than a change may take.
	LateRevocations int `json:"late_revocations"`
	// WronglyUnauthenticated were refused although their key was valid.
	WronglyUnauthenticated int `json:"wrongly_unauthenticated"`
	// QuotaBoundShare is the largest used share of the bound of a tenant's quota in any window.
	QuotaBoundShare float64 `json:"quota"`

	// HeavyLoad is about the calls of heavy load.
	HeavyLoad HeavyLoadReport `json:"heavy_load"`

	// Versions are the configuration changes in order.
	Versions []VersionTimes `json:"versions"`
	// ServedShare is the share of calls served in each second.
	ServedShare []float64 `json:"served_share"`

	// RetryBoundShare is the largest used share of the retry bound in any window; above 1 the
	// bound was exceeded.
	RetryBoundShare float64 `json:"repeats"`

	// Violations describes each violated guarantee; the soak passed only if it is empty.
	Violations []string `json:"broken"`
}

// VersionTimes holds the times of one configuration change in seconds.
type VersionTimes struct {
	// At is when it was written, counted from the first call.
	At float64 `json:"at"`
	// Kind names the edit.
	Kind string `json:"kind"`
	// Slowest is the time from its acknowledgement until it was in force at the last machine
	// that was not impaired meanwhile; zero if there is no such machine.
	Slowest float64 `json:"slowest"`
}

// Quantiles holds quantiles of times in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	// responseTolerance is how long after its route's timeout a response may arrive.
	responseTolerance = 500 * time.Millisecond
	// minServedShare is the share of calls that must be served after the last fault.
	minServedShare = 0.99
)

// run is one run of a request at an instance, with the machine and the instance's name.
type run struct {
	instance.Run
	machine *machine
	name    string
}

// check compares the records of callers and instances and reports violated guarantees.
func (s *soak) check() {
	runs := s.runs()
	calls := s.callers.all()
	byID := make(map[string]*call, len(calls))
	for _, each := range calls {
		byID[each.id] = each
		s.count(each)
		s.checkCall(each, runs[each.id])
	}
	for id, found := range runs {
		for _, each := range found {
			if machine, made := s.fleet.nested.senderOf(id); made && each.isNested(s.fleet.machines[machine]) {
				continue
			}
			if sent := byID[id]; sent == nil || !each.matchesCall(sent, s.fleet) {
				s.report.UnmatchedRuns++
				s.violation("%s ran at %s as %s %s for caller %s, which matches no call that was sent", id, each.name, each.Method, each.Target, each.Caller)
			}
		}
	}
	s.checkChanges(calls, runs)
	s.checkWithdrawals(calls, runs)
	s.checkRecovery(calls)
	s.checkColdInstances()
	s.checkCrashes(calls, runs)
	s.checkTenants(calls, runs)
	s.checkStatements(calls)
	s.checkHeavyLoad(calls)
	s.report.ServedShare = servedShares(calls)
	s.checkRetryBound(calls)
}

func (s *soak) runs() map[string][]run {
	found := make(map[string][]run)
	for _, m := range s.fleet.machines {
		for _, emulated := range m.instances() {
			for _, each := range emulated.Runs() {
				found[each.ID] = append(found[each.ID], run{Run: each, machine: m, name: emulated.Name})
			}
		}
	}
	return found
}

func (r run) matchesCall(sent *call, f *fleet) bool {
	method, wanted := http.MethodGet, []string{serviceRead}
	switch {
	case sent.heavy != nil:
		method, wanted = sent.method(), []string{sent.heavy.service}
	case sent.kind == kindWrite:
		method, wanted = http.MethodPost, []string{serviceWrite}
	case sent.kind == kindProbe: // checkChanges checks which of them is right at the time
		wanted = []string{serviceRead, serviceWrite}
	}
	return r.Method == method && r.Target == sent.path && r.Body == sent.body && slices.Contains(wanted, r.machine.service) &&
		r.Caller == f.machines[sent.machine].service && r.Expected == r.name
}

// isNested reports whether a run belongs to a nested call of the caller's instance.
func (r run) isNested(caller *machine) bool {
	return r.Method == http.MethodGet && r.Target == pathCheck+r.ID && r.machine.service == serviceWrite &&
		r.Caller == caller.service && r.Expected == r.name
}

// service returns the service that the call counts for.
func (c *call) service() string {
	if c.heavy != nil {
		return c.heavy.service
	}
	if c.kind == kindWrite {
		return serviceWrite
	}
	return serviceRead
}

// checkRetryBound checks each service against the retry bound of the nodes' default settings,
// including the calls of instances.
func (s *soak) checkRetryBound(calls []*call) {
	if len(calls) == 0 {
		return
	}
	configured := settings.Defaults().Retries
	bound := repeatcheck.Bound{Ratio: configured.Ratio, Slack: configured.Slack, Window: configured.Window}
	for _, service := range []string{serviceRead, serviceWrite} {
		worst := s.fleet.nested.observed(service, calls[0].sent, calls).Worst(bound)
		s.report.RetryBoundShare = max(s.report.RetryBoundShare, worst.Share)
		if worst.Share > 1 {
			s.violation("service %s: %s", service, worst)
		}
	}
}

// servedShares returns the share of the calls sent in each second that were served, 1 for a
// second without calls.
func servedShares(calls []*call) []float64 {
	if len(calls) == 0 {
		return nil
	}
	began := calls[0].sent
	seconds := int(calls[len(calls)-1].sent.Sub(began).Seconds()) + 1
	sent, served := make([]int, seconds), make([]int, seconds)
	for _, c := range calls {
		second := min(max(int(c.sent.Sub(began).Seconds()), 0), seconds-1)
		sent[second]++
		if c.status == http.StatusOK {
			served[second]++
		}
	}
	shares := make([]float64, seconds)
	for second := range shares {
		shares[second] = 1
		if sent[second] > 0 {
			shares[second] = float64(served[second]) / float64(sent[second])
		}
	}
	return shares
}

func (s *soak) count(c *call) {
	s.report.Sent++
	switch {
	case c.status >= http.StatusOK && c.status < http.StatusMultipleChoices:
		s.report.Served++
	case c.isRefused():
		s.report.Refused++
	default:
		s.report.Failed++
	}
}

// isRefused reports whether the response guarantees that the request was not executed.
func (c *call) isRefused() bool {
	switch c.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// checkCall checks the guarantees that concern a single call.
func (s *soak) checkCall(c *call, runs []run) {
	machine := s.fleet.machines[c.machine]
	switch {
	case c.kind == kindWrite && len(runs) > 1:
		s.report.RanTwice++
		s.violation("%s ran %d times", c.id, len(runs))
	case c.kind == kindWrite && c.isRefused() && len(runs) > 0:
		s.report.RanRefused++
		s.violation("%s was refused with status %d but ran at %s", c.id, c.status, runs[0].name)
	case c.status != 0 && c.status < http.StatusMultipleChoices && !c.isOwnResponse(runs):
		s.report.Wrong++
		s.violation("%s got a response that comes from none of its runs: stamp %q, %d bytes", c.id, c.stamp, len(c.responseBody))
	case c.status != 0 && c.err != nil:
		s.report.Wrong++
		s.violation("%s: %v", c.id, c.err)
	case c.status == 0 && c.requestWritten && len(runs) > 0 && s.history.onlyPlanned(c.machine, c.sent.Add(-settleTime), c.ended):
		s.report.Lost++
		s.violation("%s got no response because of planned maintenance of machine %d: %v", c.id, machine.number, c.err)
	}
	if c.status == http.StatusServiceUnavailable && c.stamp == "" && c.retryAfter == "" {
		s.report.NoRetryAfter++
		s.violation("%s was refused without a Retry-After header", c.id)
	}
	limit := routeTimeoutMillis*time.Millisecond + responseTolerance + c.readingStop
	if took := c.ended.Sub(c.sent); took > limit && s.history.isFaultFree(c.sent, c.ended) {
		s.report.LateAnswers++
		s.violation("%s took %s through machine %d: status %d, %d bytes, reader stopped for %s", c.id, took, c.machine, c.status, len(c.responseBody), c.readingStop)
	}
}

// isOwnResponse reports whether the response is that of an instance that ran the call.
func (c *call) isOwnResponse(runs []run) bool {
	if c.responseBody != bodyOf(c.id) {
		return false
	}
	for _, each := range runs {
		if each.name == c.stamp {
			return true
		}
	}
	return false
}

// checkRecovery checks that calls are served again after the last fault.
func (s *soak) checkRecovery(calls []*call) {
	sent, served := 0, 0
	for _, c := range calls {
		if c.sent.Before(s.history.lastFaultEnded.Add(recoveryTime / 2)) {
			continue
		}
		if c.crashesInstances() || c.kind == kindProbe && c.status == http.StatusNotFound {
			continue // its route may have been removed; checkChanges checks that
		}
		if c.status == http.StatusUnauthorized || c.status == http.StatusTooManyRequests {
			continue // checkTenants checks that
		}
		sent++
		if c.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < minServedShare*float64(sent) {
		s.violation("only %d of %d calls were served after the last fault", served, sent)
	}
}

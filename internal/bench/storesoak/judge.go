package storesoak

import (
	"net/http"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/bench/repeatjudge"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/settings"
)

// Report is the result of one soak. Counts are of calls.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Faults  int     `json:"faults"`
	Changes int     `json:"configuration_changes"`

	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`

	// Doubled ran twice though they may run once; RanRefused ran though they were
	// refused as not run.
	Doubled    int `json:"doubled"`
	RanRefused int `json:"ran_though_refused"`
	// Wrong got another answer than that of their own run.
	Wrong int `json:"wrong"`
	// Untold were refused as not run without being told when to come back.
	Untold int `json:"untold"`
	// Unasked ran and were not sent so, or at another service than their route's.
	Unasked int `json:"unasked"`
	// WentBack were answered by an older configuration than an earlier one of the
	// same process.
	WentBack int `json:"went_back"`
	// Invalid were handled as no configuration that operators wrote says.
	Invalid int `json:"handled_as_no_version_says"`
	// Lost were cut off by work as planned.
	Lost int `json:"lost"`
	// FellOver are instances that got more than they bore while they were cold.
	FellOver int `json:"fell_over"`
	// Crashes counts the crashes under requests that crash the instances which run them,
	// AfterThirdCrash what reached instances later than allowed after the third, at most of
	// one content; ShutOut the others that were refused as if they did.
	Crashes         int `json:"crashes"`
	AfterThirdCrash int `json:"after_third_crash"`
	ShutOut         int `json:"shut_out"`
	// LateAnswers and LateChanges broke a time bound, with nothing wrong around.
	LateAnswers int `json:"late_answers"`
	LateChanges int `json:"late_changes"`

	// Endings counts how often instances were to get no new requests, LateArrivals the requests
	// that reached them later than allowed after that.
	Endings      int `json:"endings"`
	LateArrivals int `json:"late_arrivals"`
	// LastArrival is when the last request came after each ending, where nothing else struck.
	LastArrival Quantiles `json:"seconds_until_the_last_arrival"`

	// InForce is how long changes took from their acknowledgement, at machines that nothing
	// struck meanwhile.
	InForce Quantiles `json:"seconds_until_in_force"`

	// Versions are the changes in their order, ServedShare is that of the calls of each second.
	Versions    []VersionTimes `json:"versions"`
	ServedShare []float64      `json:"served_share"`

	// Repeats is the greatest share of the bound on repeats that was used in any window.
	Repeats float64 `json:"repeats"`

	// Broken names each broken promise; empty is the only good result.
	Broken []string `json:"broken"`
}

// VersionTimes tells how long one change took, in seconds.
type VersionTimes struct {
	// At is when it was written, since the first call.
	At float64 `json:"at"`
	// Kind is what it changed.
	Kind string `json:"kind"`
	// Slowest is when the last machine that nothing struck had it in force, since it was
	// acknowledged; zero if nothing can be said of any.
	Slowest float64 `json:"slowest"`
}

// Quantiles are of times in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	// lateSlack is how long after the end of its time a call may be answered.
	lateSlack = 500 * time.Millisecond
	// leastServed is the share of calls that must be served after the last fault.
	leastServed = 0.99
)

// run is one run of a request with where it ran.
type run struct {
	instance.Run
	machine *machine
	name    string
}

// judge compares what callers and instances saw.
func (s *soak) judge() {
	runs := s.runs()
	calls := s.callers.all()
	byID := make(map[string]*call, len(calls))
	for _, each := range calls {
		byID[each.id] = each
		s.count(each)
		s.judgeCall(each, runs[each.id])
	}
	for id, found := range runs {
		for _, each := range found {
			if machine, made := s.fleet.inner.sentBy(id); made && each.isInner(s.fleet.machines[machine]) {
				continue
			}
			if sent := byID[id]; sent == nil || !each.isAsked(sent, s.fleet) {
				s.report.Unasked++
				s.broken("%s ran at %s as %s %s for %s, which was not sent so", id, each.name, each.Method, each.Target, each.Caller)
			}
		}
	}
	s.judgeChanges(calls, runs)
	s.judgeEndings(calls, runs)
	s.judgeRecovery(calls)
	s.judgeCold()
	s.judgeCrashes(calls, runs)
	s.report.ServedShare = servedShares(calls)
	s.judgeRepeats(calls)
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

func (r run) isAsked(sent *call, f *fleet) bool {
	method, wanted := http.MethodGet, []string{serviceRead}
	switch sent.kind {
	case kindWrite:
		method, wanted = http.MethodPost, []string{serviceWrite}
	case kindProbe: // which of them is right at its time is judged apart
		wanted = []string{serviceRead, serviceWrite}
	}
	return r.Method == method && r.Target == sent.path && r.Body == sent.body && slices.Contains(wanted, r.machine.service) &&
		r.Caller == f.machines[sent.machine].service && r.Expected == r.name
}

// isInner reports whether a run is one of a call that the instance beside a machine made.
func (r run) isInner(caller *machine) bool {
	return r.Method == http.MethodGet && r.Target == pathCheck+r.ID && r.machine.service == serviceWrite &&
		r.Caller == caller.service && r.Expected == r.name
}

// service is the one that the call is for.
func (c *call) service() string {
	if c.kind == kindWrite {
		return serviceWrite
	}
	return serviceRead
}

// judgeRepeats checks each service against the bound that the nodes' settings name, over
// the calls of instances too.
func (s *soak) judgeRepeats(calls []*call) {
	if len(calls) == 0 {
		return
	}
	named := settings.Defaults().Retries
	bound := repeatjudge.Bound{Ratio: named.Ratio, Slack: named.Slack, Window: named.Window}
	for _, service := range []string{serviceRead, serviceWrite} {
		worst := s.fleet.inner.seen(service, calls[0].sent, calls).Worst(bound)
		s.report.Repeats = max(s.report.Repeats, worst.Share)
		if worst.Share > 1 {
			s.broken("service %s: %s", service, worst)
		}
	}
}

// servedShares is the share of calls that were served, of those sent in each second. A second
// without calls counts as served.
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

// isRefused reports whether the answer promises that the request has not run.
func (c *call) isRefused() bool {
	switch c.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// judgeCall checks one call by itself.
func (s *soak) judgeCall(c *call, runs []run) {
	machine := s.fleet.machines[c.machine]
	switch {
	case c.kind == kindWrite && len(runs) > 1:
		s.report.Doubled++
		s.broken("%s ran %d times", c.id, len(runs))
	case c.kind == kindWrite && c.isRefused() && len(runs) > 0:
		s.report.RanRefused++
		s.broken("%s was refused with %d and ran at %s", c.id, c.status, runs[0].name)
	case c.status != 0 && c.status < http.StatusMultipleChoices && !c.isOwnAnswer(runs):
		s.report.Wrong++
		s.broken("%s got an answer that is not its own: stamp %q, %d bytes", c.id, c.stamp, len(c.answer))
	case c.status != 0 && c.err != nil:
		s.report.Wrong++
		s.broken("%s: %v", c.id, c.err)
	case c.status == 0 && c.written && len(runs) > 0 && s.history.onlyPlanned(c.machine, c.sent.Add(-contact), c.ended):
		s.report.Lost++
		s.broken("%s was cut off by a planned stop of machine %d: %v", c.id, machine.number, c.err)
	}
	if c.status == http.StatusServiceUnavailable && c.stamp == "" && c.retry == "" {
		s.report.Untold++
		s.broken("%s was refused and not told when to come back", c.id)
	}
	limit := routeMillis*time.Millisecond + lateSlack
	if took := c.ended.Sub(c.sent); took > limit && s.history.calm(c.sent, c.ended) {
		s.report.LateAnswers++
		s.broken("%s took %s", c.id, took)
	}
}

// isOwnAnswer reports whether an answer is that of an instance that ran the call.
func (c *call) isOwnAnswer(runs []run) bool {
	if c.answer != instance.Body(c.id) {
		return false
	}
	for _, each := range runs {
		if each.name == c.stamp {
			return true
		}
	}
	return false
}

// judgeRecovery checks that calls are served again after the last fault.
func (s *soak) judgeRecovery(calls []*call) {
	sent, served := 0, 0
	for _, c := range calls {
		if c.sent.Before(s.history.calmFrom.Add(finalCalm / 2)) {
			continue
		}
		if c.crashes() || c.kind == kindProbe && c.status == http.StatusNotFound {
			continue // its route may have been removed, which judgeChanges knows
		}
		sent++
		if c.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < leastServed*float64(sent) {
		s.broken("after the last fault %d of %d calls were served", served, sent)
	}
}

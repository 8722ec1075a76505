package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
	"github.com/winchhead/winchhead/internal/dataplane/returns"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

const (
	// maxTries bounds the nodes that one request is offered to, whatever they say.
	maxTries = 8
	// maxFullTries bounds those that have no room for it. Where that many instances are
	// full, most are: further tries cost bytes and time and rarely find a slot.
	// Measured at 86 machines in a burst of twice the load, one play: with 8 instead of 4,
	// 0.006 more of the day in time and 0.021 more spent on bytes between zones; with 3 two
	// sites differ from 4 by less than the noise.
	maxFullTries = 4
	// maxBoundRefusals bounds the nodes that may refuse a repeat as its run's calls would go
	// beyond the bound of repeats: where two have no room for them, most have none.
	maxBoundRefusals = 2
	// hopMargin is how much earlier the time of the request is over beside the
	// instance than here, so that what it says then is still in time.
	hopMargin = 10 * time.Millisecond
	// leastRepeatTime is the least time that must be left to send again.
	leastRepeatTime = 20 * time.Millisecond
)

// exchange is one request of a caller with all its sends. One goroutine owns it.
type exchange struct {
	proxy    *Proxy
	ctx      context.Context
	request  *message.Request
	current  *snapshot.Snapshot
	route    *snapshot.Route
	deadline time.Time
	// callerTime is how long the caller said it waits.
	callerTime time.Duration
	caller     returns.Caller
	service    string

	// tried are the instances that are not asked again.
	tried map[string]bool
	// reached counts the instances that ran the request or may have run it.
	reached int
	tries   int
	// arrivals counts the sends that reached an instance, or may have; lastArrival is
	// what a further one comes after.
	arrivals    int
	lastArrival repeats.Kind
	// inherited is the probability that the request is a call of a repeated run.
	inherited float64
	// reserved is set while a further send is taken from the accounts that reached no
	// instance yet; boundRefusals counts the refusals for the bound of repeats.
	reserved      bool
	boundRefusals int
	// fullTries counts the refusals for want of room.
	fullTries int
	// failure is the last answer of an instance that was worth another try.
	failure *message.Answer
	// wait is the shortest wait that a refusal named; reason that of the last one.
	wait   time.Duration
	reason hop.Reason
	last   string // the instance tried last
	// suspicion is what is known of the content of the request.
	suspicion suspicion
	// report is the last one, lastSent when its send began.
	report   hop.Report
	lastSent time.Time
}

// result is what became of one send.
type result struct {
	report hop.Report
	answer *message.Answer // set when the report's outcome is hop.Answered
	// reported is false when the node beside the instance said nothing.
	reported bool
	err      error
}

// run sends the request until there is a final answer.
func (e *exchange) run() *message.Answer {
	e.enter()
	defer e.returnRepeat()
	for e.tries < maxTries && e.fullTries < maxFullTries {
		if e.assessContent() == suspects.Quarantined {
			return e.refuseQuarantined()
		}
		choice, found := e.pick()
		if !found {
			return e.refuse()
		}
		e.tries++
		e.last, e.lastSent = choice.Instance.Name, time.Now()
		sent := e.send(choice)
		e.report = sent.report
		e.learn(choice, sent)
		e.noteArrival(sent)
		if answer, final := e.judge(sent); final {
			return answer
		}
	}
	return e.refuse()
}

// pick chooses the instance for the next send. A request stays with the target that
// its weight chose: what does not fit there is refused, so that the targets of a route
// get their shares also while one of them is short of instances.
func (e *exchange) pick() (balance.Choice, bool) {
	return e.proxy.balancer.Pick(balance.Request{
		Route:     e.route.Name,
		Target:    e.route.TargetLatency,
		Elapsed:   time.Since(e.request.Arrived),
		Bytes:     len(e.request.Body),
		Instances: e.candidates(),
		Avoid:     func(name string) bool { return e.tried[name] },
		Now:       time.Now(),
	})
}

// send brings the request to one instance.
func (e *exchange) send(choice balance.Choice) result {
	order := e.order(choice)
	if choice.Local && e.proxy.options.Neighbour != nil {
		delivery := e.proxy.options.Neighbour.Deliver(e.ctx, e.arrivedNow(), order)
		return result{report: delivery.Report, answer: delivery.Answer, reported: true, err: delivery.Err}
	}
	return e.proxy.nodes.send(e.ctx, e.request, choice.Instance, order)
}

// arrivedNow is the request as the neighbour gets it: the time that is left
// counts from now.
func (e *exchange) arrivedNow() *message.Request {
	copied := *e.request
	copied.Arrived = time.Now()
	return &copied
}

// judge decides whether a send brought the final answer.
func (e *exchange) judge(sent result) (answer *message.Answer, final bool) {
	e.reason = sent.report.Reason
	switch sent.report.Outcome {
	case hop.Answered:
		return e.judgeAnswer(sent)
	case hop.Refused:
		e.notRun(sent)
		switch {
		case sent.report.Reason == hop.ReasonCrashesInstances:
			return e.refuseQuarantined(), true
		case e.ctx.Err() != nil, e.boundRefusals >= maxBoundRefusals, e.staysOnProbe(sent.report.Reason):
			return e.refuse(), true
		}
		return nil, false
	case hop.Rejected: // it did not run, but it came to an instance
		e.notRun(sent)
		if !e.mayReachAgain() {
			return e.refuse(), true
		}
		return nil, false
	default:
		e.reached++
		e.tried[e.last] = true
		if sent.report.Reason == hop.ReasonCrashed {
			e.suspicion.told = true
		}
		if e.route.MayRepeat(e.request.Method) && e.mayReachAgain() {
			return nil, false
		}
		return e.giveUp(sent), true
	}
}

// notRun notes an instance that did not run the request.
func (e *exchange) notRun(sent result) {
	e.tried[e.last] = true
	switch sent.report.Reason {
	case hop.ReasonOverloaded, hop.ReasonLink, hop.ReasonCold:
		e.fullTries++
	case hop.ReasonRepeats:
		e.boundRefusals++
	}
	if wait := sent.report.RetryAfter; wait > 0 && (e.wait == 0 || wait < e.wait) {
		e.wait = wait
	}
}

// judgeAnswer passes an instance's answer on. A failure of the instance is worth
// another try when the request may be repeated.
func (e *exchange) judgeAnswer(sent result) (*message.Answer, bool) {
	e.reached++
	failed := sent.answer.Status >= http.StatusInternalServerError
	if failed && e.route.MayRepeat(e.request.Method) && sent.answer.Stream == nil &&
		sent.answer.Status != http.StatusGatewayTimeout {
		e.tried[e.last] = true
		e.failure = sent.answer
		if e.mayReachAgain() {
			return nil, false
		}
	}
	e.finish(outcomeAnswered, sent.answer.Status)
	return sent.answer, true
}

// mayReachAgain decides whether another instance may get the request: the route's
// attempts, the time left and the fleet's budget allow it.
func (e *exchange) mayReachAgain() bool {
	if !e.proxy.options.Mechanisms.Repeats || e.ctx.Err() != nil || e.reached >= e.route.MaxAttempts || time.Until(e.deadline) < leastRepeatTime {
		return false
	}
	if !e.hasAnother() {
		return false
	}
	return e.reserveRepeat()
}

// hasAnother reports whether an instance is left that was not tried.
func (e *exchange) hasAnother() bool { return e.hasOther("") }

// hasOther reports whether an instance of the chosen target besides one is left that
// was not tried.
func (e *exchange) hasOther(than string) bool {
	for _, instance := range e.current.Instances(e.service) {
		if instance.State == snapshot.InstanceReady && instance.Name != than && !e.tried[instance.Name] {
			return true
		}
	}
	return false
}

// finish counts and logs how the request ended.
func (e *exchange) finish(outcome string, status int) {
	lasted := time.Since(e.request.Arrived)
	e.proxy.metrics.ended(e.service, outcome, lasted)
	e.noteLoss(outcome, status, lasted)
	e.proxy.callers.Ended(e.route.Name, e.caller, outcome == outcomeNotRun, time.Now())
	e.proxy.log.ended(e, outcome, status, lasted)
}

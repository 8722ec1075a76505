package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/callerretry"
	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/tenancy"
)

const (
	// maxTries limits the nodes to which one request is offered, whatever they answer.
	maxTries = 8
	// maxFullRefusals limits how many of them may refuse for lack of capacity. Where that many
	// instances are full, most are: further tries cost bytes and time and rarely find a slot.
	// With 8, the additional traffic between zones costs more than three times what the
	// additional answers in time are worth; 3 makes no clear difference.
	maxFullRefusals = 4
	// maxBudgetRefusals limits the nodes that may refuse a repeat because the calls of its run
	// would exceed the repeat budget: where two have no budget for them, most have none.
	maxBudgetRefusals = 2
	// hopMargin is how much earlier the request's deadline is at the sidecar than at this
	// node, so that the report of the sidecar still arrives in time.
	hopMargin = 10 * time.Millisecond
	// minRepeatTime is the least time that must be left for a repeat.
	minRepeatTime = 20 * time.Millisecond
)

// exchange is one request of a caller with all its sends. It is used by one goroutine.
type exchange struct {
	proxy    *Proxy
	ctx      context.Context
	request  *message.Request
	current  *snapshot.Snapshot
	route    *snapshot.Route
	identity tenancy.Identity
	deadline time.Time
	// callerTimeout is how long the caller waits.
	callerTimeout time.Duration
	caller        callerretry.Caller
	call          callpriority.Assessment
	service       string

	// permitted are the instances of the service in the allowed regions, once they are known.
	permitted []snapshot.Instance
	// tried are the instances that are not asked again.
	tried map[string]bool
	// possibleRuns counts the instances that ran the request or may have run it.
	possibleRuns int
	tries        int
	// arrivals counts the sends that reached an instance, or may have; nextKind is the kind
	// of a further send, which depends on the result of the last one that did.
	arrivals int
	nextKind repeats.Kind
	// repeatProbability is the probability that the caller is an instance that sent this
	// request while executing a repeat of another request.
	repeatProbability float64
	// repeatReserved is set while a repeat is taken from the budget that has reached no
	// instance yet; budgetRefusals counts the refusals for lack of repeat budget.
	repeatReserved bool
	budgetRefusals int
	// fullRefusals counts the refusals for lack of capacity, rejections those by instances with free
	// slots.
	fullRefusals, rejections int
	// failedAnswer is the last error answer of an instance to a request that may be repeated.
	failedAnswer *message.Response
	// minRetryAfter is the shortest RetryAfter of the refusals; lastReason is the reason in the
	// last report.
	minRetryAfter time.Duration
	lastReason    hop.Reason
	lastInstance  string // the instance tried last
	// suspicion is whether the request is known to crash instances.
	suspicion suspicion
	// lastReport is the report of the last send, which began at lastSentAt.
	lastReport hop.Report
	lastSentAt time.Time
}

// sendResult is the result of one send.
type sendResult struct {
	report hop.Report
	answer *message.Response // set if the report's outcome is hop.Answered
	// reported is false if the instance's sidecar sent no report.
	reported bool
	err      error

	// connectTimedOut is set if the instance's sidecar did not answer an attempt to connect, or a
	// liveness check, in time; a refused or reset connection is another failure.
	connectTimedOut bool
}

// run sends the request until there is a final answer.
func (e *exchange) run() *message.Response {
	e.registerRequest()
	defer e.returnRepeat()
	for e.tries < maxTries && e.mayAskFurther() {
		if e.assess() == suspects.Quarantined {
			return e.refuseQuarantined()
		}
		if !e.identity.IsValid(e.proxy.options.Snapshots.Current()) {
			return e.refuseRevoked()
		}
		choice, found := e.pick()
		if !found {
			return e.refuse()
		}
		e.tries++
		e.lastInstance, e.lastSentAt = choice.Instance.Name, time.Now()
		sent := e.send(choice)
		e.observeStatement(choice, sent)
		e.lastReport = sent.report
		e.reportToBalancer(choice, sent)
		e.recordArrival(sent)
		e.recordCapacity(sent)
		if answer, final := e.handleResult(sent); final {
			return answer
		}
	}
	return e.refuse()
}

// pick chooses the instance for the next send. A request stays with the target that was
// selected by weight and is refused if that has no capacity, so that the targets of a route
// get their shares even while one of them is short of instances.
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

// send sends the request to one instance.
func (e *exchange) send(choice balance.Choice) sendResult {
	order := e.order(choice)
	if choice.Local && e.proxy.options.LocalInbound != nil {
		delivery := e.proxy.options.LocalInbound.Deliver(e.ctx, e.arrivingNow(), order)
		return sendResult{report: delivery.Report, answer: delivery.Response, reported: true, err: delivery.Err}
	}
	return e.proxy.sidecars.send(e.ctx, e.request, choice.Instance, order, e.mayReplaceSend)
}

// arrivingNow returns the request for the local inbound proxy, which counts the remaining
// time from its arrival.
func (e *exchange) arrivingNow() *message.Request {
	copied := *e.request
	copied.Arrived = time.Now()
	return &copied
}

// handleResult decides whether a send gave the final answer.
func (e *exchange) handleResult(sent sendResult) (answer *message.Response, final bool) {
	e.lastReason = sent.report.Reason
	switch sent.report.Outcome {
	case hop.Answered:
		return e.handleAnswer(sent)
	case hop.Refused:
		e.recordNotRun(sent)
		switch {
		case sent.report.Reason == hop.ReasonCrashesInstances:
			return e.refuseQuarantined(), true
		case sent.report.Reason == hop.ReasonKeyRevoked:
			return e.refuseRevoked(), true
		case e.ctx.Err() != nil, e.budgetRefusals >= maxBudgetRefusals, e.mustNotTryElsewhere(sent.report.Reason):
			return e.refuse(), true
		}
		return nil, false
	case hop.Rejected: // it reached an instance, which did not run it
		e.recordNotRun(sent)
		if !e.mayTryAnother() {
			return e.refuse(), true
		}
		return nil, false
	default:
		e.possibleRuns++
		e.tried[e.lastInstance] = true
		if sent.report.Reason == hop.ReasonCrashed {
			e.suspicion.crashObserved = true
		}
		if e.route.MayRepeat(e.request.Method) && e.mayTryAnother() {
			return nil, false
		}
		return e.failUnknown(sent), true
	}
}

// recordNotRun records that an instance did not run the request.
func (e *exchange) recordNotRun(sent sendResult) {
	e.tried[e.lastInstance] = true
	switch sent.report.Reason {
	case hop.ReasonOverloaded, hop.ReasonLink, hop.ReasonCold:
		e.fullRefusals++
	case hop.ReasonRejected:
		e.rejections++
	case hop.ReasonRepeats:
		e.budgetRefusals++
	}
	if retryAfter := sent.report.RetryAfter; retryAfter > 0 && (e.minRetryAfter == 0 || retryAfter < e.minRetryAfter) {
		e.minRetryAfter = retryAfter
	}
}

// handleAnswer returns an instance's answer as the final one, unless it is a server error and
// the request can be repeated.
func (e *exchange) handleAnswer(sent sendResult) (*message.Response, bool) {
	e.possibleRuns++
	failed := sent.answer.Status >= http.StatusInternalServerError
	if failed && e.route.MayRepeat(e.request.Method) && sent.answer.Stream == nil &&
		sent.answer.Status != http.StatusGatewayTimeout {
		e.tried[e.lastInstance] = true
		e.failedAnswer = sent.answer
		if e.mayTryAnother() {
			return nil, false
		}
	}
	e.finish(outcomeAnswered, sent.answer.Status)
	return sent.answer, true
}

// mayTryAnother decides whether another instance may get the request: the route's attempts,
// the time left and the repeat budget must allow it. It reserves a repeat.
func (e *exchange) mayTryAnother() bool { return e.mayRepeat(e.possibleRuns, "") }

// mayReplaceSend decides whether the running send, at the instance tried last, may be given up for
// another one because nothing comes from it. Without a repeat, only its own answer can still serve
// the caller, however late.
func (e *exchange) mayReplaceSend() bool { return e.mayRepeat(e.possibleRuns+1, e.lastInstance) }

// mayRepeat decides about a repeat after a number of possible runs, at any instance but the given one.
func (e *exchange) mayRepeat(possibleRuns int, excepted string) bool {
	if !e.proxy.options.Mechanisms.Repeats || e.ctx.Err() != nil || possibleRuns >= e.route.MaxAttempts || time.Until(e.deadline) < minRepeatTime {
		return false
	}
	return e.hasUntriedExcept(excepted) && e.reserveRepeat()
}

// hasUntriedExcept reports whether an instance of the selected target is left, other than the
// given one, that was not tried.
func (e *exchange) hasUntriedExcept(excepted string) bool {
	for _, instance := range e.instances() {
		if instance.State == snapshot.InstanceReady && instance.Name != excepted && !e.tried[instance.Name] {
			return true
		}
	}
	return false
}

// finish records and logs how the request ended.
func (e *exchange) finish(outcome string, status int) {
	duration := time.Since(e.request.Arrived)
	e.proxy.metrics.ended(e.service, outcome, duration)
	e.recordLoss(outcome, status, duration)
	e.proxy.callerRetries.Ended(e.route.Name, e.caller, outcome == outcomeNotRun, time.Now())
	e.proxy.log.ended(e, outcome, status, duration)
}

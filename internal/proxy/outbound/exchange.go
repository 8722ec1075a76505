package outbound

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/retry"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// exchange is one request of a caller with all its attempts. It is used by one
// goroutine and keeps the snapshot that was current when it began.
type exchange struct {
	proxy    *Proxy
	writer   http.ResponseWriter
	request  *http.Request
	route    *snapshot.Route
	service  string
	header   http.Header // sent to the instance, without fields that differ by attempt
	body     *replayBody // nil without a body
	upgrade  string      // protocol that the caller asks to switch to, or ""
	pin      *pin        // nil unless the request is bound to one instance
	deadline time.Time
	informer *forward.InformationalForwarder

	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu         sync.Mutex // guards responding and ended, which expire uses too
	responding bool       // the response of a backend is being forwarded
	ended      bool

	attempts int // attempts so far
	// uncertain is the problem of the first failed attempt that may have run; nil if
	// none may have run.
	uncertain *outcome.Problem
	sends     int // round trips, including those on stale connections
	tried     []balance.Key
}

func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request, current *snapshot.Snapshot,
	route *snapshot.Route, header http.Header, deadline time.Time) *exchange {
	ctx, cancel := context.WithCancelCause(r.Context())
	created := &exchange{
		proxy: p, writer: w, request: r, route: route, header: header,
		upgrade: forward.UpgradeProtocol(r.Header), deadline: deadline,
		ctx: ctx, cancel: cancel,
		informer: forward.NewInformationalForwarder(w, r),
	}
	created.timer = time.AfterFunc(time.Until(deadline), created.expire)
	key := r.Header.Get(outcome.HeaderIdempotencyKey)
	if key != "" && !route.MayRepeat(r.Method) {
		created.pin = newPin(route.Name, key)
	}
	created.service = created.chooseService()
	if r.Body != nil && r.Body != http.NoBody {
		created.openBody()
	}
	return created
}

// openBody prepares the body for replay and lets the instance respond while the
// caller is still sending.
func (e *exchange) openBody() {
	e.body = newReplayBody(e.request.Body, e.proxy.settings.MaxBodyBytes)
	if len(e.request.Trailer) > 0 {
		e.body.receivedTrailers = e.request.Trailer
		e.body.sentTrailers = make(http.Header, len(e.request.Trailer))
		for name := range e.request.Trailer {
			if !outcome.IsInternal(name) {
				e.body.sentTrailers[name] = nil
			}
		}
	}
	// Writers without full duplex, as in tests, respond after the body was read.
	_ = http.NewResponseController(e.writer).EnableFullDuplex()
}

// expire ends the exchange at its deadline. It also ends a write that blocks because
// the caller does not read the response.
func (e *exchange) expire() {
	e.cancel(forward.ErrDeadline)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.responding && !e.ended {
		_ = http.NewResponseController(e.writer).SetWriteDeadline(forward.LongAgo)
	}
}

// end releases the resources of the exchange. It does not wait for the rest of the
// caller's body, because the response is complete without it.
func (e *exchange) end() {
	e.timer.Stop()
	e.cancel(context.Canceled)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	if e.body != nil && e.body.unread() {
		e.body.stop()
		forward.LimitUnreadBody(e.writer)
	}
}

// beginResponse is called before the header of a backend's response is written.
func (e *exchange) beginResponse() {
	e.informer.Stop()
	if e.body != nil && e.body.unread() {
		forward.CloseAfterResponse(e.writer)
	}
}

// limitResponseTime makes the deadline of the request also apply to forwarding the
// response.
func (e *exchange) limitResponseTime() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responding = true
}

// run makes attempts until one gets a response or no further attempt is allowed.
func (e *exchange) run() completion {
	e.proxy.budgets.forService(e.service).Deposit()
	if time.Until(e.deadline) <= 0 {
		return e.respondWithProblem(outcome.NewProblem(outcome.ReasonDeadline, outcome.NotRun, ""))
	}
	last := outcome.NewProblem(outcome.ReasonNoInstance, outcome.NotRun, "service "+e.service)
	for {
		choice, problem := e.pickInstance()
		if problem != nil {
			last = *problem
		}
		if choice == nil {
			return e.respondWithProblem(last)
		}
		result := e.attempt(choice)
		if result.response != nil {
			return e.forwardResponse(result.response, choice)
		}
		last = result.problem
		e.recordUncertain(last)
		if !e.mayTryAgain(last) {
			return e.respondWithProblem(last)
		}
		e.proxy.metrics.retries.Inc()
	}
}

// recordUncertain stores the problem of the first attempt that may have run.
func (e *exchange) recordUncertain(failed outcome.Problem) {
	if failed.Outcome != outcome.NotRun && e.uncertain == nil {
		e.uncertain = &failed
	}
}

// overallProblem returns the problem for the caller after the last attempt failed or
// a further one was refused. If an earlier attempt may have run, its problem takes
// precedence over later ones that did not run: the outcome is "not-run" only if no
// attempt can have run.
func (e *exchange) overallProblem(last outcome.Problem) outcome.Problem {
	if e.uncertain == nil || last.Outcome != outcome.NotRun {
		return last
	}
	problem := *e.uncertain
	problem.RetryAfter = 0
	problem.Detail = fmt.Sprintf("attempt may have run; a later one ended as %s", last.Reason)
	return problem
}

// mayTryAgain reports whether the retry rules and then the retry budget allow a
// further attempt.
func (e *exchange) mayTryAgain(last outcome.Problem) bool {
	decision := retry.Decide(retry.Attempt{
		Number:        e.attempts,
		MaxAttempts:   e.route.MaxAttempts,
		Outcome:       last.Outcome,
		Reason:        last.Reason,
		MayRepeat:     e.route.MayRepeat(e.request.Method),
		Pinned:        e.pin != nil,
		BodyAvailable: e.body == nil || e.body.rewind(),
		CallerGone:    e.request.Context().Err() != nil,
		Remaining:     time.Until(e.deadline),
	})
	if decision == retry.Again && !e.proxy.budgets.forService(e.service).Withdraw() {
		e.proxy.metrics.budgetEmpty.Inc()
		decision = retry.StopBudget
	}
	return decision == retry.Again
}

// pickInstance chooses the instance for the next attempt. If there is none, it returns
// nil, and a problem if that is more specific than the one of the last attempt.
func (e *exchange) pickInstance() (*balance.Choice, *outcome.Problem) {
	view := e.proxy.fleet.View()
	if e.pin != nil {
		return e.pickPinned(view)
	}
	choice, ok := e.proxy.balancer.Pick(balance.Request{
		Service:    e.service,
		Endpoints:  view.Endpoints(e.service),
		PreferZone: e.route.PreferZone,
		SpillOver:  e.route.SpillOver,
		Tried:      e.tried,
		Now:        time.Now(),
	})
	if !ok {
		return nil, nil
	}
	return choice, nil
}

// respondWithProblem ends the request with a problem document, or without a response
// if the caller has disconnected.
func (e *exchange) respondWithProblem(last outcome.Problem) completion {
	problem := e.overallProblem(last)
	if e.pin != nil && problem.Outcome == outcome.NotRun {
		e.forgetUnsentKey()
	}
	if e.request.Context().Err() != nil {
		return callerGone
	}
	e.informer.Stop()
	if e.body != nil && e.body.unread() {
		e.body.stop()
		e.body.setEnded(forward.DiscardUnreadBody(e.writer, e.request))
	}
	problem.Write(e.writer)
	return completionOf(problem)
}

// chooseService selects one of the route's targets that have instances, at random by
// weight. For a pinned request the selection depends on the key only.
func (e *exchange) chooseService() string {
	targets := e.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	view := e.proxy.fleet.View()
	total := 0
	for _, target := range targets {
		total += usableWeight(view, target)
	}
	if total == 0 {
		return targets[0].Service
	}
	point := e.drawPoint(total)
	for _, target := range targets {
		point -= usableWeight(view, target)
		if point < 0 {
			return target.Service
		}
	}
	panic("outbound proxy: the drawn point is not below the total weight")
}

func usableWeight(view *membership.View, target snapshot.WeightedService) int {
	if len(view.Endpoints(target.Service)) == 0 {
		return 0
	}
	return max(target.Weight, 1)
}

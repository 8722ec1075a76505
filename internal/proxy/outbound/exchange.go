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

// exchange is one request of a caller with all its attempts. One goroutine owns
// it. It stays on the snapshot it began with.
type exchange struct {
	proxy    *Proxy
	writer   http.ResponseWriter
	request  *http.Request
	route    *snapshot.Route
	service  string
	header   http.Header // for the instance, without what differs by attempt
	body     *replayBody // nil without a body
	upgrade  string      // protocol the caller asks to switch to, or ""
	pin      *pin        // nil unless one instance must run the request
	deadline time.Time
	informer *forward.Informer

	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu        sync.Mutex // guards the two below against the timer
	answering bool       // the answer of a back end is being passed on
	ended     bool

	attempts int // instances asked
	// uncertain is the first failed attempt that may have run; nil while each one
	// proved that it did not.
	uncertain *outcome.Problem
	sends     int // round trips, those on stale connections included
	tried     []balance.Key
}

func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request, current *snapshot.Snapshot,
	route *snapshot.Route, header http.Header, deadline time.Time) *exchange {
	ctx, cancel := context.WithCancelCause(r.Context())
	created := &exchange{
		proxy: p, writer: w, request: r, route: route, header: header,
		upgrade: forward.UpgradeProtocol(r.Header), deadline: deadline,
		ctx: ctx, cancel: cancel,
		informer: forward.NewInformer(w, r),
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

// openBody lets the instance answer while the caller still sends.
func (e *exchange) openBody() {
	e.body = newReplayBody(e.request.Body, e.proxy.settings.MaxBodyBytes)
	if len(e.request.Trailer) > 0 {
		e.body.arrived = e.request.Trailer
		e.body.trailers = make(http.Header, len(e.request.Trailer))
		for name := range e.request.Trailer {
			if !outcome.IsInternal(name) {
				e.body.trailers[name] = nil
			}
		}
	}
	// Writers that cannot do it, as in tests, answer after the body.
	_ = http.NewResponseController(e.writer).EnableFullDuplex()
}

// expire ends the exchange because its time is over. A caller that does not
// read the answer is no longer waited for.
func (e *exchange) expire() {
	e.cancel(forward.ErrDeadline)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answering && !e.ended {
		_ = http.NewResponseController(e.writer).SetWriteDeadline(forward.LongAgo)
	}
}

// end releases what the exchange holds. What is left of the caller's body is not
// waited for, as the answer is complete without it.
func (e *exchange) end() {
	e.timer.Stop()
	e.cancel(context.Canceled)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	if e.body != nil && e.body.unread() {
		e.body.stop()
		forward.BoundUnread(e.writer)
	}
}

// beginAnswer is called before the header of a back end's answer is written.
func (e *exchange) beginAnswer() {
	e.informer.Stop()
	if e.body != nil && e.body.unread() {
		forward.CloseAfterAnswer(e.writer)
	}
}

// boundAnswer makes the end of the request's time end the passing on of an
// answer too.
func (e *exchange) boundAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answering = true
}

// run makes attempts until one brings an answer or no other may be made.
func (e *exchange) run() ending {
	e.proxy.budgets.of(e.service).Deposit()
	if time.Until(e.deadline) <= 0 {
		return e.refuse(outcome.New(outcome.ReasonDeadline, outcome.NotRun, ""))
	}
	last := outcome.New(outcome.ReasonNoInstance, outcome.NotRun, "service "+e.service)
	for {
		choice, problem := e.pick()
		if problem != nil {
			last = *problem
		}
		if choice == nil {
			return e.refuse(last)
		}
		result := e.attempt(choice)
		if result.response != nil {
			return e.deliver(result.response, choice)
		}
		last = result.problem
		e.noteOutcome(last)
		if !e.mayTryAgain(last) {
			return e.refuse(last)
		}
		e.proxy.metrics.retries.Inc()
	}
}

// noteOutcome remembers the first attempt that may have run.
func (e *exchange) noteOutcome(failed outcome.Problem) {
	if failed.Outcome != outcome.NotRun && e.uncertain == nil {
		e.uncertain = &failed
	}
}

// overall is what the caller is told when the last attempt, or the refusal of another
// one, ended with a problem. An attempt that may have run outweighs later ones that did
// not: "not run" holds only when every attempt proved it.
func (e *exchange) overall(last outcome.Problem) outcome.Problem {
	if e.uncertain == nil || last.Outcome != outcome.NotRun {
		return last
	}
	cautious := *e.uncertain
	cautious.RetryAfter = 0
	cautious.Detail = fmt.Sprintf("attempt may have run; a later one ended as %s", last.Reason)
	return cautious
}

// mayTryAgain asks for the decision on a failed attempt, then the retry budget.
func (e *exchange) mayTryAgain(last outcome.Problem) bool {
	verdict := retry.Decide(retry.Attempt{
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
	if verdict == retry.Again && !e.proxy.budgets.of(e.service).Withdraw() {
		e.proxy.metrics.budgetEmpty.Inc()
		verdict = retry.StopBudget
	}
	return verdict == retry.Again
}

// pick chooses the instance for the next attempt. Without one it returns nil,
// and a problem when that says more than the last attempt's.
func (e *exchange) pick() (*balance.Choice, *outcome.Problem) {
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

// refuse ends the request with an answer of the system, or not at all when the
// caller has gone.
func (e *exchange) refuse(last outcome.Problem) ending {
	problem := e.overall(last)
	if e.pin != nil && problem.Outcome == outcome.NotRun {
		e.forgetUnlessSent()
	}
	if e.request.Context().Err() != nil {
		return callerGone
	}
	e.informer.Stop()
	if e.body != nil && e.body.unread() {
		e.body.stop()
		e.body.settled(forward.SettleUnread(e.writer, e.request))
	}
	problem.Write(e.writer)
	return failure(problem)
}

// chooseService draws one of the route's targets by weight, among those that
// have instances. A pinned request always draws the same.
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
	panic("the weights add up to the total")
}

func usableWeight(view *membership.View, target snapshot.WeightedService) int {
	if len(view.Endpoints(target.Service)) == 0 {
		return 0
	}
	return max(target.Weight, 1)
}

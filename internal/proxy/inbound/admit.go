package inbound

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// defaultTimeout is the time of a request that names none on a route that
	// this node does not hold.
	defaultTimeout = 10 * time.Second
	// shortBodyBytes is the size up to which a body is received before its request
	// asks for a slot.
	shortBodyBytes = 64 << 10
	// longestTimeout bounds what a request may ask for.
	longestTimeout = snapshot.MaxRouteTimeout
)

// target is the value of outcome.HeaderTarget for this process.
func (p *Proxy) target() string {
	return outcome.TargetOf(p.self.Node, p.incarnation())
}

// admit checks a request and waits for its slot. Whatever it refuses did not run.
// On success the exchange must be ended with end.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, body *requestBody) (*exchange, *outcome.Problem) {
	now := time.Now()
	arrival := p.pauses.arrival(now)
	if problem := p.checkTarget(r); problem != nil {
		return nil, problem
	}
	if p.refusing.Load() {
		return nil, refusal(outcome.ReasonDraining, "the node stops")
	}
	limits := p.configuration()
	if limits == nil {
		return nil, refusal(outcome.ReasonNoConfiguration, "")
	}
	routeName := r.Header.Get(outcome.HeaderRoute)
	route := limits.routes[routeName]
	timeout, problem := timeoutOf(r, route)
	if problem != nil {
		return nil, problem
	}
	admitted := p.newExchange(w, r, body, route, arrival.Add(timeout))
	if !admitted.deadline.After(now) {
		admitted.end()
		return nil, refusal(outcome.ReasonDeadline, "the time was over on arrival")
	}
	if problem := admitted.claim(routeName); problem != nil {
		admitted.end()
		return nil, problem
	}
	if admitted.replay != nil {
		return admitted, nil
	}
	if problem := admitted.receiveShortBody(); problem != nil {
		admitted.end()
		return nil, problem
	}
	if problem := admitted.acquire(routeName); problem != nil {
		admitted.end()
		return nil, problem
	}
	return admitted, nil
}

func refusal(reason outcome.Reason, detail string) *outcome.Problem {
	problem := outcome.New(reason, outcome.NotRun, detail)
	return &problem
}

// checkTarget refuses requests that are meant for another process. Only nodes set
// the header; a request without it does not come from one.
func (p *Proxy) checkTarget(r *http.Request) *outcome.Problem {
	targets := r.Header.Values(outcome.HeaderTarget)
	target := p.target()
	switch {
	case len(targets) != 1:
		return refusal(outcome.ReasonBadRequest, "want one "+outcome.HeaderTarget)
	case targets[0] != target:
		return refusal(outcome.ReasonWrongInstance, "this process is "+target)
	default:
		return nil
	}
}

// timeoutOf returns the time the request had left when it was sent.
func timeoutOf(r *http.Request, route *snapshot.Route) (time.Duration, *outcome.Problem) {
	values := r.Header.Values(outcome.HeaderRemaining)
	if len(values) == 0 {
		if route != nil && route.Timeout > 0 {
			return route.Timeout, nil
		}
		return defaultTimeout, nil
	}
	millis, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 {
		return 0, refusal(outcome.ReasonBadRequest, outcome.HeaderRemaining+" is not a number of milliseconds")
	}
	if millis > longestTimeout.Milliseconds() {
		return longestTimeout, nil
	}
	return time.Duration(max(millis, 0)) * time.Millisecond, nil
}

// receiveShortBody reads a short body to its end. A slow sender then holds no slot,
// and net/http notices from then on when the sender leaves, also in the queue; it
// doesn't while a body is unread. A longer body is checked at its turn (maySend).
func (e *exchange) receiveShortBody() *outcome.Problem {
	length := e.request.ContentLength
	if e.body == nil || e.first != nil { // a first's body was read for its fingerprint
		return nil
	}
	if length < 0 || length > shortBodyBytes || e.request.Header.Get("Expect") != "" {
		return nil
	}
	_, _, problem := e.readAhead(length + 1) // one more, to meet the end
	return problem
}

// readAhead reads the start of the body, at most limit bytes, and reports whether
// that was all.
func (e *exchange) readAhead(limit int64) (start []byte, whole bool, problem *outcome.Problem) {
	start, whole, err := e.body.readAhead(limit)
	switch {
	case err == nil:
		return start, whole, nil
	case e.timeOver():
		return nil, false, refusal(outcome.ReasonDeadline, "the time was over while the body came")
	default:
		return nil, false, refusal(outcome.ReasonBadRequest, "the body broke off")
	}
}

// acquire waits for a slot.
func (e *exchange) acquire(routeName string) *outcome.Problem {
	slot, refused := e.proxy.admission.Acquire(e.ctx, admission.Request{
		Route:    routeName,
		Limits:   routeLimits(e.route, e.request.Method),
		Deadline: e.deadline,
		Session:  e.upgrade != "" || asksForEvents(e.request.Header),
	})
	if slot == nil {
		e.proxy.metrics.shed(refused.Cause)
		return e.refusalOf(refused)
	}
	e.slot = slot
	return nil
}

func asksForEvents(header http.Header) bool {
	return strings.HasPrefix(header.Get("Accept"), "text/event-stream")
}

func (e *exchange) refusalOf(refused admission.Refusal) *outcome.Problem {
	reason, detail := outcome.ReasonOverloaded, ""
	switch refused.Cause {
	case admission.CauseQueueFull, admission.CauseEvicted:
		detail = "the queue is full"
	case admission.CauseWait:
		detail = "the wait would be too long"
	case admission.CauseSessions:
		detail = "no connection is left for sessions"
	case admission.CauseRouteLimit:
		reason = outcome.ReasonRouteLimit
	case admission.CauseExpired:
		reason, detail = outcome.ReasonDeadline, "the time was over in the queue"
	case admission.CauseCancelled:
		if e.timeOver() {
			reason, detail = outcome.ReasonDeadline, "the time was over in the queue"
		}
	}
	problem := outcome.New(reason, outcome.NotRun, detail)
	if refused.RetryAfter > 0 {
		problem.RetryAfter = refused.RetryAfter
	}
	return &problem
}

// connKey is the context's key of the connection a request came on.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// senderGone reports whether the node that sent the request has given it up: it
// closes the connection when the request's time is over. The kernel knows that
// even when this process was paused and net/http has not read so far.
func senderGone(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	return ok && forward.PeerClosed(conn)
}

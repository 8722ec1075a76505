package inbound

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// defaultTimeout applies to a request without a timeout on a route that this node
	// does not hold.
	defaultTimeout = 10 * time.Second
	// shortBodyBytes is the largest body that is received before its request asks for
	// a slot.
	shortBodyBytes = 64 << 10
	// maxTimeout bounds the timeout that a request may ask for.
	maxTimeout = policy.MaxTimeout
)

// target returns the value of outcome.HeaderTarget for this process.
func (p *Proxy) target() string {
	return outcome.TargetOf(p.self.Node, p.incarnation())
}

// admit checks a request and waits for its slot. A request that it refuses did not
// run. On success the caller must end the exchange with end.
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
	problem := outcome.NewProblem(reason, outcome.NotRun, detail)
	return &problem
}

// checkTarget refuses requests that are meant for another process. All nodes, and only
// nodes, set the header, so a request without it does not come from a node.
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

// timeoutOf returns the time that the request had left when it was sent.
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
	if millis > maxTimeout.Milliseconds() {
		return maxTimeout, nil
	}
	return time.Duration(max(millis, 0)) * time.Millisecond, nil
}

// receiveShortBody reads a short body to its end, so that a slow sender holds no slot.
// Afterwards net/http notices when the sender disconnects, also while the request is
// queued; it does not notice while a body is unread. For a longer body, maySend checks
// the connection when the request is about to be sent.
func (e *exchange) receiveShortBody() *outcome.Problem {
	length := e.request.ContentLength
	if e.body == nil || e.firstRun != nil { // the body was read for the fingerprint
		return nil
	}
	if length < 0 || length > shortBodyBytes || e.request.Header.Get("Expect") != "" {
		return nil
	}
	_, _, problem := e.readAhead(length + 1) // one more byte, to reach io.EOF
	return problem
}

// readAhead reads the start of the body, at most limit bytes, and reports whether that
// was the whole body.
func (e *exchange) readAhead(limit int64) (start []byte, whole bool, problem *outcome.Problem) {
	start, whole, err := e.body.readAhead(limit)
	switch {
	case err == nil:
		return start, whole, nil
	case e.deadlinePassed():
		return nil, false, refusal(outcome.ReasonDeadline, "the time was over while the body came")
	default:
		return nil, false, refusal(outcome.ReasonBadRequest, "the body broke off")
	}
}

// acquire waits for an admission slot.
func (e *exchange) acquire(routeName string) *outcome.Problem {
	slot, refused := e.proxy.admission.Acquire(e.ctx, admission.Request{
		Route:    routeName,
		Limits:   routeLimits(e.route, e.request.Method),
		Deadline: e.deadline,
		Session:  e.upgrade != "" || acceptsEventStream(e.request.Header),
	})
	if slot == nil {
		e.proxy.metrics.shed(refused.Cause)
		return e.refusalFor(refused)
	}
	e.slot = slot
	return nil
}

func acceptsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Accept"), "text/event-stream")
}

func (e *exchange) refusalFor(refused admission.Refusal) *outcome.Problem {
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
		if e.deadlinePassed() {
			reason, detail = outcome.ReasonDeadline, "the time was over in the queue"
		}
	}
	problem := outcome.NewProblem(reason, outcome.NotRun, detail)
	if refused.RetryAfter > 0 {
		problem.RetryAfter = refused.RetryAfter
	}
	return &problem
}

// connKey is the context key of the connection that a request came on.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// senderGone reports whether the sending node has given the request up: it closes the
// connection when the request's deadline passes. The kernel knows of the close even
// when this process was paused and net/http has not read from the connection since.
func senderGone(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	return ok && forward.PeerClosed(conn)
}

package inbound

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// exchange is one request to the backend. It is owned by one goroutine, and keeps the
// route it began with when the configuration changes.
type exchange struct {
	proxy            *Proxy
	writer           http.ResponseWriter
	request          *http.Request
	route            *snapshot.Route // nil if this node does not hold the route
	upgrade          string          // protocol to switch to, or ""
	body             *requestBody    // nil without a body
	deadline         time.Time
	informer         *forward.InformationalForwarder
	send             *forward.SendAttempt
	slot             *admission.Slot // nil until one is held
	idempotencyState                 // state of a request with an Idempotency-Key

	ctx              context.Context
	cancel           context.CancelCauseFunc
	timer            *time.Timer
	detachFromSender func() bool // lets the exchange continue when the sender disconnects

	mu         sync.Mutex // guards responding and ended against the timer
	responding bool       // the response header was passed on
	ended      bool
}

func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request, body *requestBody,
	route *snapshot.Route, deadline time.Time) *exchange {
	ctx, cancel := context.WithCancelCause(p.base)
	created := &exchange{
		proxy: p, writer: w, request: r, body: body, route: route, deadline: deadline,
		upgrade:  forward.UpgradeProtocol(r.Header),
		informer: forward.NewInformationalForwarder(w, r),
		ctx:      ctx, cancel: cancel,
	}
	created.detachFromSender = context.AfterFunc(r.Context(), func() { cancel(context.Canceled) })
	created.send = forward.NewSendAttempt(deadline, created.maySend)
	created.timer = time.AfterFunc(time.Until(deadline), created.expire)
	return created
}

// maySend is called immediately before the first byte is sent to the backend.
func (e *exchange) maySend() bool { return e.detached || !senderGone(e.request) }

// expire ends the exchange because its deadline has passed. It interrupts a write to a
// sender that does not read the response, and a read from one that does not send the
// body.
func (e *exchange) expire() {
	e.cancel(forward.ErrDeadline)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	if e.responding {
		_ = http.NewResponseController(e.writer).SetWriteDeadline(forward.LongAgo)
	}
	if e.body.waiting() {
		_ = http.NewResponseController(e.writer).SetReadDeadline(forward.LongAgo)
	}
}

func (e *exchange) deadlinePassed() bool {
	return forward.DeadlinePassed(e.ctx, e.deadline)
}

// end releases what the exchange holds.
func (e *exchange) end() {
	e.timer.Stop()
	e.detachFromSender()
	e.cancel(context.Canceled)
	e.endFirstRun()
	e.releaseUnfinishedSlot()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
}

// releaseSlot gives the slot back when the response has ended: the backend has
// finished its work.
func (e *exchange) releaseSlot() {
	e.slot.Release()
	e.slot = nil
}

// releaseUnfinishedSlot gives back a slot that is still held: at once if nothing was
// sent, otherwise when both sides have closed the connection, as the backend may
// continue to work until it notices the close.
func (e *exchange) releaseUnfinishedSlot() {
	if e.slot == nil {
		return
	}
	e.send.Seal()
	used := e.send.Used()
	if used == nil {
		e.releaseSlot()
		return
	}
	_ = used.Close() // the transport no longer uses the connection
	slot := e.slot
	e.slot = nil
	e.proxy.activity.Begin()
	go func() {
		defer e.proxy.activity.End()
		<-closedChannel(used)
		slot.Release()
	}()
}

// run sends the request and passes the response on, or writes a remembered response.
func (e *exchange) run() exchangeEnd {
	if e.replay != nil {
		return e.writeReplay()
	}
	response, err := e.proxy.backend.transport.RoundTrip(e.outgoing())
	e.informer.Stop()
	if err != nil {
		return e.fail(err)
	}
	shed := isShed(response)
	e.proxy.observeResponseHeader(response.Header)
	if shed {
		return e.handleShed(response)
	}
	return e.deliver(response)
}

// outgoing returns the request as it is sent to the backend.
func (e *exchange) outgoing() *http.Request {
	header := forward.RequestHeader(e.request.Header)
	remaining := []string{""}
	header[outcome.HeaderTimeout] = remaining
	target := *e.request.URL
	target.Scheme, target.Host, target.User = "http", e.proxy.settings.Backend, (*url.Userinfo)(nil)
	request := &http.Request{
		Method: e.request.Method, URL: &target, Host: e.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if e.body != nil {
		request.Body = e.body
		request.ContentLength = e.request.ContentLength
		request.Trailer = e.request.Trailer
	}
	trace := &httptrace.ClientTrace{
		// The transport writes the header after this call, so that the remaining time
		// is accurate.
		GotConn: func(info httptrace.GotConnInfo) {
			remaining[0] = outcome.FormatRemaining(e.deadline)
			info.Conn.(*forward.Conn).Assign(e.send)
		},
		Got1xxResponse: e.informer.Pass,
	}
	return request.WithContext(httptrace.WithClientTrace(e.ctx, trace))
}

// fail returns why there is no response, and whether the request may have run.
func (e *exchange) fail(err error) exchangeEnd {
	result := outcome.NotRun
	if e.send.Seal() {
		result = outcome.Unknown
	}
	callerGone := e.request.Context().Err() != nil || senderGone(e.request)
	problem := outcome.NewProblem(outcome.ReasonBroken, result, "")
	switch {
	case e.deadlinePassed():
		problem = outcome.NewProblem(outcome.ReasonDeadline, result, "")
	case e.body.readError() != nil:
		problem = outcome.NewProblem(outcome.ReasonBadRequest, result, "the body broke off")
	case callerGone:
		return endedCallerGone
	case result == outcome.NotRun:
		e.proxy.observeConnectFailure(err)
		problem = outcome.NewProblem(outcome.ReasonConnect, result, "")
	}
	return endedWithProblem(problem)
}

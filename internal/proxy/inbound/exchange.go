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

// exchange is one request to the back end. One goroutine owns it. It stays on the
// route it began with.
type exchange struct {
	proxy    *Proxy
	writer   http.ResponseWriter
	request  *http.Request
	route    *snapshot.Route // nil when this node does not hold the route
	upgrade  string          // protocol to switch to, or ""
	body     *requestBody    // nil without a body
	deadline time.Time
	informer *forward.Informer
	send     *forward.Send
	slot     *admission.Slot // nil until one is held
	keyed                    // what the Idempotency-Key brings

	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	unlink func() bool // lets the exchange go on without its sender

	mu        sync.Mutex // guards the two below against the timer
	answering bool       // the answer's header was passed on
	ended     bool
}

func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request, body *requestBody,
	route *snapshot.Route, deadline time.Time) *exchange {
	ctx, cancel := context.WithCancelCause(p.base)
	created := &exchange{
		proxy: p, writer: w, request: r, body: body, route: route, deadline: deadline,
		upgrade:  forward.UpgradeProtocol(r.Header),
		informer: forward.NewInformer(w, r),
		ctx:      ctx, cancel: cancel,
	}
	created.unlink = context.AfterFunc(r.Context(), func() { cancel(context.Canceled) })
	created.send = forward.NewSend(deadline, created.maySend)
	created.timer = time.AfterFunc(time.Until(deadline), created.expire)
	return created
}

// maySend is asked immediately before the first byte goes to the back end.
func (e *exchange) maySend() bool { return e.detached || !senderGone(e.request) }

// expire ends the exchange because its time is over. A sender that does not read
// the answer, or does not go on with the body, is no longer waited for.
func (e *exchange) expire() {
	e.cancel(forward.ErrDeadline)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	if e.answering {
		_ = http.NewResponseController(e.writer).SetWriteDeadline(forward.LongAgo)
	}
	if e.body.waiting() {
		_ = http.NewResponseController(e.writer).SetReadDeadline(forward.LongAgo)
	}
}

func (e *exchange) timeOver() bool {
	return forward.TimeOver(e.ctx, e.deadline)
}

// end releases what the exchange holds.
func (e *exchange) end() {
	e.timer.Stop()
	e.unlink()
	e.cancel(context.Canceled)
	e.settleKey()
	e.settleSlot()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
}

// releaseSlot gives the slot back at the end of the answer: the back end is done.
func (e *exchange) releaseSlot() {
	e.slot.Release()
	e.slot = nil
}

// settleSlot gives the slot back that is still held: at once when nothing was
// sent, else when both sides have closed the connection, as the back end may work
// on until it notices.
func (e *exchange) settleSlot() {
	if e.slot == nil {
		return
	}
	e.send.Seal()
	used := e.send.Used()
	if used == nil {
		e.releaseSlot()
		return
	}
	_ = used.Close() // the transport has given the connection up
	slot := e.slot
	e.slot = nil
	e.proxy.activity.Begin()
	go func() {
		defer e.proxy.activity.End()
		<-closedOf(used)
		slot.Release()
	}()
}

// run sends the request and passes the answer on, or gives a remembered answer.
func (e *exchange) run() ending {
	if e.replay != nil {
		return e.giveReplay()
	}
	response, err := e.proxy.backend.transport.RoundTrip(e.outgoing())
	e.informer.Stop()
	if err != nil {
		return e.fail(err)
	}
	shed := isShed(response)
	e.proxy.observeAnswer(response.Header)
	if shed {
		return e.failShed(response)
	}
	return e.deliver(response)
}

// outgoing is the request as the back end gets it.
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
		// The header is written after this call: the time left is then exact.
		GotConn: func(info httptrace.GotConnInfo) {
			remaining[0] = outcome.Remaining(e.deadline)
			info.Conn.(*forward.Conn).Assign(e.send)
		},
		Got1xxResponse: e.informer.Pass,
	}
	return request.WithContext(httptrace.WithClientTrace(e.ctx, trace))
}

// fail tells why there is no answer, and whether the request may have run.
func (e *exchange) fail(err error) ending {
	result := outcome.NotRun
	if e.send.Seal() {
		result = outcome.Unknown
	}
	callerGone := e.request.Context().Err() != nil || senderGone(e.request)
	problem := outcome.New(outcome.ReasonBroken, result, "")
	switch {
	case e.timeOver():
		problem = outcome.New(outcome.ReasonDeadline, result, "")
	case e.body.failure() != nil:
		problem = outcome.New(outcome.ReasonBadRequest, result, "the body broke off")
	case callerGone:
		return endedCallerGone
	case result == outcome.NotRun:
		e.proxy.observeConnectFailure(err)
		problem = outcome.New(outcome.ReasonConnect, result, "")
	}
	return failure(problem)
}

package inbound

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// send sends the request to the instance and classifies the result.
func (p *Proxy) send(ctx context.Context, request *message.Request, order hop.Order, deadline time.Time, slot *queue.Slot) Delivery {
	started := time.Now()
	ctx, cancelSend := context.WithDeadline(ctx, deadline)
	begun, cancel := p.load.begin(started, cancelSend)
	response, err := p.instance.Do(ctx, p.instanceRequest(request, order, deadline))
	if err != nil {
		cancel()
		delivery := p.sendFailure(err, request, order, slot, begun)
		delivery.Report.Execution = time.Since(started)
		return delivery
	}
	p.observeStatement(request, order, response.Status, response.Header, started)
	p.observeLoad(begun, request, order, response.Status, response.Header, p.rejectionReason(response) == hop.ReasonNone, started)
	if reason := p.rejectionReason(response); reason != hop.ReasonNone {
		response.Discard()
		cancel()
		slot.Release(false)
		if reason == hop.ReasonWrongInstance {
			p.stale.add(p.processOf(order.Instance))
		}
		report := p.report(hop.Rejected, reason)
		if reason == hop.ReasonOverloaded && hasRoom(report) {
			report.Reason = hop.ReasonRejected
		}
		return Delivery{Report: report}
	}
	if p.options.Names.Stamp != "" && len(response.Header[p.options.Names.Stamp]) != 1 && response.Status < http.StatusMultipleChoices {
		_ = response.Close()
		cancel()
		slot.Release(true)
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonInvalid), Err: errNoStamp}
	}
	return p.forwardResponse(response, request, order, started, slot, begun, cancel)
}

// processOf returns the current process of an instance, or just its name if it is not listed.
func (p *Proxy) processOf(name string) snapshot.InstanceID {
	if current := p.options.Snapshots.Current(); current != nil {
		if instance, listed := current.Instance(name); listed {
			return instance.ID()
		}
	}
	return snapshot.InstanceID{Name: name}
}

var errNoStamp = errors.New("the instance's response lacks the header that identifies the server")

// instanceRequest returns the request as it is sent to the instance.
func (p *Proxy) instanceRequest(request *message.Request, order hop.Order, deadline time.Time) *client.Request {
	names := p.options.Names
	header := maps.Clone(request.Header)
	remaining := time.Until(deadline)
	if remaining > 4*answerMargin {
		remaining -= answerMargin
	}
	set(header, names.RequestID, request.ID)
	set(header, names.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	set(header, names.ExpectInstance, order.Instance)
	set(header, names.CallerService, headerText(order.CallerService))
	if order.Tenant != "" {
		set(header, names.Tenant, headerText(order.Tenant))
	}
	sent := &client.Request{
		Method: request.Method, Target: request.Target, Host: request.Host,
		Header: header, Body: request.Body, ID: request.ID,
	}
	if !order.Repeatable && p.options.Mechanisms.IdleLimit {
		sent.MaxIdle = p.options.MaxIdleNonRepeatable
	}
	return sent
}

func set(header http.Header, name, value string) {
	if name != "" {
		header[name] = []string{value}
	}
}

// rejectionReason returns why the instance did not execute the request according to its
// response, or ReasonNone if it did.
func (p *Proxy) rejectionReason(response *client.Response) hop.Reason {
	switch name := p.options.Names.NotExecuted; {
	case response.Status == http.StatusMisdirectedRequest:
		return hop.ReasonWrongInstance
	case name != "" && len(response.Header[name]) > 0:
		return hop.ReasonOverloaded
	default:
		return hop.ReasonNone
	}
}

// hasRoom reports whether so many slots of the instance are free that it cannot be full, even if it
// still works on requests that this node has given up.
func hasRoom(report hop.Report) bool {
	const maxUsedShare = 0.75
	return report.Waiting == 0 && float64(report.Running) <= maxUsedShare*float64(report.Slots)
}

// sendFailure classifies a send that got no response.
func (p *Proxy) sendFailure(err error, request *message.Request, order hop.Order, slot *queue.Slot, begun *loadedRun) Delivery {
	var failure *client.Error
	if !errors.As(err, &failure) {
		failure = &client.Error{Progress: client.SentWhole, Err: err}
	}
	p.releaseUnanswered(begun, order, slot, failure)
	switch {
	case failure.Progress == client.NotSent:
		return Delivery{Report: p.report(hop.Refused, hop.ReasonConnect), Err: err}
	case errors.Is(err, context.DeadlineExceeded):
		p.crashes.noteAbandoned(newRunInProgress(request, order), time.Now())
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonDeadline), Err: err}
	case errors.Is(err, context.Canceled):
		p.crashes.noteAbandoned(newRunInProgress(request, order), time.Now())
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonCancelled), Err: err}
	case failure.Invalid:
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonInvalid), Err: err}
	default:
		return p.brokenConnection(err, request, order)
	}
}

// brokenConnection classifies a send whose connection broke before the response was
// complete.
func (p *Proxy) brokenConnection(err error, request *message.Request, order hop.Order) Delivery {
	reason := hop.ReasonBroken
	if p.crashes.connectionLost(newRunInProgress(request, order)) {
		reason = hop.ReasonCrashed
	}
	return Delivery{Report: p.report(hop.Unknown, reason), Err: err}
}

// forwardResponse forwards a response: a short one once it is complete, a long one or an
// event stream as it arrives.
func (p *Proxy) forwardResponse(response *client.Response, request *message.Request, order hop.Order, started time.Time, slot *queue.Slot, begun *loadedRun, cancel func()) Delivery {
	answer := &message.Response{Status: response.Status, Header: response.Header, Length: response.Length}
	message.StripHopByHop(answer.Header)
	hop.StripReport(answer.Header)
	body, complete, err := response.Buffer()
	if err == nil {
		p.clearSuspicion(request)
	}
	if err == nil && !complete {
		answer.Body, answer.Stream = body, &stream{response: response, slot: slot, cancel: cancel}
		return Delivery{Report: p.report(hop.Answered, hop.ReasonNone), Response: answer}
	}
	_ = response.Close()
	cancel()
	slot.Release(true)
	if err != nil {
		return p.brokenConnection(err, request, order)
	}
	answer.Body, answer.Length = body, int64(len(body))
	execution := time.Since(started)
	if answer.Status < http.StatusMultipleChoices {
		p.speed.record(execution, order.MeanServiceTime)
		p.load.recordExecution(begun, execution, order.MeanServiceTime)
	}
	report := p.report(hop.Answered, hop.ReasonNone)
	report.Execution = execution
	return Delivery{Report: report, Response: answer}
}

// stream is the rest of a response. The slot is held until the stream is closed.
type stream struct {
	response *client.Response
	slot     *queue.Slot
	cancel   func()
	run      *budget.Run
	parent   *callpriority.Run
}

// Read reads the response of the instance.
func (s *stream) Read(data []byte) (int, error) { return s.response.Body.Read(data) }

// Close closes the response and releases the slot.
func (s *stream) Close() error {
	err := s.response.Close()
	s.cancel()
	s.slot.Release(true)
	s.run.End()
	s.parent.End(time.Now())
	return err
}

// headerText returns a name as the value of a header field. A name that cannot be one is escaped.
func headerText(name string) string {
	if strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl) {
		return name
	}
	return url.PathEscape(name)
}

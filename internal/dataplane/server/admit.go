package server

import (
	"context"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// needsAdmission reports whether the client waits for a 100 (Continue) response before it
// sends the body and Admit has to decide about it.
func (c *connection) needsAdmission(parsed *http.Request) bool {
	return c.server.options.Admit != nil && expectsContinue(parsed) && parsed.ContentLength > 0
}

// readAdmitted reads the body after Admit has accepted it. A refused body is not sent, so
// the connection can be used for further requests.
func (c *connection) readAdmitted(parsed *http.Request, read *exchange, limits Limits) (*exchange, *message.Response) {
	admission, connected := c.awaitAdmission(read.request, parsed.ContentLength)
	done := admission.Release
	if done == nil {
		done = func(bool) {}
	}
	if !connected {
		done(false)
		return nil, nil
	}
	if admission.Refusal != nil {
		return c.refuseAdmission(read, admission.Refusal), nil
	}
	held, found := c.server.bodies.hold(parsed.ContentLength)
	if !found {
		done(false)
		return c.refuseAdmission(read, c.refuseBody(read.request)), nil
	}
	if err := c.continueInOrder(admission.Interim); err != nil {
		held.release()
		done(false)
		return nil, nil
	}
	refusal, ok := c.readBody(parsed, read, held, limits)
	done(ok && refusal == nil)
	if refusal != nil || !ok {
		return nil, refusal
	}
	return read, nil
}

// refuseAdmission refuses a request whose sender has asked for admission. Nodes send no body after a refusal,
// so the connection can be kept.
func (c *connection) refuseAdmission(read *exchange, refusal *message.Response) *exchange {
	read.closeAfter = read.closeAfter || c.reader.Buffered() > 0
	return c.refuseUnread(read, refusal)
}

// continueInOrder sends a 100 (Continue) response after the responses to earlier requests. It
// waits for them, as a client may have read the last one before its write returned here.
func (c *connection) continueInOrder(interim http.Header) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.pending > 0 {
		c.pendingFell.Wait()
	}
	return c.writeInterim(interim)
}

// awaitAdmission waits for the decision of Admit; connected is false when the client left
// meanwhile.
func (c *connection) awaitAdmission(request *message.Request, bytes int64) (admission Admission, connected bool) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	_ = c.conn.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.reader.Peek(1); err != nil {
			cancel() // the client left, or the wait is over
		}
	}()
	admission = c.server.options.Admit(ctx, request, bytes)
	connected = ctx.Err() == nil
	_ = c.conn.SetReadDeadline(past)
	<-watched
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	return admission, connected
}

// past is a deadline that has already expired.
var past = time.Unix(1, 0)

// InterimHeader returns a header with one field, for an interim response.
func InterimHeader(name, value string) http.Header { return http.Header{name: {value}} }

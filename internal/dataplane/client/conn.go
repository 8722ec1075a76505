package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/httpmessage"
)

const (
	readBufferBytes = 4 << 10
	// maxMismatches limits the skipped responses to other requests.
	maxMismatches = 2
	// minConcurrentBody is the size above which a body is written while the response is
	// read, as a server may respond early.
	minConcurrentBody = 16 << 10
	// maxHeadBytes limits the status line and the header of a response.
	maxHeadBytes = 64 << 10
	// maxMismatchBytes limits the body of a skipped response.
	maxMismatchBytes = 4 << 20
)

var errIDMismatch = errors.New("the response belongs to another request")

// conn is one connection to the server and the state of the exchange on it.
type conn struct {
	net.Conn
	pool *Pool
	// reader is nil while the connection is idle. It reads through bound.
	reader    *bufio.Reader
	bound     *message.BoundedReader
	exchanges int
	// idleSince is when the last response ended, or the connection was established: nothing
	// has been received on it since.
	idleSince time.Time
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	// closeAfter is set when the connection closes after this response.
	closeAfter bool
	// writing is the body that is being written while the response is read, nil for none.
	writing *bodyWrite
	// unsent is the body that waits for a 100 (Continue) response.
	unsent []byte
}

// isReusable reports whether an idle connection is open, has received nothing and has not
// reached its idle timeout.
func (c *conn) isReusable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleTimeout && !c.hasUnread() && isOpenAndEmpty(c.Conn)
}

// exchange writes a request and reads the header of its response.
func (c *conn) exchange(ctx context.Context, request *Request, idHeader string) (*Response, *Error) {
	c.exchanges++
	c.closeAfter, c.writing, c.unsent = false, nil, nil
	if failure := c.write(request); failure != nil {
		return nil, failure
	}
	for mismatches := 0; ; mismatches++ {
		response, err := c.readFinalHeader(ctx, request)
		if err != nil {
			return nil, c.newReadError(err)
		}
		if idHeader == "" || c.matchesRequest(response, request, idHeader) {
			return c.newResponse(response), nil
		}
		copied, err := io.CopyN(io.Discard, response.Body, maxMismatchBytes)
		if mismatches >= maxMismatches || response.Close || copied == maxMismatchBytes || !errors.Is(err, io.EOF) {
			return nil, &Error{Progress: SentWhole, Invalid: true, Err: errIDMismatch}
		}
	}
}

// matchesRequest reports whether a response repeats the ID of the request.
func (c *conn) matchesRequest(response *http.Response, request *Request, idHeader string) bool {
	ids := response.Header[idHeader]
	return len(ids) == 1 && ids[0] == request.ID
}

func (c *conn) newReadError(err error) *Error {
	var network net.Error
	var silent *SilenceError
	if errors.As(err, &silent) {
		return &Error{Progress: c.progress(), Silent: true, Err: err}
	}
	invalid := !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network)
	return &Error{Progress: c.progress(), Invalid: invalid, Err: eris.Wrap(err, "read the response")}
}

// progress returns how much of the request the server may have received when its response
// cannot be read. It first aborts a body that is still being written, as otherwise the last
// part could still be sent afterwards.
func (c *conn) progress() Progress {
	switch {
	case c.unsent != nil:
		return SentPart
	case c.writing == nil || !c.pool.options.RunsOnlyComplete:
		return SentWhole
	}
	c.abort()
	if <-c.writing.ended; c.writing.err != nil {
		return SentPart
	}
	return SentWhole
}

// write sends the request. A large body is written while the response is read.
func (c *conn) write(request *Request) *Error {
	var head bytes.Buffer
	encodeHead(&head, request, c.pool.options.ProgressHeader)
	if len(request.Body) <= minConcurrentBody && !request.ExpectContinue {
		head.Write(request.Body)
		return c.writeAll(head.Bytes())
	}
	if failure := c.writeAll(head.Bytes()); failure != nil {
		return failure
	}
	if request.ExpectContinue {
		c.unsent = request.Body
		return nil
	}
	c.writeBody(request.Body, request.Order)
	return nil
}

// handleContinue sends the body that waits for a 100 (Continue) response.
func (c *conn) handleContinue(response *http.Response, order transfer.Order) {
	if c.unsent == nil {
		return
	}
	pace, err := strconv.ParseInt(response.Header.Get(c.pool.options.PaceHeader), 10, 64)
	if err != nil || pace < 0 {
		pace = 0
	}
	body := c.unsent
	c.unsent = nil
	order.Pace = pace
	c.writeBody(body, order)
}

func (c *conn) writeAll(data []byte) *Error {
	c.pool.options.Egress.Charge(len(data))
	written, err := c.Conn.Write(data)
	switch {
	case err == nil:
		return nil
	case written == 0:
		return &Error{Progress: NotSent, Err: eris.Wrap(err, "send")}
	default:
		return &Error{Progress: SentPart, Err: eris.Wrap(err, "send")}
	}
}

// encodeHead writes the request line and the header fields.
func encodeHead(head *bytes.Buffer, request *Request, progressHeader string) {
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	_ = request.Header.Write(head) // writing to a buffer does not fail
	if request.ExpectContinue {
		head.WriteString("Expect: 100-continue\r\n")
	}
	if request.SilenceLimit > 0 && progressHeader != "" {
		head.WriteString(progressHeader)
		head.WriteString(": 1\r\n")
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
}

// readFinalHeader reads up to the header of the next final response. The number of progress
// reports that were asked for is not limited: the deadline of the request bounds the wait.
func (c *conn) readFinalHeader(ctx context.Context, request *Request) (*http.Response, error) {
	for interim := 0; interim < httpmessage.MaxInterim; interim++ {
		response, err := c.readHeader(ctx, request)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, eris.New("the server switched to another protocol")
		case response.StatusCode == http.StatusContinue:
			c.handleContinue(response, request.Order)
		case response.StatusCode == http.StatusProcessing && c.pool.options.ProgressHeader != "":
			c.pool.reportsProgress.Store(true)
			interim--
		}
	}
	return nil, eris.New("too many interim responses")
}

// bodyFinishTimeout limits the wait for the write of a body to return after the response.
const bodyFinishTimeout = time.Second

// abort closes the connection and discards data that is still in the send buffer. Otherwise
// a slow link would deliver the rest of the body before the close, and the server would run
// a request whose caller has already left.
func (c *conn) abort() {
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	_ = c.Conn.Close()
	c.cancelBody()
}

// awaitWritten reports whether the whole request was written. A server that runs only
// complete requests has received all of it, although the write may not have returned yet.
func (c *conn) awaitWritten() bool {
	if c.writing == nil || !c.pool.options.RunsOnlyComplete {
		return c.written()
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(bodyFinishTimeout))
	timer := time.AfterFunc(bodyFinishTimeout, c.writing.cancel)
	<-c.writing.ended
	timer.Stop()
	_ = c.Conn.SetWriteDeadline(time.Time{})
	return c.writing.err == nil
}

// written reports whether the whole request has been written so far.
func (c *conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case <-c.writing.ended:
		return c.writing.err == nil
	default:
		return false
	}
}

package client

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/httpmessage"
	"github.com/winchhead/winchhead/internal/proxy/forward"
)

func (c *conn) newResponse(parsed *http.Response) *Response {
	c.closeAfter = parsed.Close || httpmessage.IsUnframed(parsed)
	if seconds, ok := keepAliveTimeout(parsed.Header); ok {
		c.idleTimeout = reuseLimit(seconds)
	}
	response := &Response{Status: parsed.StatusCode, Header: parsed.Header, Length: parsed.ContentLength, parsed: parsed}
	response.Body = &bodyReader{inner: parsed.Body, response: response}
	return response
}

// keepAliveTimeout returns the idle timeout of the server, from its Keep-Alive field.
func keepAliveTimeout(header http.Header) (seconds int, ok bool) {
	for _, value := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			if number, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && number >= 0 {
				return number, true
			}
		}
	}
	return 0, false
}

// reuseLimit returns how long a connection may be idle, a margin below the server's timeout,
// so that no request is sent just as the server closes.
func reuseLimit(seconds int) time.Duration {
	const margin = 4 // a quarter of the timeout
	timeout := time.Duration(seconds) * time.Second
	return timeout - min(timeout/margin+100*time.Millisecond, time.Second)
}

// bodyReader records whether the body was read to its end.
type bodyReader struct {
	inner    io.Reader
	response *Response
}

// Read reads the body; it returns io.EOF only after the complete body.
func (r *bodyReader) Read(data []byte) (int, error) {
	count, err := r.inner.Read(data)
	if err == io.EOF {
		if err := r.response.checkEnd(); err != nil {
			return count, err
		}
		r.response.complete = true
	}
	return count, err
}

// errBrokenOff is returned in place of the end of a body that may not be complete.
var errBrokenOff = eris.New("the server closed the connection before it had received the request")

// checkEnd returns an error unless a body that was read to its end is complete and its trailer is valid.
//
// Where only the end of the connection marks the end of the body, the stream may also end because of a reset whose
// error was reported to another call: the kernel reports it once, for example to the writer of the request's
// body. So the end counts only after that body was written without an error, on a connection that was not
// reset. A server that closes without reading the request to its end counts as one that has broken off its
// response: the two cannot be told apart.
func (r *Response) checkEnd() error {
	if !httpmessage.IsUnframed(r.parsed) || r.owner == nil {
		return httpmessage.CheckFields(r.parsed.Trailer)
	}
	if writing := r.owner.writing; writing != nil {
		select {
		case <-writing.ended:
		case <-r.cancelled:
			return os.ErrDeadlineExceeded
		}
		if writing.err != nil {
			return eris.Wrap(writing.err, errBrokenOff.Error())
		}
	}
	if forward.PeerReset(r.owner.Conn) {
		return errBrokenOff
	}
	return nil
}

// MaxBufferedBodyBytes is the size up to which a response is buffered completely before it is
// passed on, so that an incomplete one can still be replaced.
const MaxBufferedBodyBytes = 1 << 20

// Buffer reads a short body to its end. For a long body or a stream of events whole is false,
// and the rest is still to be read from Body.
func (r *Response) Buffer() (start []byte, whole bool, err error) {
	if r.Length > MaxBufferedBodyBytes || strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return nil, false, nil
	}
	if r.hasKnownBody() {
		start, err = message.ReadBody(r.Body, r.Length)
		return start, err == nil, err
	}
	start, err = io.ReadAll(io.LimitReader(r.Body, MaxBufferedBodyBytes))
	return start, err == nil && len(start) < MaxBufferedBodyBytes, err
}

// hasKnownBody reports whether a body of the stated length follows, short enough to be buffered whole.
// The response to a HEAD request states the length of a body that does not follow.
func (r *Response) hasKnownBody() bool {
	body, ok := r.Body.(*bodyReader)
	return ok && body.inner != http.NoBody && r.Length >= 0 && r.Length < MaxBufferedBodyBytes
}

const (
	// maxDiscardedBytes and discardTimeout limit what is read of an unwanted response to keep its connection: a
	// new one costs about a millisecond, and the request may be waiting for another instance.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 20 * time.Millisecond
)

// Discard reads and drops the body of an unwanted response, if it is short and there, so that the
// connection can be reused.
func (r *Response) Discard() {
	_ = r.owner.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
	_ = r.owner.SetReadDeadline(time.Time{})
	_ = r.Close()
}

// Close ends the exchange. The connection is kept for reuse when the complete response was
// read and no other data is left on it.
func (r *Response) Close() error {
	if r.owner == nil {
		return nil
	}
	owner := r.owner
	r.owner = nil
	stopped := r.stop()
	if !stopped || !r.complete || owner.closeAfter || !owner.awaitWritten() || owner.reader.Buffered() > 0 {
		owner.pool.drop(owner)
		return nil
	}
	owner.pool.put(owner)
	return nil
}

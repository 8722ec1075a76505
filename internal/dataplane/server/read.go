package server

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/httpmessage"
)

// bodyTimeout is how long a client may send nothing within a body.
const bodyTimeout = 20 * time.Second

// readSlack is how much may be read beyond a limit, as reads are buffered.
const readSlack = 2 * readBufferBytes

// readEnd is the reason why no further request is read.
type readEnd uint8

const (
	// clientLeft: the client closed or reset the connection, or it was idle for too long.
	clientLeft readEnd = 1
	// lastRequestRead: the connection accepts no further requests.
	lastRequestRead readEnd = 2
)

// readRequests reads and runs requests until the connection ends.
func (c *connection) readRequests() readEnd {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout))
	for {
		c.bound.Set(readSlack)
		if err := c.awaitRequest(); err != nil {
			return clientLeft // or the idle timeout expired
		}
		if !c.beginReading() {
			return lastRequestRead
		}
		taken, refusal := c.readRequest()
		if refusal != nil {
			if !c.refuse(refusal) {
				return lastRequestRead
			}
			return c.awaitClose() // earlier requests may still run
		}
		if taken == nil {
			return clientLeft
		}
		if !c.accept() {
			taken.heldBody.release()
			return lastRequestRead
		}
		c.dispatch(taken)
		if taken.closeAfter {
			return c.awaitClose()
		}
	}
}

// awaitClose waits, after the last request, until the client leaves or the connection is
// closed after the response.
func (c *connection) awaitClose() readEnd {
	var one [1]byte
	for {
		c.bound.Set(readSlack)
		if _, err := c.reader.Read(one[:]); err != nil {
			return clientLeft
		}
	}
}

// readRequest reads one request to its end. If the request cannot be accepted, it returns the
// response that refuses it instead. If both results are nil, the client left.
func (c *connection) readRequest() (*exchange, *message.Response) {
	limits := c.server.options.Limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.bound.Set(int64(limits.MaxHeaderBytes) + readSlack)
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.refuseHeader(err)
	}
	if size := headerBytes(parsed); limits.MaxHeaderBytes > 0 && size > limits.MaxHeaderBytes {
		return nil, c.server.options.Refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	}
	if refusal := c.validate(parsed, limits); refusal != nil {
		return nil, refusal
	}
	read := c.newExchange(parsed)
	if refusal := c.checkHeader(parsed, read.request); refusal != nil {
		// Any client may send the body without waiting, also after this response.
		read.closeAfter = true
		return c.refuseUnread(read, refusal), nil
	}
	if c.needsAdmission(parsed) {
		return c.readAdmitted(parsed, read, limits)
	}
	held, found := c.server.bodies.hold(parsed.ContentLength)
	if !found {
		return nil, c.refuseBody(read.request)
	}
	if err := c.sendContinue(parsed); err != nil {
		held.release()
		return nil, nil
	}
	if refusal, ok := c.readBody(parsed, read, held, limits); refusal != nil || !ok {
		return nil, refusal
	}
	return read, nil
}

// smallBodyBytes is the size up to which a body is read before the request is checked: reading it costs
// less than a new connection.
const smallBodyBytes = 16 << 10

// checkHeader returns the response to a request with a large body that is refused for its header.
func (c *connection) checkHeader(parsed *http.Request, request *message.Request) *message.Response {
	hasLargeBody := parsed.ContentLength < 0 || parsed.ContentLength > smallBodyBytes || parsed.ContentLength > 0 && expectsContinue(parsed)
	if c.server.options.Check == nil || !hasLargeBody {
		return nil
	}
	return c.server.options.Check(request)
}

// refuseUnread refuses a request whose body has not been read. Unless the connection is closed, what the
// client sends of the body would be taken for another request.
func (c *connection) refuseUnread(read *exchange, refusal *message.Response) *exchange {
	read.refused = true
	read.answer <- refusal
	return read
}

func (c *connection) refuseHeader(err error) *message.Response {
	switch {
	case errors.Is(err, message.ErrTooLong):
		return c.server.options.Refuse(http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	case isNetworkError(err), c.peerClosed():
		return nil // a header that was cut off by the client's close looks malformed
	default:
		return c.server.options.Refuse(http.StatusBadRequest, "the request is malformed")
	}
}

func (c *connection) validate(parsed *http.Request, limits Limits) *message.Response {
	refuse := c.server.options.Refuse
	switch id := c.server.options.RequestID; {
	case parsed.Method == http.MethodConnect || parsed.Method == http.MethodTrace:
		return refuse(http.StatusMethodNotAllowed, "the method is not supported")
	case parsed.Host == "" && parsed.ProtoAtLeast(1, 1):
		return refuse(http.StatusBadRequest, "the request names no host")
	case httpmessage.CheckFields(parsed.Header) != nil:
		return refuse(http.StatusBadRequest, "a header field is malformed")
	case id != "" && len(parsed.Header[id]) != 1:
		return refuse(http.StatusBadRequest, "want one "+id)
	case limits.MaxBodyBytes > 0 && parsed.ContentLength > limits.MaxBodyBytes:
		return refuse(http.StatusRequestEntityTooLarge, "the body is too large")
	default:
		return nil
	}
}

// readBody reads the whole body into the exchange, so that the request can be sent again after a failure. held
// is its memory. ok is false when the client left.
func (c *connection) readBody(parsed *http.Request, read *exchange, held *heldBody, limits Limits) (refusal *message.Response, ok bool) {
	if parsed.Body == nil || parsed.Body == http.NoBody {
		return nil, true
	}
	c.bound.Set(limits.MaxBodyBytes + limits.MaxBodyBytes/8 + readSlack) // an eighth for the chunk framing
	source := &deadlineReader{connection: c, inner: io.LimitReader(parsed.Body, limits.MaxBodyBytes+1)}
	body, err := readHeld(source, min(parsed.ContentLength, limits.MaxBodyBytes+1), held)
	if err == nil {
		err = httpmessage.CheckFields(parsed.Trailer)
	}
	if err == nil && int64(len(body)) <= limits.MaxBodyBytes {
		read.request.Body, read.heldBody = body, held
		return nil, true
	}
	held.release()
	switch {
	case err == nil:
		return c.server.options.Refuse(http.StatusRequestEntityTooLarge, "the body is too large"), true
	case errors.Is(err, errNoBodyMemory):
		return c.refuseBody(read.request), true
	case !isNetworkError(err) && !errors.Is(err, io.ErrUnexpectedEOF):
		return c.server.options.Refuse(http.StatusBadRequest, "the body is malformed"), true
	default:
		return nil, false
	}
}

func readHeld(source io.Reader, length int64, held *heldBody) ([]byte, error) {
	if length < 0 {
		return readUnsized(source, held)
	}
	return message.ReadBody(source, length)
}

// refuseBody returns the response to a request whose body finds no memory.
func (c *connection) refuseBody(request *message.Request) *message.Response {
	if c.server.options.RefuseBody != nil {
		return c.server.options.RefuseBody(request)
	}
	return c.server.options.Refuse(http.StatusServiceUnavailable, errNoBodyMemory.Error())
}

// sendContinue sends a 100 (Continue) response if the client waits for one and all earlier
// requests are answered.
func (c *connection) sendContinue(parsed *http.Request) error {
	if !expectsContinue(parsed) {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending > 0 {
		return nil // the client sends the body without it after a while
	}
	return c.writeInterim(nil)
}

func expectsContinue(parsed *http.Request) bool {
	return strings.EqualFold(parsed.Header.Get("Expect"), "100-continue")
}

// writeInterim writes a 100 (Continue) response. The caller holds the mutex, and no response
// is being written.
func (c *connection) writeInterim(header http.Header) error {
	var interim bytes.Buffer
	interim.WriteString("HTTP/1.1 100 Continue\r\n")
	_ = header.Write(&interim) // writing to a buffer does not fail
	interim.WriteString("\r\n")
	_, err := c.conn.Write(interim.Bytes())
	return err
}

// newExchange returns the exchange for a request whose header was read, with its end-to-end
// fields only.
func (c *connection) newExchange(parsed *http.Request) *exchange {
	closeAfter := parsed.Close || !parsed.ProtoAtLeast(1, 1)
	header := maps.Clone(parsed.Header) // reading the body still needs the removed fields
	message.StripHopByHop(header)
	progressHeader := c.server.options.ProgressHeader
	reportsProgress := progressHeader != "" && len(header[progressHeader]) > 0
	delete(header, progressHeader)
	request := &message.Request{
		Method:     parsed.Method,
		Target:     parsed.RequestURI,
		Path:       message.PathOf(parsed.RequestURI),
		Host:       parsed.Host,
		Header:     header,
		Arrived:    time.Now(),
		ClientGone: c.peerClosed,
	}
	if id := c.server.options.RequestID; id != "" {
		request.ID = parsed.Header[id][0]
	}
	return &exchange{
		request: request, closeAfter: closeAfter, isHead: parsed.Method == http.MethodHead, reportsProgress: reportsProgress,
		answer: make(chan *message.Response, 1),
	}
}

// refuse queues the response to a request that cannot be accepted; the connection closes after
// it. It returns false when the connection is already closing.
func (c *connection) refuse(answer *message.Response) bool {
	if !c.accept() {
		return false
	}
	refused := &exchange{closeAfter: true, answer: make(chan *message.Response, 1)}
	refused.answer <- answer
	c.enqueue(refused)
	return true
}

// headerBytes returns the size of the request line and the header fields as sent.
func headerBytes(parsed *http.Request) int {
	const separators = len(": \r\n")
	size := len(parsed.Method) + len(parsed.RequestURI) + len(parsed.Proto) + len(parsed.Host)
	for name, values := range parsed.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// deadlineReader limits the time between two reads of a body.
type deadlineReader struct {
	connection *connection
	inner      io.Reader
}

// Read extends the read deadline before each read.
func (r *deadlineReader) Read(data []byte) (int, error) {
	_ = r.connection.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	return r.inner.Read(data)
}

func isNetworkError(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &timeout)
}

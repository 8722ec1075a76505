// Package client sends requests over kept HTTP/1.1 connections, one at a time on
// each, and tells for each failure whether the request may have run. It trusts no
// byte that it did not ask for: an answer counts only with the id of its request,
// and a connection with anything left on it is not used again.
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
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Progress tells how much of a request was sent when its send failed.
type Progress uint8

// The stages of a send.
const (
	// NotSent: not a byte of the request left.
	NotSent Progress = 1
	// SentPart: the request was not written to its end.
	SentPart Progress = 2
	// SentWhole: the request was written and no whole answer came.
	SentWhole Progress = 3
)

// Error is a send without a whole valid answer.
type Error struct {
	Progress Progress
	// Invalid says that what came was not an answer to the request.
	Invalid bool
	Err     error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one message to send. Header must hold no field of one connection
// only; Host and the length are added.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID is what the answer must give back in the field IDHeader.
	ID string
}

// Response is an answer whose body is read from Body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 when it ends with its last chunk or with the
	// connection.
	Length int64
	Body   io.Reader

	owner *conn
	stop  func() bool
	whole bool
}

// Options set up a Pool.
type Options struct {
	Address string
	// IDHeader is the field in which answers give back the id of their request.
	IDHeader string
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection may rest when its server names no time.
	IdleTimeout time.Duration
	// Dial makes connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps the connections to one server. It is safe for concurrent use.
type Pool struct {
	options Options

	mutex  sync.Mutex
	idle   []*conn // the last used is the last
	open   int
	closed bool
}

// NewPool returns a Pool without connections.
func NewPool(options Options) *Pool {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	return &Pool{options: options}
}

// Open returns how many connections are open.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Close closes the connections that rest; others close after their answer.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, resting := range p.idle {
		_ = resting.Conn.Close()
		p.open--
	}
	p.idle = nil
}

// Do sends the request and returns once the header of its answer is there. The
// error is an *Error. The end of the context ends the exchange and its connection.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	used, err := p.take(ctx)
	if err != nil {
		return nil, &Error{Progress: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = used.SetDeadline(past) })
	response, failure := used.exchange(request, p.options.IDHeader)
	if failure != nil {
		stop()
		p.drop(used)
		if cause := context.Cause(ctx); cause != nil {
			failure.Err = cause
		}
		return nil, failure
	}
	response.owner, response.stop = used, stop
	return response, nil
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// take returns a connection that rested and is still sound, or a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		resting := p.takeIdle()
		if resting == nil {
			return p.dial(ctx)
		}
		if resting.usable(time.Now()) {
			return resting, nil
		}
		p.drop(resting)
	}
}

func (p *Pool) takeIdle() *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return last
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	made, err := p.options.Dial(ctx, "tcp", p.options.Address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	p.mutex.Lock()
	p.open++
	p.mutex.Unlock()
	return &conn{Conn: made, pool: p, reader: bufio.NewReaderSize(made, readBufferBytes), rest: p.options.IdleTimeout}, nil
}

func (p *Pool) drop(c *conn) {
	_ = c.Conn.Close()
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	c.restsSince = time.Now()
	p.mutex.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mutex.Unlock()
	if closed {
		p.drop(c)
	}
}

// Prune closes connections that rested for too long.
func (p *Pool) Prune(now time.Time) {
	p.mutex.Lock()
	var kept, old []*conn
	for _, resting := range p.idle {
		if now.Sub(resting.restsSince) < resting.rest {
			kept = append(kept, resting)
		} else {
			old = append(old, resting)
		}
	}
	p.idle = kept
	p.mutex.Unlock()
	for _, resting := range old {
		p.drop(resting)
	}
}

const (
	readBufferBytes = 4 << 10
	// maxInterim bounds the interim answers before an answer.
	maxInterim = 8
	// maxStray bounds the answers to other requests that are skipped.
	maxStray = 2
	// parallelBody is the size from which a body is written while the answer is
	// awaited, as a server may answer early.
	parallelBody = 16 << 10
	// maxStrayBytes bounds the body of an answer to another request.
	maxStrayBytes = 4 << 20
)

var errStray = errors.New("the answer belongs to another request")

// conn is one connection.
type conn struct {
	net.Conn
	pool       *Pool
	reader     *bufio.Reader
	exchanges  int
	restsSince time.Time
	// rest is how long the connection may rest.
	rest time.Duration
	// lastAnswer closes the connection after this answer.
	lastAnswer bool
	// writing is closed when the body was written, nil unless it is written beside.
	writing chan error
}

// usable reports whether nothing came on a resting connection and it is young.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.restsSince) < c.rest && c.reader.Buffered() == 0 && isSilent(c.Conn)
}

// exchange writes a request and reads the header of its answer.
func (c *conn) exchange(request *Request, idHeader string) (*Response, *Error) {
	c.exchanges++
	c.lastAnswer, c.writing = false, nil
	if failure := c.write(request); failure != nil {
		return nil, failure
	}
	for stray := 0; ; stray++ {
		response, err := c.readAnswer(request.Method)
		if err != nil {
			return nil, c.readFailure(err)
		}
		if idHeader == "" || c.belongs(response, request, idHeader) {
			return c.newResponse(response), nil
		}
		copied, err := io.CopyN(io.Discard, response.Body, maxStrayBytes)
		if stray >= maxStray || response.Close || copied == maxStrayBytes || !errors.Is(err, io.EOF) {
			return nil, &Error{Progress: SentWhole, Invalid: true, Err: errStray}
		}
	}
}

// belongs reports whether an answer gives back the id of the request.
func (c *conn) belongs(response *http.Response, request *Request, idHeader string) bool {
	ids := response.Header[idHeader]
	return len(ids) == 1 && ids[0] == request.ID
}

func (c *conn) readFailure(err error) *Error {
	var network net.Error
	invalid := !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network)
	return &Error{Progress: SentWhole, Invalid: invalid, Err: eris.Wrap(err, "read the answer")}
}

// write sends the request; a long body goes out beside the reading.
func (c *conn) write(request *Request) *Error {
	var head bytes.Buffer
	encodeHead(&head, request)
	if len(request.Body) <= parallelBody {
		head.Write(request.Body)
		return c.writeAll(head.Bytes())
	}
	if failure := c.writeAll(head.Bytes()); failure != nil {
		return failure
	}
	c.writing = make(chan error, 1)
	go func(body []byte, done chan<- error) {
		_, err := c.Conn.Write(body)
		done <- err
	}(request.Body, c.writing)
	return nil
}

func (c *conn) writeAll(data []byte) *Error {
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

// encodeHead writes the request line and the fields.
func encodeHead(head *bytes.Buffer, request *Request) {
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	_ = request.Header.Write(head) // a buffer takes everything
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
}

// readAnswer reads the header of the next answer that is not an interim one.
func (c *conn) readAnswer(method string) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.New("the server switched to another protocol")
		}
	}
	return nil, eris.New("too many interim answers")
}

func (c *conn) newResponse(parsed *http.Response) *Response {
	c.lastAnswer = parsed.Close || parsed.ContentLength < 0 && len(parsed.TransferEncoding) == 0
	if seconds, ok := keepAliveOf(parsed.Header); ok {
		c.rest = restOf(seconds)
	}
	response := &Response{Status: parsed.StatusCode, Header: parsed.Header, Length: parsed.ContentLength}
	response.Body = &bodyReader{inner: parsed.Body, response: response}
	return response
}

// keepAliveOf reads how long the server keeps a resting connection.
func keepAliveOf(header http.Header) (seconds int, ok bool) {
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

// restOf stays clear of the moment at which the server closes.
func restOf(seconds int) time.Duration {
	const margin = 4 // a quarter is left
	whole := time.Duration(seconds) * time.Second
	return whole - min(whole/margin+100*time.Millisecond, time.Second)
}

// bodyReader notes whether the body came to its end.
type bodyReader struct {
	inner    io.Reader
	response *Response
}

// Read reads the body; io.EOF is its whole end.
func (r *bodyReader) Read(data []byte) (int, error) {
	count, err := r.inner.Read(data)
	if err == io.EOF {
		r.response.whole = true
	}
	return count, err
}

// HeldBodyBytes is the size up to which an answer is held until it is whole, so that
// a broken one can still be replaced.
const HeldBodyBytes = 1 << 20

// Hold reads a short body to its end. whole is false for a long one and for a
// stream of events, of which the rest is still to be read from Body.
func (r *Response) Hold() (start []byte, whole bool, err error) {
	if r.Length > HeldBodyBytes || strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return nil, false, nil
	}
	start, err = io.ReadAll(io.LimitReader(r.Body, HeldBodyBytes))
	return start, err == nil && len(start) < HeldBodyBytes, err
}

// Discard reads a short answer that nobody wants, so that its connection can be
// used again.
func (r *Response) Discard() {
	_, _ = io.CopyN(io.Discard, r.Body, HeldBodyBytes)
	_ = r.Close()
}

// Close ends the exchange: the connection is kept when the whole answer was read
// and nothing else is on it.
func (r *Response) Close() error {
	if r.owner == nil {
		return nil
	}
	owner := r.owner
	r.owner = nil
	stopped := r.stop()
	if !stopped || !r.whole || owner.lastAnswer || !owner.written() || owner.reader.Buffered() > 0 {
		owner.pool.drop(owner)
		return nil
	}
	owner.pool.put(owner)
	return nil
}

// written reports whether the whole request was written.
func (c *conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		return err == nil
	default:
		return false
	}
}

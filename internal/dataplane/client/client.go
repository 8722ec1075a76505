// Package client sends requests over persistent HTTP/1.1 connections, one at a time on
// each, and reports for each failure whether the request may have run. It accepts a
// response only with the ID of its request, and does not reuse a connection that has
// unread data.
package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// Progress is how much of a request had been sent when it failed.
type Progress uint8

// The stages of a send.
const (
	// NotSent: no byte of the request was sent.
	NotSent Progress = 1
	// SentPart: the request was not written completely.
	SentPart Progress = 2
	// SentWhole: the request was written completely, but no complete response came.
	SentWhole Progress = 3
)

// Error is a request that got no complete, valid response.
type Error struct {
	Progress Progress
	// Invalid is set when the data received was not a response to the request.
	Invalid bool
	// Silent is set when the server sent nothing for the request's SilenceLimit.
	Silent bool
	Err    error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to send. Header must hold no hop-by-hop fields; Host and
// Content-Length are added.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID is the value that the response must repeat in the field IDHeader.
	ID string
	// MaxIdle is how long the connection may have been idle. Servers drop idle connections
	// without notice, and a request sent on a dropped one counts as possibly run. Zero: as
	// long as the server keeps idle connections.
	MaxIdle time.Duration
	// SilenceLimit is how long a server that reports progress may send nothing for a
	// completely sent request before the request fails; zero: until the context ends.
	SilenceLimit time.Duration
	// MayGiveUp reports, when the silence limit has passed, whether the request may fail at once. If
	// not, it fails only if the server answers on another connection. Nil: it fails.
	MayGiveUp func() bool
	// ExpectContinue sends the body only after a 100 (Continue) response. If the server sends a
	// final response instead, no part of the body has been sent.
	ExpectContinue bool
	// Order says when the body is sent over the machine's link.
	Order transfer.Order
}

// Response is a response whose body is read from Body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when the body ends with its last chunk or with
	// the connection.
	Length int64
	Body   io.Reader

	owner *conn
	stop  func() bool
	// cancelled is closed when the context of the request ends.
	cancelled <-chan struct{}
	parsed    *http.Response
	complete  bool
}

// Options configures a Pool.
type Options struct {
	Address string
	// IDHeader is the field in which responses repeat the ID of their request.
	IDHeader string
	// ConnectTimeout limits the time to establish a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection may be idle when its server names no timeout.
	IdleTimeout time.Duration
	// RunsOnlyComplete is set when the server runs a request only after it has received the
	// full body.
	RunsOnlyComplete bool
	// Egress schedules what is sent over the machine's link; nil: nothing is paced.
	Egress *transfer.Egress
	// PaceHeader is the field of a 100 (Continue) response that holds the rate at which the
	// server accepts the body, in bytes per second.
	PaceHeader string
	// VerifyAfter is the time without any response from the server after which a liveness
	// check is sent before the next request on an idle connection; zero: never. When the
	// check fails, the request is not sent.
	VerifyAfter time.Duration
	// VerifyIdle is the same for a connection that was idle for so long, even if others
	// received data: connections can fail one by one without being closed. Zero: never.
	VerifyIdle time.Duration
	// VerifyTimeout limits the wait for the response to a liveness check.
	VerifyTimeout time.Duration
	// ProgressHeader is the field by which a request with a SilenceLimit asks the server for
	// progress reports.
	ProgressHeader string
	// Dial establishes connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now returns the current time; nil uses the system clock.
	Now func() time.Time
}

// Pool holds the connections to one server. It is safe for concurrent use.
type Pool struct {
	options Options

	// reportsProgress is set once the server has sent a progress report.
	reportsProgress atomic.Bool

	mutex sync.Mutex
	// lastReceipt is when data was last received from the server.
	lastReceipt time.Time
	idle        []*conn // the most recently used is last
	open        int
	use         recentUse
	closed      bool
}

// NewPool returns a Pool that has no connections yet.
func NewPool(options Options) *Pool {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Pool{options: options}
}

// Address returns the address of the server.
func (p *Pool) Address() string { return p.options.Address }

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Close closes the idle connections; those in use are closed after their response.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, candidate := range p.idle {
		_ = candidate.Conn.Close()
		p.open--
	}
	p.idle = nil
}

// Do sends the request and returns when the header of the response has been read. The
// error is an *Error. When the context ends, the exchange fails and its connection is closed.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	used, err := p.take(ctx, request.MaxIdle)
	if err != nil {
		return nil, &Error{Progress: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = used.SetDeadline(past) })
	began := p.options.Now()
	if p.needsLivenessCheck(used) {
		if err := used.verify(ctx, p.options.VerifyTimeout); err != nil {
			stop()
			p.drop(used)
			if ctx.Err() == nil {
				p.dropIdleSince(began)
			}
			return nil, &Error{Progress: NotSent, Err: err}
		}
		p.recordReceipt()
	}
	response, failure := used.exchange(ctx, request, p.options.IDHeader)
	if failure != nil {
		stop()
		if failure.Silent {
			p.reportsProgress.Store(false) // until the next report: the server may have been replaced by another version
		}
		if failure.Silent || p.options.Now().Sub(began) >= dropIdleAfter {
			p.dropIdleSince(began)
		}
		if used.writing != nil {
			used.abort()
		}
		p.drop(used)
		if cause := context.Cause(ctx); cause != nil {
			failure.Err = cause
		}
		return nil, failure
	}
	p.recordReceipt()
	response.owner, response.stop, response.cancelled = used, stop, ctx.Done()
	return response, nil
}

// needsLivenessCheck reports whether nothing has been received from the server, or on the
// connection, for so long that the server may be down or unreachable, or the connection dead.
func (p *Pool) needsLivenessCheck(used *conn) bool {
	now, options := p.options.Now(), p.options
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return options.VerifyAfter > 0 && now.Sub(p.lastReceipt) > options.VerifyAfter ||
		options.VerifyIdle > 0 && now.Sub(used.idleSince) > options.VerifyIdle
}

func (p *Pool) recordReceipt() {
	now := p.options.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastReceipt = now
}

// dropIdleAfter is how long a request must have waited before its failure also closes the idle
// connections. A new connection costs about a millisecond, a request on a dead one its whole
// timeout.
const dropIdleAfter = time.Second

// dropIdleSince closes the idle connections that have received nothing since the given time:
// what makes one connection fail may affect them too.
func (p *Pool) dropIdleSince(since time.Time) {
	p.dropIdle(func(candidate *conn) bool { return candidate.idleSince.Before(since) })
}

// past is a deadline that has already expired.
var past = time.Unix(1, 0)

// take returns an idle connection that can be reused, or a new one. A connection that was idle
// for longer than maxIdle is not reused, unless maxIdle is zero.
func (p *Pool) take(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		candidate := p.takeIdle(maxIdle)
		if candidate == nil {
			return p.dial(ctx)
		}
		if candidate.isReusable(p.options.Now()) {
			candidate.takeReader()
			return candidate, nil
		}
		p.drop(candidate)
	}
}

// takeIdle removes and returns the most recently used idle connection, nil if there is none
// or it was idle for longer than maxIdle; the others have been idle even longer.
func (p *Pool) takeIdle(maxIdle time.Duration) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := p.idle[len(p.idle)-1]
	if maxIdle > 0 && p.options.Now().Sub(last.idleSince) > maxIdle {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	p.recordUse()
	return last
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	dialed, err := p.options.Dial(ctx, "tcp", p.options.Address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	now := p.options.Now()
	p.mutex.Lock()
	p.open++
	p.recordUse()
	p.lastReceipt = now
	p.mutex.Unlock()
	created := &conn{Conn: dialed, pool: p, idleSince: now, idleTimeout: p.options.IdleTimeout}
	created.takeReader()
	return created, nil
}

func (p *Pool) drop(c *conn) {
	_ = c.Conn.Close()
	c.cancelBody()
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// put returns a connection to the pool for the next request.
func (p *Pool) put(c *conn) {
	c.idleSince = p.options.Now()
	c.releaseReader()
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

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune(now time.Time) {
	p.dropIdle(func(candidate *conn) bool { return now.Sub(candidate.idleSince) >= candidate.idleTimeout })
}

// dropIdle closes the idle connections that are unwanted.
func (p *Pool) dropIdle(unwanted func(*conn) bool) {
	p.mutex.Lock()
	var kept, dropped []*conn
	for _, candidate := range p.idle {
		if unwanted(candidate) {
			dropped = append(dropped, candidate)
		} else {
			kept = append(kept, candidate)
		}
	}
	p.idle = kept
	p.open -= len(dropped) // with the list, as the difference is the number in use
	p.mutex.Unlock()
	for _, candidate := range dropped {
		_ = candidate.Conn.Close()
	}
}

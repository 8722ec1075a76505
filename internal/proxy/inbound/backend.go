package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/proxy/forward"
)

const (
	// connectTimeout bounds one connection attempt to the back end.
	connectTimeout = time.Second
	// backendIdleTimeout ends unused connections. It is below the idle timeouts
	// usual in back ends (5 s and more), so that this side closes them and no
	// request meets a connection that is being closed.
	backendIdleTimeout = 4 * time.Second
	// closeTimeout is how long a connection given up waits for the back end to
	// close its side. A back end that goes on for longer is taken as done.
	closeTimeout = time.Second
	// continueTimeout is how long a body waits for "100 Continue".
	continueTimeout = time.Second
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 1 << 20
)

// backendClient is the way to the back end: its connections, counted.
type backendClient struct {
	address   string
	dialer    net.Dialer
	transport *http.Transport
	limit     *connectionLimit
	// patience is closeTimeout, or less or more in tests.
	patience time.Duration
}

func newBackendClient(address string, connections int) *backendClient {
	created := &backendClient{
		address:  address,
		dialer:   net.Dialer{Timeout: connectTimeout},
		limit:    newConnectionLimit(connections),
		patience: closeTimeout,
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	created.transport = &http.Transport{
		DialContext:            created.dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    connections, // the limit bounds all connections
		IdleConnTimeout:        backendIdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
	return created
}

// dial opens a connection once fewer than the limit are open.
func (b *backendClient) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if err := b.limit.acquire(ctx); err != nil {
		return nil, eris.Wrap(err, "wait for a free connection")
	}
	conn, err := b.dialer.DialContext(ctx, network, b.address)
	if err != nil {
		b.limit.release()
		return nil, eris.Wrap(err, "connect to the back end")
	}
	lingering := &lingeringConn{Conn: conn, limit: b.limit, patience: b.patience, closed: make(chan struct{})}
	return forward.NewConn(lingering, true), nil
}

func (b *backendClient) setConnections(connections int) { b.limit.set(connections) }

// close closes the idle connections and waits until none is open.
func (b *backendClient) close() {
	b.transport.CloseIdleConnections()
	b.limit.waitNone()
}

// closedOf returns the channel that is closed once both sides of a connection to
// the back end are.
func closedOf(conn *forward.Conn) <-chan struct{} { return conn.Conn.(*lingeringConn).closed }

// lingeringConn is a connection whose Close ends the sending direction and then
// waits, in the background, for the back end to end the other. Only then the back
// end has noticed, has stopped its work and counts one connection less.
type lingeringConn struct {
	net.Conn
	limit    *connectionLimit
	patience time.Duration
	closing  atomic.Bool
	reading  sync.Mutex // held while reading
	closed   chan struct{}
}

// Read reads until Close is called.
func (c *lingeringConn) Read(data []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	count, err := c.Conn.Read(data)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	return count, err
}

// CloseWrite ends the sending direction.
func (c *lingeringConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// NetConn returns the connection below.
func (c *lingeringConn) NetConn() net.Conn { return c.Conn }

// Close returns at once; closed tells when both sides are closed.
func (c *lingeringConn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	err := c.CloseWrite()
	_ = c.Conn.SetReadDeadline(forward.LongAgo) // ends a read in progress
	go c.linger()
	return err
}

func (c *lingeringConn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.patience))
	_, _ = io.Copy(io.Discard, c.Conn) // until the back end closes, or the deadline
	_ = c.Conn.Close()
	c.limit.release()
	close(c.closed)
}

// connectionLimit bounds the open connections; the bound may change.
type connectionLimit struct {
	mu      sync.Mutex
	limit   int
	open    int
	changed chan struct{} // closed and replaced when room may have come
}

func newConnectionLimit(limit int) *connectionLimit {
	return &connectionLimit{limit: limit, changed: make(chan struct{})}
}

func (l *connectionLimit) acquire(ctx context.Context) error {
	for {
		changed, ok := l.try()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *connectionLimit) try() (changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return l.changed, false
	}
	l.open++
	return nil, true
}

func (l *connectionLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.announce()
}

func (l *connectionLimit) set(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.announce()
}

func (l *connectionLimit) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *connectionLimit) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// waitNone returns once no connection is open.
func (l *connectionLimit) waitNone() {
	for {
		l.mu.Lock()
		open, changed := l.open, l.changed
		l.mu.Unlock()
		if open == 0 {
			return
		}
		<-changed
	}
}

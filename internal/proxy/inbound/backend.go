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

	"github.com/winchhead/winchhead/internal/httpmessage"
	"github.com/winchhead/winchhead/internal/proxy/forward"
)

const (
	// connectTimeout bounds one connection attempt to the backend.
	connectTimeout = time.Second
	// backendIdleTimeout closes unused connections. It is below the usual idle
	// timeouts of backends (5 s and more), so that the proxy closes them first and no
	// request is sent on a connection that the backend is closing.
	backendIdleTimeout = 4 * time.Second
	// closeTimeout is how long a closed connection waits for the backend to close its
	// side. After it, the backend is taken to have stopped its work.
	closeTimeout = time.Second
	// continueTimeout is how long a body waits for "100 Continue".
	continueTimeout = time.Second
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 1 << 20
)

// backendClient sends requests to the backend over a limited number of connections.
type backendClient struct {
	address   string
	dialer    net.Dialer
	transport *httpmessage.Transport
	limit     *connectionLimit
	// closeWait is closeTimeout, except in tests.
	closeWait time.Duration
}

func newBackendClient(address string, connections int) *backendClient {
	created := &backendClient{
		address:   address,
		dialer:    net.Dialer{Timeout: connectTimeout},
		limit:     newConnectionLimit(connections),
		closeWait: closeTimeout,
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	created.transport = &httpmessage.Transport{Transport: &http.Transport{
		DialContext:            created.dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    connections, // limit bounds idle and used connections together
		IdleConnTimeout:        backendIdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	return created
}

// dial opens a connection as soon as fewer connections than the limit are open.
func (b *backendClient) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if err := b.limit.acquire(ctx); err != nil {
		return nil, eris.Wrap(err, "wait for a free connection to the backend")
	}
	conn, err := b.dialer.DialContext(ctx, network, b.address)
	if err != nil {
		b.limit.release()
		return nil, eris.Wrap(err, "connect to the backend")
	}
	lingering := &lingeringConn{Conn: conn, limit: b.limit, closeWait: b.closeWait, closed: make(chan struct{})}
	return forward.NewConn(lingering, true), nil
}

func (b *backendClient) setConnections(connections int) { b.limit.set(connections) }

// close closes the idle connections and waits until no connection is open.
func (b *backendClient) close() {
	b.transport.CloseIdleConnections()
	b.limit.waitAllClosed()
}

// closedChannel returns the channel that is closed once both sides of a backend
// connection are closed.
func closedChannel(conn *forward.Conn) <-chan struct{} { return conn.Conn.(*lingeringConn).closed }

// lingeringConn is a connection whose Close ends the sending direction and then waits,
// in the background, for the backend to end the other. Only then has the backend
// noticed the close, stopped its work and reduced its count of connections.
type lingeringConn struct {
	net.Conn
	limit     *connectionLimit
	closeWait time.Duration
	closing   atomic.Bool
	reading   sync.Mutex // held while reading
	closed    chan struct{}
}

// Read returns net.ErrClosed once Close is called.
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

// NetConn returns the wrapped connection.
func (c *lingeringConn) NetConn() net.Conn { return c.Conn }

// Close returns at once; the closed channel is closed when both sides are.
func (c *lingeringConn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	err := c.CloseWrite()
	_ = c.Conn.SetReadDeadline(forward.LongAgo) // interrupts a read in progress
	go c.linger()
	return err
}

func (c *lingeringConn) linger() {
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.closeWait))
	_, _ = io.Copy(io.Discard, c.Conn) // until the backend closes, or the deadline
	_ = c.Conn.Close()
	c.limit.release()
	close(c.closed)
}

// connectionLimit bounds the number of open connections; the bound may change.
type connectionLimit struct {
	mu      sync.Mutex
	limit   int
	open    int
	changed chan struct{} // closed and replaced when open falls or limit changes
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
	l.notifyWaiters()
}

func (l *connectionLimit) set(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
	l.notifyWaiters()
}

func (l *connectionLimit) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *connectionLimit) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// waitAllClosed returns once no connection is open.
func (l *connectionLimit) waitAllClosed() {
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

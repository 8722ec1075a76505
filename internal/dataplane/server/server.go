// Package server accepts HTTP/1.1 connections with pipelined requests: each request is run as
// soon as it is read, and the responses are sent in the order of the requests.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// Handler answers requests. The context ends when the client has left.
type Handler interface {
	Serve(ctx context.Context, request *message.Request) *message.Response
}

// Limits restrict what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
}

// Options configures a Server.
type Options struct {
	Handler Handler
	// Limits is called for each request.
	Limits func() Limits
	// RequestID is the name of the header field with the ID of a request; requests without it
	// are refused. Empty: no ID is required.
	RequestID string
	// Check returns the response to a request that is refused for its header, before its body is read; nil:
	// the request is not refused. It is asked where there is a large body. nil: no request is refused.
	Check func(request *message.Request) *message.Response
	// Admit decides whether to accept the body of a request with "Expect: 100-continue". It
	// may block; the context ends when the client has left. nil: every body is accepted.
	Admit func(ctx context.Context, request *message.Request, bytes int64) Admission
	// Refuse returns the response to a request that cannot be accepted, with that status.
	Refuse func(status int, reason string) *message.Response
	// ProgressHeader is the field by which a client asks for progress reports; empty: there
	// are none.
	ProgressHeader string
	// ProgressInterval is the interval of progress reports; zero: the default, which suits
	// the client package.
	ProgressInterval time.Duration
	// Egress schedules the responses on the machine's link; nil: they are written at once.
	Egress *transfer.Egress
	// Memory bounds the responses held for clients that do not read, where Egress is set; nil: there
	// is no bound.
	Memory *ResponseMemory
	// BodyMemory limits the bytes of request bodies that are held at once, from their first byte until the
	// request is answered; zero: DefaultBodyMemory.
	BodyMemory int64
	// RefuseBody returns the response to a request whose body finds no memory; nil: Refuse does.
	RefuseBody func(request *message.Request) *message.Response
}

// Admission is the decision about a body that has not been sent yet.
type Admission struct {
	// Refusal is the response to a request whose body is not accepted, nil if it is.
	Refusal *message.Response
	// Interim holds the fields of the 100 (Continue) response.
	Interim http.Header
	// Release, unless nil, is called when the body was read completely or will not be.
	Release func(whole bool)
}

// maxPipelined limits the unanswered requests on one connection.
const maxPipelined = 64

// Server serves listeners until it is closed. It is safe for concurrent use.
type Server struct {
	options  Options
	writers  *writers
	bodies   *bodyMemory
	draining atomic.Bool
	active   atomic.Int64

	mutex       sync.Mutex
	connections map[*connection]struct{}
	listeners   []net.Listener
	closed      bool
	running     sync.WaitGroup
}

// New returns a Server that has no listeners yet.
func New(options Options) *Server {
	if options.ProgressInterval == 0 {
		options.ProgressInterval = defaultProgressInterval
	}
	return &Server{
		options: options, connections: make(map[*connection]struct{}), bodies: newBodyMemory(options.BodyMemory), writers: newWriters(),
	}
}

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listeners = append(s.listeners, listener)
	closed := s.closed
	s.mutex.Unlock()
	if closed {
		return nil
	}
	for {
		conn, err := listener.Accept()
		if err == nil {
			s.start(conn)
			continue
		}
		if s.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if !isTemporary(err) {
			return eris.Wrap(err, "accept connections")
		}
		time.Sleep(acceptRetryDelay)
	}
}

// acceptRetryDelay is the wait after a failed accept, as when file descriptors run out.
const acceptRetryDelay = 20 * time.Millisecond

func isTemporary(err error) bool {
	operation, ok := err.(*net.OpError)
	return ok && !eris.Is(operation.Err, net.ErrClosed)
}

func (s *Server) start(conn net.Conn) {
	created := newConnection(s, conn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.connections[created] = struct{}{}
	s.running.Go(func() { // before Close can wait for all
		created.run()
		s.mutex.Lock()
		delete(s.connections, created)
		s.mutex.Unlock()
	})
}

// Drain makes clients close their connections: from now on, the last pending response on a
// connection carries "Connection: close".
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests that were read and not yet answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns the number of connections on which a request may still be answered.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := 0
	for conn := range s.connections {
		if conn.isOpen() {
			open++
		}
	}
	return open
}

// CloseIdle closes the connections on which no request is pending.
func (s *Server) CloseIdle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.connections {
		conn.closeIfIdle()
	}
}

// StopListening closes the listeners; existing connections stay open.
func (s *Server) StopListening() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
}

// Close closes all listeners and connections and waits until every connection has ended.
func (s *Server) Close() {
	s.mutex.Lock()
	if !s.closed {
		close(s.writers.closed)
	}
	s.closed = true
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.connections {
		conn.closeNow()
	}
	s.mutex.Unlock()
	s.running.Wait()
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

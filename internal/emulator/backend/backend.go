// Package backend emulates a backend of a service: slots, connections, cold start,
// drain, load shedding, health and load endpoints that lag or report false values,
// faults, and a journal of the executed requests. It is controlled through its Go
// API or an HTTP control API. Only tests and benchmarks use it; product packages
// never import it.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/wait"
)

// Options configures a Backend.
type Options struct {
	// Name is the name of the instance, sent in HeaderInstance.
	Name string
	// Slots is how many requests may run at once; more count as violations. Zero:
	// unlimited.
	Slots int
	// Connections is how many connections may be open; further ones are closed and
	// count as violations. Zero: unlimited.
	Connections int
	// ColdRefuse is how long StartCold waits before it accepts connections.
	ColdRefuse time.Duration
	// ColdSlow is how long after the start the work takes ColdFactor times as long
	// and the health endpoint reports "starting".
	ColdSlow   time.Duration
	ColdFactor float64
	// Outbound is the IP:port of the outbound proxy through which /call makes its
	// calls.
	Outbound string
	// Behavior is the initial behavior; Configure replaces it.
	Behavior Behavior
}

// Backend is an emulated instance. It is safe for concurrent use.
type Backend struct {
	options        Options
	journal        *Journal
	counters       counters
	behavior       atomic.Pointer[Behavior]
	faults         pendingFaults
	draining       atomic.Int64 // start of the drain in Unix nanoseconds; zero: not draining
	loads          loadHistory
	outboundClient *http.Client
	handler        http.Handler
	lifecycle      sync.Mutex
	server         *http.Server
	listener       *countingListener
	startedAt      atomic.Int64 // Unix nanoseconds; zero: never started
	serving        sync.WaitGroup
}

// New returns a backend that does not listen yet.
func New(options Options) *Backend {
	b := &Backend{
		options:        options,
		journal:        newJournal(),
		outboundClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleOutboundConnections}},
	}
	b.Configure(options.Behavior)
	b.handler = b.routes()
	return b
}

// maxIdleOutboundConnections is the number of idle connections kept to the outbound
// proxy.
const maxIdleOutboundConnections = 256

// Handler returns the handler of the callers' endpoints, for use without Start.
func (b *Backend) Handler() http.Handler { return b.handler }

// Journal returns the journal of the executed requests.
func (b *Backend) Journal() *Journal { return b.journal }

// Start listens on address (IP:port, port 0 for any port) and serves until Close or
// Kill. After those it may be called again, also with the same address.
func (b *Backend) Start(address string) error {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	if b.server != nil {
		return eris.New("the backend is already started")
	}
	return b.listen(address)
}

// StartCold waits for ColdRefuse, during which connections to address are refused, and
// then calls Start. The port of address must not be 0.
func (b *Backend) StartCold(ctx context.Context, address string) error {
	if err := wait.For(ctx, b.options.ColdRefuse); err != nil {
		return err
	}
	return b.Start(address)
}

func (b *Backend) listen(address string) error {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "backend %s: listen", b.options.Name)
	}
	b.startedAt.Store(time.Now().UnixNano())
	listener := newCountingListener(inner, b.options.Connections, &b.counters)
	server := &http.Server{Handler: b.handler, ReadHeaderTimeout: readHeaderTimeout}
	b.listener, b.server = listener, server
	b.serving.Add(1)
	go func() {
		defer b.serving.Done()
		_ = server.Serve(listener) // returns ErrServerClosed on Close or Kill
	}()
	return nil
}

// readHeaderTimeout is the time that a client has to send a request's header.
const readHeaderTimeout = 30 * time.Second

// Address returns the IP:port of the latest listener, or "" if there was none.
func (b *Backend) Address() string {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	if b.listener == nil {
		return ""
	}
	return b.listener.Addr().String()
}

// Close stops listening and waits for the requests in progress until ctx ends.
func (b *Backend) Close(ctx context.Context) error {
	server := b.detachServer()
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	if err != nil {
		_ = server.Close()
	}
	b.serving.Wait()
	b.outboundClient.CloseIdleConnections()
	return err
}

// Kill ends the backend like a process that dies: it closes the port and resets every
// connection at once.
func (b *Backend) Kill() {
	b.lifecycle.Lock()
	listener := b.listener
	b.lifecycle.Unlock()
	server := b.detachServer()
	if server == nil {
		return
	}
	_ = listener.Close()
	listener.resetAll()
	_ = server.Close()
	b.serving.Wait()
	b.outboundClient.CloseIdleConnections()
}

func (b *Backend) detachServer() *http.Server {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	server := b.server
	b.server = nil
	return server
}

// isCold reports whether the backend is within ColdSlow of its start.
func (b *Backend) isCold() bool {
	started := b.startedAt.Load()
	return started != 0 && time.Since(time.Unix(0, started)) < b.options.ColdSlow
}

// Package backend emulates a back end of a service: slots, connections, cold
// start, drain, shedding, health and load endpoints that lag or lie, faults, and
// a journal of what ran. It stands in for the platform in tests and benches and
// is driven by its Go API or by a small HTTP control API. Product packages never
// import it.
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

// Options sets one back end.
type Options struct {
	// Name is the instance name on answers (HeaderInstance).
	Name string
	// Slots is how many requests may run at once; zero: not counted as violation.
	Slots int
	// Connections is how many connections may be open; zero: unbounded.
	Connections int
	// ColdRefuse is how long after Start no connection is accepted.
	ColdRefuse time.Duration
	// ColdSlow is how long after that work takes ColdFactor times as long and
	// the health endpoint says "starting".
	ColdSlow   time.Duration
	ColdFactor float64
	// Outbound is the IP:port of the outbound proxy used for onward calls.
	Outbound string
	// Behavior is how the back end starts; Configure changes it later.
	Behavior Behavior
}

// Backend is one emulated instance. Its methods may be called from any goroutine.
type Backend struct {
	options   Options
	journal   *Journal
	counters  counters
	behavior  atomic.Pointer[Behavior]
	faults    faultBudget
	draining  atomic.Int64 // Unix nanoseconds since when; zero: not draining
	loads     loadHistory
	onward    *http.Client
	handler   http.Handler
	lifecycle sync.Mutex
	server    *http.Server
	listener  *countingListener
	startedAt atomic.Int64 // Unix nanoseconds of the end of ColdRefuse
	serving   sync.WaitGroup
}

// New returns a back end that is not listening yet.
func New(options Options) *Backend {
	b := &Backend{
		options: options,
		journal: newJournal(),
		onward:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: onwardIdleConnections}},
	}
	b.Configure(options.Behavior)
	b.handler = b.routes()
	return b
}

// onwardIdleConnections bounds the idle connections kept to the outbound proxy.
const onwardIdleConnections = 256

// Handler returns the endpoints for callers, for use without Start.
func (b *Backend) Handler() http.Handler { return b.handler }

// Journal returns the record of what ran.
func (b *Backend) Journal() *Journal { return b.journal }

// Start listens on address (IP:port, port 0 for any) and serves until Close or
// Kill. It may be called again after Close or Kill, with the former Address.
func (b *Backend) Start(address string) error {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	if b.server != nil {
		return eris.New("back end already started")
	}
	return b.listen(address)
}

// StartCold waits for ColdRefuse, during which connections to address are
// refused, and then starts as Start does. address needs a port.
func (b *Backend) StartCold(ctx context.Context, address string) error {
	if err := wait.For(ctx, b.options.ColdRefuse); err != nil {
		return err
	}
	return b.Start(address)
}

func (b *Backend) listen(address string) error {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "back end %s: listen", b.options.Name)
	}
	b.startedAt.Store(time.Now().UnixNano())
	listener := newCountingListener(inner, b.options.Connections, &b.counters)
	server := &http.Server{Handler: b.handler, ReadHeaderTimeout: readHeaderTimeout}
	b.listener, b.server = listener, server
	b.serving.Add(1)
	go func() {
		defer b.serving.Done()
		_ = server.Serve(listener) // ends with ErrServerClosed at Close or Kill
	}()
	return nil
}

// readHeaderTimeout bounds how long a client may take to send a header.
const readHeaderTimeout = 30 * time.Second

// Address returns the IP:port that is listened on, or "" when not started.
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
	server := b.detach()
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	if err != nil {
		_ = server.Close()
	}
	b.serving.Wait()
	b.onward.CloseIdleConnections()
	return err
}

// Kill ends as a process that dies: the port is closed and every connection is
// reset at once.
func (b *Backend) Kill() {
	b.lifecycle.Lock()
	listener := b.listener
	b.lifecycle.Unlock()
	server := b.detach()
	if server == nil {
		return
	}
	_ = listener.Close()
	listener.resetAll()
	_ = server.Close()
	b.serving.Wait()
	b.onward.CloseIdleConnections()
}

func (b *Backend) detach() *http.Server {
	b.lifecycle.Lock()
	defer b.lifecycle.Unlock()
	server := b.server
	b.server = nil
	return server
}

// cold reports whether the slow phase after a start still lasts.
func (b *Backend) cold() bool {
	started := b.startedAt.Load()
	return started != 0 && time.Since(time.Unix(0, started)) < b.options.ColdSlow
}

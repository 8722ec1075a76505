package outbound

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// defaultHeaderTimeout is used if the settings contain no header timeout.
	defaultHeaderTimeout = 10 * time.Second
	// headerSlack is how much higher the limit of net/http is than that of the proxy,
	// so that the proxy refuses a large header first, with a response that states the
	// outcome.
	headerSlack = 64 << 10
	// quietPeriod is how long no request must have begun before Drain closes idle
	// connections; maxQuietWait bounds the wait for that.
	quietPeriod  = time.Second
	maxQuietWait = 5 * time.Second
)

// Server returns the HTTP server of the proxy with its limits set. The caller must
// call Serve on it; Drain and Close stop it.
func (p *Proxy) Server() *http.Server { return p.server }

func (p *Proxy) newServer() *http.Server {
	headerTimeout := p.settings.HeaderTimeout
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	server := forward.NewServer(p)
	server.ReadHeaderTimeout = headerTimeout
	server.MaxHeaderBytes = p.settings.MaxHeaderBytes + headerSlack
	server.BaseContext = func(net.Listener) context.Context { return p.base }
	return server
}

// Drain shuts the proxy down gracefully. Responses ask callers to close their
// connections; once no request has begun for a while, the listeners and idle
// connections are closed. Drain returns when all requests and sessions have ended, or
// with an error if ctx ends first; Close then aborts the rest.
func (p *Proxy) Drain(ctx context.Context) error {
	p.draining.Store(true)
	if err := p.activity.waitUntilQuiet(ctx); err != nil {
		return eris.Wrap(err, "outbound proxy: drain")
	}
	if err := p.server.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "outbound proxy: drain")
	}
	if err := p.activity.WaitIdle(ctx); err != nil {
		return eris.Wrap(err, "outbound proxy: drain")
	}
	return nil
}

// Close aborts all requests and sessions and closes all connections. It waits until
// the last handler has returned.
func (p *Proxy) Close() error {
	p.draining.Store(true)
	p.cancel()
	err := p.server.Close()
	_ = p.activity.WaitIdle(context.Background())
	p.transport.CloseIdleConnections()
	return eris.Wrap(err, "outbound proxy: close")
}

// activity counts the requests and sessions in progress.
type activity struct {
	forward.Activity
	lastStart atomic.Int64 // Unix time in nanoseconds
}

func (a *activity) begin(now time.Time) {
	a.Begin()
	a.lastStart.Store(now.UnixNano())
}

// waitUntilQuiet returns once no request has begun for quietPeriod, or after
// maxQuietWait.
func (a *activity) waitUntilQuiet(ctx context.Context) error {
	start := time.Now()
	limit := start.Add(maxQuietWait)
	for {
		quietAt := later(start, time.Unix(0, a.lastStart.Load())).Add(quietPeriod)
		if quietAt.After(limit) {
			quietAt = limit
		}
		remaining := time.Until(quietAt)
		if remaining <= 0 {
			return nil
		}
		if err := wait.For(ctx, remaining); err != nil {
			return err
		}
	}
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

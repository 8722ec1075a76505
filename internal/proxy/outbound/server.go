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
	// defaultHeaderTimeout is used when the settings give none.
	defaultHeaderTimeout = 10 * time.Second
	// headerSlack is by how much net/http's own limit exceeds the proxy's, so
	// that the proxy's answer, which states the outcome, comes first.
	headerSlack = 64 << 10
	// quietGrace is how long no request must have begun before a planned stop
	// closes idle connections; longestQuiet bounds the wait for that.
	quietGrace   = time.Second
	longestQuiet = 5 * time.Second
)

// Server returns the HTTP server of the proxy, with its limits. The caller
// serves a listener with it; Drain and Close end it.
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

// Drain is a planned stop. Answers tell callers to close their connections;
// once no request began for a while, the listeners and idle connections are
// closed. It returns when all requests and sessions have ended, or with an error
// when ctx ends first; Close then cuts the rest.
func (p *Proxy) Drain(ctx context.Context) error {
	p.draining.Store(true)
	if err := p.activity.waitQuiet(ctx); err != nil {
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

// Close cuts all requests and sessions and closes all connections. It waits
// until the last handler has returned.
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
	lastBegin atomic.Int64 // Unix time in nanoseconds
}

func (a *activity) begin(now time.Time) {
	a.Begin()
	a.lastBegin.Store(now.UnixNano())
}

// waitQuiet returns once no request began for quietGrace, or after longestQuiet.
func (a *activity) waitQuiet(ctx context.Context) error {
	start := time.Now()
	limit := start.Add(longestQuiet)
	for {
		quietAt := later(start, time.Unix(0, a.lastBegin.Load())).Add(quietGrace)
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

package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/socketbytes"
)

// readHeaderTimeout is the time that a client has to send a request's header.
const readHeaderTimeout = 10 * time.Second

// Serve serves the read API on the listener until the context ends, then closes the
// listener and all connections and returns nil. To emulate an outage in which
// connections are refused, end the context and call Serve again on the same address.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	counted := socketbytes.Listener{Listener: listener, Counter: &p.bytes}
	return serve(ctx, counted, p.Handler())
}

// ServeOperators serves the operators' write API in the same way.
func (p *Platform) ServeOperators(ctx context.Context, listener net.Listener) error {
	return serve(ctx, listener, p.OperatorHandler())
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve the emulated platform")
}

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

// headerTime bounds how long a client may take to send a request's header.
const headerTime = 10 * time.Second

// Serve serves the read side on the listener until the context ends, and then
// closes the listener and all connections and returns nil. Ending it and serving
// again on the same address makes an outage that refuses connections.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	counted := socketbytes.Listener{Listener: listener, Counter: &p.bytes}
	return serve(ctx, counted, p.Handler())
}

// ServeOperators serves the operators' write side likewise.
func (p *Platform) ServeOperators(ctx context.Context, listener net.Listener) error {
	return serve(ctx, listener, p.OperatorHandler())
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve the emulated platform")
}

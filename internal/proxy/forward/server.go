package forward

import (
	"io"
	"log"
	"net/http"
	"time"
)

// idleTimeout closes unused connections. It is well above the 30 s after which the
// outbound proxy closes its connections to inbound proxies, so that the sending side
// closes first and no request is sent on a connection that is being closed.
const idleTimeout = 2 * time.Minute

// NewServer returns an HTTP/1 server with the settings that both proxies share. The
// caller adds the header limits and the connection context.
//
// net/http itself responds to what it cannot parse as a request: a malformed request
// line or header, an unknown HTTP version, transfer coding or expectation, or a header
// beyond its limit. These responses close the connection and have no outcome header,
// as net/http has no hook for them; no handler was called, so nothing of the request
// was forwarded.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:     handler,
		Protocols:   protocols,
		IdleTimeout: idleTimeout,
		// net/http logs errors of single connections only.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

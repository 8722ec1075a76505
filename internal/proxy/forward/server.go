package forward

import (
	"io"
	"log"
	"net/http"
	"time"
)

// idleTimeout ends unused connections. It is well above the 30 s after which the
// outbound proxy closes those to inbound proxies, so that the side that sends
// closes them and no request meets a connection that is being closed.
const idleTimeout = 2 * time.Minute

// NewServer returns a server of HTTP/1 with what both proxies have in common. The
// caller adds the limits of headers and what belongs to a connection.
//
// net/http itself answers what it cannot take for a request: a malformed request
// line or header, another HTTP version, transfer coding or expectation than it
// knows, a header beyond its limit. These answers close the connection and carry
// no outcome header, as there is no hook for them; no handler was called, so
// nothing of the request went on.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:     handler,
		Protocols:   protocols,
		IdleTimeout: idleTimeout,
		// The library's reports are about single broken connections of senders.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

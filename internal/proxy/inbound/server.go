package inbound

import (
	"io"
	"log"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds how long a sender may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout ends unused connections. It is well above the outbound proxy's
	// 30 s, so that the side that sends closes them and no request meets a
	// connection that is being closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request; the outbound proxy's own
	// limit (settings) and what it adds must fit.
	maxHeaderBytes = 1 << 20
)

// Server returns an HTTP server for the proxy, with its limits. The caller adds
// TLS, serves a listener with it, and shuts it down after Drain.
func (p *Proxy) Server() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           p,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
		// The library's reports are about single broken connections of senders.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

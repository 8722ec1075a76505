package inbound

import (
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/forward"
)

const (
	// headerTimeout bounds how long a sender may take to send a request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request header. It must have room for the outbound
	// proxy's own limit (in the settings) and the headers that the outbound proxy
	// adds.
	maxHeaderBytes = 1 << 20
)

// Server returns an HTTP server for the proxy with its limits. The caller adds TLS,
// serves a listener with it, and shuts it down after Drain.
func (p *Proxy) Server() *http.Server {
	server := forward.NewServer(p)
	server.ReadHeaderTimeout = headerTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = withConn
	return server
}

package outbound

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/httpmessage"
	"github.com/winchhead/winchhead/internal/proxy/forward"
)

const (
	// connectTimeout bounds one connection attempt, including the TLS handshake.
	connectTimeout = time.Second
	// idleTimeout closes idle connections. It is below the idle timeout of the inbound
	// proxy, so that a request is not sent on a connection that is being closed.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod is the TCP keep-alive period.
	keepAlivePeriod = 15 * time.Second
	// maxIdlePerInstance and maxIdleTotal bound the number of idle connections.
	maxIdlePerInstance = 64
	maxIdleTotal       = 2048
	// continueTimeout is how long a body waits for "100 Continue".
	continueTimeout = time.Second
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 1 << 20
)

// newTransport returns the transport for requests to the inbound proxies. The scheme
// is always http: dialTracked adds TLS itself, below the forward.Conn.
func newTransport(config *tls.Config) *httpmessage.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAlivePeriod}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialTracked(ctx, dialer, config, network, address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &httpmessage.Transport{Transport: &http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleTotal,
		MaxIdleConnsPerHost:    maxIdlePerInstance,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

func dialTracked(ctx context.Context, dialer *net.Dialer, config *tls.Config, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	plain, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	if config == nil {
		return forward.NewConn(plain, true), nil
	}
	secured := tls.Client(plain, withServerName(config, address))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, eris.Wrap(err, "TLS handshake")
	}
	return forward.NewConn(secured, false), nil
}

// withServerName sets the server name to verify to the host of the address, unless
// config contains one or verifies certificates in its own way.
func withServerName(config *tls.Config, address string) *tls.Config {
	if config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return config
	}
	named := config.Clone()
	named.ServerName = host
	return named
}

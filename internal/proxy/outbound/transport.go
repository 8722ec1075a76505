package outbound

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// connectTimeout bounds one connection attempt, TLS included.
	connectTimeout = time.Second
	// idleTimeout ends unused connections. It is below the idle timeout of the
	// inbound proxy, so that a request does not meet a connection being closed.
	idleTimeout = 30 * time.Second
	// keepAlivePeriod is between the probes of a silent connection.
	keepAlivePeriod = 15 * time.Second
	// idlePerInstance and idleInAll bound the unused connections kept.
	idlePerInstance = 64
	idleInAll       = 2048
	// continueTimeout is how long a body waits for "100 Continue".
	continueTimeout = time.Second
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 1 << 20
)

// errNotSent is the error of a write that was refused before any byte of the
// request left.
var errNotSent = eris.New("not sent")

// newTransport returns the connections to the inbound proxies. The scheme is
// always http: dial adds TLS itself, below the tracked connection.
func newTransport(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAlivePeriod}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialTracked(ctx, dialer, config, network, address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           idleInAll,
		MaxIdleConnsPerHost:    idlePerInstance,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

func dialTracked(ctx context.Context, dialer *net.Dialer, config *tls.Config, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	plain, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, eris.Wrap(err, "connect")
	}
	if config == nil {
		return &trackedConn{Conn: plain, plain: true}, nil
	}
	secured := tls.Client(plain, withServerName(config, address))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, eris.Wrap(err, "TLS handshake")
	}
	return &trackedConn{Conn: secured}, nil
}

// withServerName sets the name to verify to the address's host, unless the
// settings give one or verify in their own way.
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

// trackedConn is a connection that writes only for the send it is assigned to.
// It makes exact whether anything of a request left this process, and it stops
// http.Transport from sending a request a second time by itself: the transport
// does that on a reused connection for requests it takes for repeatable (an
// Idempotency-Key header is enough), which routes may see otherwise.
type trackedConn struct {
	net.Conn
	plain   bool
	current atomic.Pointer[send]
}

// Write writes for the assigned send, or returns errNotSent.
func (c *trackedConn) Write(data []byte) (int, error) {
	current := c.current.Load()
	if current == nil {
		return 0, errNotSent
	}
	first, allowed := current.claim(c)
	if !allowed {
		return 0, errNotSent
	}
	written, err := c.Conn.Write(data)
	if first && written == 0 && err != nil && c.plain {
		// The kernel took nothing: the peer had closed the connection before.
		current.release(c)
	}
	return written, err
}

// CloseWrite ends the sending direction, for sessions after an upgrade.
func (c *trackedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return eris.New("the connection cannot end one direction")
	}
	return half.CloseWrite()
}

// send is one attempt to send a request, on at most one connection.
type send struct {
	// used is the connection that wrote, or sealed, or nil while nothing was.
	used     atomic.Pointer[trackedConn]
	deadline time.Time
}

// sealed stands for "nothing was written and nothing may be any more".
var sealed = new(trackedConn)

// claim asks for a write on a connection. first tells that it would be the
// first of this send.
func (s *send) claim(conn *trackedConn) (first, allowed bool) {
	if s.used.Load() == conn {
		return false, true
	}
	if !time.Now().Before(s.deadline) {
		return false, false
	}
	claimed := s.used.CompareAndSwap(nil, conn)
	return claimed, claimed
}

func (s *send) release(conn *trackedConn) { s.used.CompareAndSwap(conn, nil) }

// seal forbids any write from now on, unless one was made before; it reports
// whether one was. A false result proves that the request did not run.
func (s *send) seal() (mayHaveRun bool) {
	return !s.used.CompareAndSwap(nil, sealed) && s.used.Load() != sealed
}

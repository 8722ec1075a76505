package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// duplex is a connection whose sending direction can end by itself.
type duplex interface {
	io.ReadWriteCloser
	CloseWrite() error
}

// switchProtocols turns the exchange into a session: bytes go both ways until
// both directions have ended.
func (e *exchange) switchProtocols(response *http.Response, choice *balance.Choice) ending {
	instance, ok := response.Body.(duplex)
	if !ok || !strings.EqualFold(upgradeProtocol(response.Header), e.upgrade) || e.upgrade == "" {
		_ = response.Body.Close()
		e.finish(choice, balance.Failed, time.Now())
		return e.refuse(outcome.New(outcome.ReasonBroken, outcome.Unknown, "the back end switched to another protocol"))
	}
	defer func() { _ = instance.Close() }()
	e.becomeSession()
	e.informed.stop()
	e.finish(choice, balance.Answered, time.Now())
	caller, err := e.takeOver(response)
	if err != nil {
		return callerGone
	}
	defer func() { _ = caller.Close() }()
	stop := context.AfterFunc(e.ctx, func() {
		_ = instance.Close()
		_ = caller.Close()
	})
	defer stop()
	relay(caller, instance)
	return answered
}

// takeOver takes the caller's connection from net/http and answers the upgrade.
func (e *exchange) takeOver(response *http.Response) (*callerConn, error) {
	conn, buffered, err := http.NewResponseController(e.writer).Hijack()
	if err != nil {
		return nil, eris.Wrap(err, "take over the caller's connection")
	}
	_ = conn.SetDeadline(time.Time{})
	protocol := response.Header.Get(headerUpgrade)
	removeHopByHop(response.Header)
	outcome.StripInternal(response.Header)
	response.Header.Set(headerConnection, headerUpgrade)
	response.Header.Set(headerUpgrade, protocol)
	head := &http.Response{
		StatusCode: http.StatusSwitchingProtocols, ProtoMajor: 1, ProtoMinor: 1, Header: response.Header,
	}
	if err := head.Write(conn); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "answer the upgrade")
	}
	return &callerConn{Conn: conn, buffered: buffered.Reader}, nil
}

// callerConn is a hijacked connection, with what net/http had read ahead.
type callerConn struct {
	net.Conn
	buffered *bufio.Reader
}

// Read returns what was read ahead first, then reads from the connection itself:
// net/http's reader would cancel the request's context at the end of the
// caller's direction, and the other direction with it.
func (c *callerConn) Read(data []byte) (int, error) {
	if ahead := c.buffered.Buffered(); ahead > 0 {
		return c.buffered.Read(data[:min(ahead, len(data))])
	}
	return c.Conn.Read(data)
}

// CloseWrite ends the direction to the caller.
func (c *callerConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return eris.New("the connection cannot end one direction")
	}
	return half.CloseWrite()
}

// relay copies both ways. The end of one direction is passed on and leaves the
// other open; an error ends both.
func relay(caller, instance duplex) {
	toInstance := make(chan struct{})
	go func() {
		defer close(toInstance)
		copyDirection(instance, caller)
	}()
	copyDirection(caller, instance)
	<-toInstance
}

// copyDirection copies until the end of source and ends the target's direction.
// After an error both connections are closed, which ends the other direction.
func copyDirection(target, source duplex) {
	_, err := io.Copy(onlyWriter{target}, onlyReader{source})
	if err == nil {
		err = target.CloseWrite()
	}
	if err != nil {
		_ = target.Close()
		_ = source.Close()
	}
}

// onlyWriter and onlyReader hide faster ways of copying, which would bypass the
// read-ahead of a callerConn and the tracking of a trackedConn.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }

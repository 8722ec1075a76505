package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// HalfCloseConn is a connection whose sending direction can be closed separately.
type HalfCloseConn interface {
	io.ReadWriteCloser
	CloseWrite() error
}

// UpgradedConn returns the connection to the instance after a 101 response, or false if
// the response switches to a protocol other than the requested one.
func UpgradedConn(response *http.Response, requestedProtocol string) (HalfCloseConn, bool) {
	instance, ok := response.Body.(HalfCloseConn)
	if !ok || requestedProtocol == "" || !strings.EqualFold(UpgradeProtocol(response.Header), requestedProtocol) {
		return nil, false
	}
	return instance, true
}

// HijackUpgraded hijacks the caller's connection from net/http and writes the 101 response,
// with its header and the headers set on w.
func HijackUpgraded(w http.ResponseWriter, response *http.Response) (HalfCloseConn, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, eris.Wrap(err, "hijack the caller's connection")
	}
	_ = conn.SetDeadline(time.Time{})
	protocol := response.Header.Get(HeaderUpgrade)
	header := w.Header().Clone()
	CopyForwardableHeader(header, response.Header)
	header.Set(HeaderConnection, HeaderUpgrade)
	header.Set(HeaderUpgrade, protocol)
	head := &http.Response{
		StatusCode: http.StatusSwitchingProtocols, ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	if err := head.Write(conn); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "write the response to the upgrade")
	}
	return &hijackedConn{Conn: conn, buffered: buffered.Reader}, nil
}

// hijackedConn is a hijacked connection with the bytes that net/http had read ahead.
type hijackedConn struct {
	net.Conn
	buffered *bufio.Reader
}

// Read returns the bytes that were read ahead, then reads from the connection itself:
// net/http's reader would cancel the request's context when the caller closes its
// sending direction, and thereby end the other direction.
func (c *hijackedConn) Read(data []byte) (int, error) {
	if ahead := c.buffered.Buffered(); ahead > 0 {
		return c.buffered.Read(data[:min(ahead, len(data))])
	}
	return c.Conn.Read(data)
}

// CloseWrite closes the direction to the caller.
func (c *hijackedConn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(conn net.Conn) error {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return eris.New("the connection does not support half-close")
	}
	return half.CloseWrite()
}

// Relay copies in both directions until both have ended. When one direction ends, its
// target's sending direction is closed and the other direction continues; an error
// closes both connections.
func Relay(one, other HalfCloseConn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyDirection(other, one)
	}()
	copyDirection(one, other)
	<-done
}

func copyDirection(target, source HalfCloseConn) {
	_, err := io.Copy(onlyWriter{target}, onlyReader{source})
	if err == nil {
		err = target.CloseWrite()
	}
	if err != nil {
		_ = target.Close()
		_ = source.Close()
	}
}

// onlyWriter and onlyReader hide optional methods (io.ReaderFrom, io.WriterTo) that
// io.Copy would use and that would bypass the bytes read ahead of a hijackedConn and
// the checks of a Conn.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }

// CloseOnDone closes the connections of a session when ctx ends. stop cancels that, as
// for context.AfterFunc.
func CloseOnDone(ctx context.Context, ends ...io.Closer) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		for _, end := range ends {
			_ = end.Close()
		}
	})
}

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

// Duplex is a connection whose sending direction can end by itself.
type Duplex interface {
	io.ReadWriteCloser
	CloseWrite() error
}

// Upgraded returns the connection to the instance that a 101 answer leaves, or
// false if the answer switches to another protocol than the one asked for.
func Upgraded(response *http.Response, asked string) (Duplex, bool) {
	instance, ok := response.Body.(Duplex)
	if !ok || asked == "" || !strings.EqualFold(UpgradeProtocol(response.Header), asked) {
		return nil, false
	}
	return instance, true
}

// TakeOver takes the caller's connection from net/http and answers the upgrade
// with the header of a 101 answer and the headers set on w.
func TakeOver(w http.ResponseWriter, response *http.Response) (Duplex, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, eris.Wrap(err, "take over the caller's connection")
	}
	_ = conn.SetDeadline(time.Time{})
	protocol := response.Header.Get(HeaderUpgrade)
	header := w.Header().Clone()
	PassAnswerHeader(header, response.Header)
	header.Set(HeaderConnection, HeaderUpgrade)
	header.Set(HeaderUpgrade, protocol)
	head := &http.Response{
		StatusCode: http.StatusSwitchingProtocols, ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	if err := head.Write(conn); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "answer the upgrade")
	}
	return &hijackedConn{Conn: conn, buffered: buffered.Reader}, nil
}

// hijackedConn is a hijacked connection, with what net/http had read ahead.
type hijackedConn struct {
	net.Conn
	buffered *bufio.Reader
}

// Read returns what was read ahead first, then reads from the connection itself:
// net/http's reader would cancel the request's context at the end of the caller's
// direction, and with it the other direction.
func (c *hijackedConn) Read(data []byte) (int, error) {
	if ahead := c.buffered.Buffered(); ahead > 0 {
		return c.buffered.Read(data[:min(ahead, len(data))])
	}
	return c.Conn.Read(data)
}

// CloseWrite ends the direction to the caller.
func (c *hijackedConn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(conn net.Conn) error {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return eris.New("the connection cannot end one direction")
	}
	return half.CloseWrite()
}

// Relay copies both ways until both directions have ended. The end of one is
// passed on and leaves the other open; an error closes both.
func Relay(one, other Duplex) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		copyDirection(other, one)
	}()
	copyDirection(one, other)
	<-done
}

func copyDirection(target, source Duplex) {
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
// read-ahead of a hijackedConn and the checks of a Conn.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }

// CloseWith closes the ends of a session once ctx has ended. stop undoes it, as
// context.AfterFunc does.
func CloseWith(ctx context.Context, ends ...io.Closer) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		for _, end := range ends {
			_ = end.Close()
		}
	})
}

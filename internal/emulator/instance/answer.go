package instance

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// SetStatement sets the header lines by which every answer states something about the instance, each
// ended by CRLF, such as those of LimitLine and LeavingLine; empty: none.
func (i *Instance) SetStatement(lines string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.statement = lines
}

// LeavingLine states that the instance leaves.
const LeavingLine = HeaderLeaving + ": 1\r\n"

// LimitLine states a limit on the requests per second.
func LimitLine(perSecond float64) string {
	return HeaderLimit + ": " + strconv.FormatFloat(perSecond, 'f', -1, 64) + "\r\n"
}

func (i *Instance) statementLines() string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.loadLine() + i.statement
}

// Body returns the body of the proper answer to a request.
func Body(id string) string { return "answer to " + id + " " + strings.Repeat("x", 100) }

// stamp returns the header lines of the answers to requests that have run.
func (i *Instance) stamp() string {
	return HeaderStamp + ": " + i.Name + "\r\n" + i.statementLines()
}

// loadLine returns the header line by which an answer states the load; empty: it states none.
// Callers hold the mutex.
func (i *Instance) loadLine() string {
	if i.Load == nil {
		return ""
	}
	return HeaderLoad + ": " + i.Load(i.running) + "\r\n"
}

// body returns the body of the proper answer to a request.
func (i *Instance) body(id string) string {
	if i.BodyOf == nil {
		return Body(id)
	}
	return i.BodyOf(id)
}

func send(conn net.Conn, status, id, fields, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderID, id, fields, len(body), body)
	return err == nil
}

// sendEndless sends a start and then a piece again and again until the client closes the connection. An empty piece is
// not sent.
func sendEndless(conn net.Conn, start, piece string) {
	_, err := io.WriteString(conn, start)
	for err == nil && piece != "" {
		_, err = io.WriteString(conn, piece)
	}
}

// reset makes the next Close of a connection send a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

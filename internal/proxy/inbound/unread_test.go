package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// A refusal before the body was read must close the connection, and no later request
// on it may run. If net/http reached the end of the body after the handler returned,
// it would read concurrently with the next request and end the process in a panic.
func TestRefusalBeforeBodyClosesConnection(t *testing.T) {
	r := newRig(t, backend.Options{}, plainSettings())
	conn, err := net.Dial("tcp", r.address)
	r.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	post := func(target string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: booking.test\r\n%s: %s\r\n%s: %s\r\nContent-Length: 7\r\n\r\nbooking",
			backend.PathEcho, outcome.HeaderTarget, target, outcome.HeaderRoute, bookRoute)
	}
	_, err = io.WriteString(conn, post("other/1")+post(testTarget))
	r.Assert(err, qt.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	r.Assert(err, qt.IsNil)
	r.Check(response.StatusCode, qt.Equals, http.StatusMisdirectedRequest)
	r.Check(response.Close, qt.IsTrue)
	_, err = io.Copy(io.Discard, response.Body)
	r.Assert(err, qt.IsNil)
	_, _ = reader.ReadByte() // until the connection is closed
	r.Check(r.backend.Journal().Total().Started, qt.Equals, 0)
}

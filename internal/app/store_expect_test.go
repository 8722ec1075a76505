package app

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// sendHeader sends a node only the header of a request with a body, as another node does,
// and returns the status that the node answers before it gets any of the body.
func (r *storeHarness) sendHeader(index, bytes int, order hop.Order, id string) int {
	conn, err := net.Dial("tcp", net.JoinHostPort(r.machines[index].ip, strconv.Itoa(r.inbound)))
	r.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n",
		instance.HeaderID, id, hop.Header, order.Encode(), bytes)
	r.c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.c.Assert(err, qt.IsNil)
	return response.StatusCode
}

// TestStoreRefusedBodyIsNotSent checks that a node accepts or refuses a request before the
// body is sent, even if the body is short. Otherwise the bodies of refused requests fill slow
// links (5 Mbit/s) and delay the accepted requests, by 0.2 s each.
func TestStoreRefusedBodyIsNotSent(t *testing.T) {
	r := newStoreHarness(t, []string{"data"}, nil)
	r.startAll()
	order := hop.Order{Instance: "i-0", Remaining: time.Minute, MaxWait: time.Minute, Revision: 1}
	r.c.Check(r.sendHeader(0, 4000, order, "accepted"), qt.Equals, http.StatusContinue)
	expired := order
	expired.ServiceTime = 2 * time.Minute
	r.c.Check(r.sendHeader(0, 4000, expired, "expired"), qt.Equals, http.StatusServiceUnavailable)
	r.awaitRevision(r.put(0, "draining"))
	r.c.Check(r.sendHeader(0, 4000, order, "draining"), qt.Equals, http.StatusServiceUnavailable)
}

// TestStoreShortBodyArrivesWhole checks that a body that is sent after 100 Continue is
// received complete and unchanged.
func TestStoreShortBodyArrivesWhole(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data"}, nil)
	r.startAll()
	body := strings.Repeat("0123456789", 400)
	got := r.upload(0, "/write/x", "booking", []byte(body))
	r.c.Check(got.status, qt.Equals, http.StatusOK)
	runs := r.runs("booking")
	r.c.Assert(runs, qt.HasLen, 1)
	r.c.Check(runs[0].Body, qt.Equals, body)
}

package outbound_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// addRawInstance adds an instance with a real inbound proxy, whose backend answers each request with the fault.
func (r *harness) addRawInstance(name string, emulated *instance.Instance, fault instance.Fault) {
	emulated.Name, emulated.Plan = name, func(string) instance.Fault { return fault }
	address, err := emulated.Start()
	r.Assert(err, qt.IsNil)
	r.t.Cleanup(emulated.Close)
	r.addInboundProxy(name, address)
}

// TestEarlyUnframedResponseIsIncomplete guards against a caller that gets the part of a response as all of it: the
// backend answers a long upload without a length, and resets or closes the connection while the upload is
// being written.
func TestEarlyUnframedResponseIsIncomplete(t *testing.T) {
	const tries = 10
	for name, row := range map[string]struct {
		fault instance.Fault
		whole int
	}{
		"reset":                   {instance.EarlyUnframedReset, 0},
		"closed":                  {instance.EarlyUnframedClose, 0},
		"after the body was read": {instance.Unframed, tries},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addRawInstance("raw", &instance.Instance{
				EarlyDelay: 10 * time.Millisecond, BodyOf: func(string) string { return strings.Repeat("p", 3_000) },
			}, row.fault)
			whole := 0
			for range tries {
				response, err := r.client.Do(r.request(http.MethodPost, "/bookings", bytes.NewReader(make([]byte, bodyLimit))))
				if err != nil {
					continue
				}
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err == nil && response.StatusCode == http.StatusOK {
					whole++
				}
			}
			r.Check(whole, qt.Equals, row.whole, qt.Commentf("of %d responses", tries))
		})
	}
}

// TestMalformedResponsesThroughBothProxies guards against a response that violates the protocol and reaches the caller.
func TestMalformedResponsesThroughBothProxies(t *testing.T) {
	const ok, framed, chunked = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n"
	for name, row := range map[string]struct {
		sent  string
		valid bool
	}{
		"proper":                      {ok + framed, true},
		"interim responses":           {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + framed, true},
		"a trailer":                   {ok + chunked + "\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		"status 000":                  {"HTTP/1.1 000 Odd\r\n" + framed, false},
		"status 099":                  {"HTTP/1.1 099 Odd\r\n" + framed, false},
		"status 600":                  {"HTTP/1.1 600 Odd\r\n" + framed, false},
		"version 3.7":                 {"HTTP/3.7 200 OK\r\n" + framed, false},
		"a blank in a name":           {ok + "Foo Bar: x\r\n" + framed, false},
		"a blank before the colon":    {ok + "Content-Length : 2\r\n\r\nok", false},
		"a control byte in a name":    {ok + "Fo\x01o: x\r\n" + framed, false},
		"a blank in an interim name":  {"HTTP/1.1 103 Early Hints\r\nFoo Bar: x\r\n\r\n" + ok + framed, false},
		"a blank in a trailer's name": {ok + chunked + "\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n", false},
		"no response":                 {"\x00\x01\x02 no response\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addRawInstance("raw", &instance.Instance{RawAnswer: func(string) string { return row.sent }}, instance.Raw)
			response, err := r.client.Do(r.request(http.MethodPost, "/bookings", strings.NewReader("a booking")))
			r.Assert(err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if row.valid {
				r.Assert(err, qt.IsNil)
				r.Check(response.StatusCode, qt.Equals, http.StatusOK)
				r.Check(string(body), qt.Equals, "ok")
				return
			}
			r.Check(err != nil || response.StatusCode == http.StatusBadGateway, qt.IsTrue, qt.Commentf("status %d, body %q", response.StatusCode, body))
		})
	}
}

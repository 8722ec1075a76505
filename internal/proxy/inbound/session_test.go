package inbound

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// newOneSlotRig has capacity for one request and nine sessions.
func newOneSlotRig(t *testing.T) *rig {
	set := plainSettings()
	set.Slots, set.Connections = 1, 10
	return newRig(t, backend.Options{Slots: 1, Connections: 10}, set)
}

func (r *rig) open(request *http.Request) *http.Response {
	response, err := r.client.Do(request)
	r.Assert(err, qt.IsNil)
	r.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// upgrade opens a session with a backend that echoes.
func (r *rig) upgrade() io.ReadWriteCloser {
	response := r.open(r.request(r.Context(), http.MethodGet, backend.PathUpgrade, "",
		"Connection", "Upgrade", "Upgrade", backend.UpgradeProtocol))
	r.Assert(response.StatusCode, qt.Equals, http.StatusSwitchingProtocols)
	return response.Body.(io.ReadWriteCloser)
}

func (r *rig) checkEcho(session io.ReadWriter, text string) {
	_, err := io.WriteString(session, text)
	r.Assert(err, qt.IsNil)
	echoed := make([]byte, len(text))
	_, err = io.ReadFull(session, echoed)
	r.Assert(err, qt.IsNil)
	r.Check(string(echoed), qt.Equals, text)
}

func TestEventStreamHoldsNoSlot(t *testing.T) {
	r := newOneSlotRig(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	response := r.open(r.request(ctx, http.MethodGet, backend.PathEvents+"?count=2&interval-ms=0", ""))
	whole, err := io.ReadAll(response.Body)
	r.Assert(err, qt.IsNil)
	r.Check(strings.Count(string(whole), "data:"), qt.Equals, 2)

	endless := r.open(r.request(ctx, http.MethodGet, backend.PathEvents+"?interval-ms=600000", "",
		outcome.HeaderRemaining, "300"))
	r.Check(r.send().StatusCode, qt.Equals, 200) // the only slot is free
	r.Check(r.proxy.admission.Usage(), qt.Equals, admission.Usage{Sessions: 1, Slots: 1})
	cancel()
	_, err = io.ReadAll(endless.Body)
	r.Check(err, qt.Not(qt.IsNil))
	r.eventually(func() bool { return r.proxy.admission.Usage().Sessions == 0 })
	r.eventually(func() bool { return r.backend.Statistics().SessionsNow == 0 })
}

// A deadline applies to a session only until the response header.
func TestSessionOutlivesRequestDeadline(t *testing.T) {
	r := newOneSlotRig(t)
	request := r.request(t.Context(), http.MethodGet, backend.PathUpgrade, "", "Connection", "Upgrade",
		"Upgrade", backend.UpgradeProtocol, outcome.HeaderRemaining, "300")
	sent := time.Now()
	session := r.open(request).Body.(io.ReadWriteCloser)
	r.checkEcho(session, "before")
	time.Sleep(time.Until(sent.Add(400 * time.Millisecond))) // the deadline passes
	r.checkEcho(session, "after")
}

func TestUpgradeRelaysAndHalfCloses(t *testing.T) {
	r := newOneSlotRig(t)
	session := r.upgrade()
	r.checkEcho(session, "setpoint")
	r.Check(r.send().StatusCode, qt.Equals, 200)
	r.Assert(session.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
	rest, err := io.ReadAll(session)
	r.Check(err, qt.IsNil)
	r.Check(rest, qt.HasLen, 0)
	r.eventually(func() bool { return r.proxy.admission.Usage().Sessions == 0 })
	r.eventually(func() bool { return r.backend.Statistics().SessionsNow == 0 })
}

// With as many sessions open as there are connections for, one more is refused as not
// run, and a request still runs.
func TestSessionsLeaveConnectionsForRequests(t *testing.T) {
	set := plainSettings()
	set.Slots, set.Connections = 1, 4 // one for reports, one for the slot
	r := newRig(t, backend.Options{Slots: 1, Connections: 4}, set)
	for range 2 {
		r.checkEcho(r.upgrade(), "open")
	}
	got := r.do(r.request(t.Context(), http.MethodGet, backend.PathUpgrade, "",
		"Connection", "Upgrade", "Upgrade", backend.UpgradeProtocol))
	r.checkProblem(got, 503, outcome.NotRun, outcome.ReasonOverloaded)
	r.Check(r.send().StatusCode, qt.Equals, 200)
	r.Check(r.backend.Statistics().ConnectionViolations, qt.Equals, int64(0))
}

// TestLongBodiesPassUnchanged checks each byte of long bodies in both directions.
func TestLongBodiesPassUnchanged(t *testing.T) {
	r := newOneSlotRig(t)
	got := r.do(r.request(t.Context(), http.MethodGet, backend.PathDownload+"?bytes=3000000", "", backend.HeaderRequest, "9"))
	r.Assert(got.err, qt.IsNil)
	r.Check(got.body == string(backend.Pattern("9", 3_000_000)), qt.IsTrue)
	long := string(backend.Pattern("10", 3_000_000))
	got = r.do(r.request(t.Context(), http.MethodPost, backend.PathEcho, long))
	r.Assert(got.err, qt.IsNil)
	r.Check(got.body == long, qt.IsTrue)
}

// passThroughBackend is a backend for what the emulated one does not do: 1xx
// responses, trailers, forged internal headers and responses before the end of the
// request body.
func passThroughBackend(c *qt.C, refuseBody bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for name := range r.Header {
			if strings.HasPrefix(name, outcome.InternalPrefix) {
				c.Errorf("header %s reached the backend", name)
			}
		}
		c.Check(r.Header.Get("Authorization"), qt.Equals, "Bearer s3cret")
		c.Check(r.Header.Get("X-Hop"), qt.Equals, "")
		c.Check(r.Header.Get(outcome.HeaderTimeout), qt.Matches, "[0-9]+")
		if refuseBody {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun)) // forged
		w.Header().Set("Trailer", "Checksum")
		_ = http.NewResponseController(w).EnableFullDuplex()
		line, _ := bufio.NewReader(r.Body).ReadString('\n')
		_, _ = io.WriteString(w, line)
		_ = http.NewResponseController(w).Flush()
		rest, _ := io.ReadAll(r.Body)
		_, _ = w.Write(rest)
		w.Header().Set("Checksum", "c")
		w.Header().Set(http.TrailerPrefix+"Late", r.Trailer.Get("Sent"))
		w.Header().Set(http.TrailerPrefix+outcome.HeaderReason, "forged")
	})
}

// TestMessagesPassThrough checks headers, 1xx responses, trailers in both directions,
// and that the first half of a response arrives before the second half of the request
// is sent.
func TestMessagesPassThrough(t *testing.T) {
	server := httptest.NewServer(passThroughBackend(qt.New(t), false))
	t.Cleanup(server.Close)
	r := newRigForAddress(t, server.Listener.Addr().String(), plainSettings())
	reader, writer := io.Pipe()
	request := r.request(t.Context(), http.MethodPost, "/", "", "Authorization", "Bearer s3cret",
		"Connection", "X-Hop", "X-Hop", "secret of one hop")
	request.Body = reader
	request.Trailer = http.Header{"Sent": nil}
	hints := make(chan string, 1)
	request = request.WithContext(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			hints <- http.StatusText(status) + header.Get("Link")
			return nil
		},
	}))
	go func() { _, _ = io.WriteString(writer, "first\n") }()
	response := r.open(request)
	r.Check(<-hints, qt.Equals, "Early Hints</style.css>")
	r.Check(response.Header.Get(outcome.HeaderOutcome), qt.Equals, "")
	r.Check(response.Header.Get("Link"), qt.Equals, "")
	line := make([]byte, len("first\n"))
	_, err := io.ReadFull(response.Body, line)
	r.Assert(err, qt.IsNil)
	request.Trailer.Set("Sent", "s")
	_, err = io.WriteString(writer, "second")
	r.Assert(err, qt.IsNil)
	r.Assert(writer.Close(), qt.IsNil)
	rest, err := io.ReadAll(response.Body)
	r.Assert(err, qt.IsNil)
	r.Check(string(line)+string(rest), qt.Equals, "first\nsecond")
	r.Check(response.Trailer, qt.DeepEquals, http.Header{"Checksum": {"c"}, "Late": {"s"}})
}

// A backend that refuses a request by its header must not be sent the body.
func TestBodyWaitsForContinue(t *testing.T) {
	server := httptest.NewServer(passThroughBackend(qt.New(t), true))
	t.Cleanup(server.Close)
	r := newRigForAddress(t, server.Listener.Addr().String(), plainSettings())
	r.client.Transport.(*http.Transport).ExpectContinueTimeout = time.Hour
	request := r.request(t.Context(), http.MethodPost, "/", "a long body", "Expect", "100-continue", "Authorization", "Bearer s3cret")
	read := false
	request.Body = io.NopCloser(readerFunc(func([]byte) (int, error) {
		read = true
		return 0, io.EOF
	}))
	got := r.do(request)
	r.Assert(got.err, qt.IsNil)
	r.Check(got.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	r.Check(read, qt.IsFalse)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }

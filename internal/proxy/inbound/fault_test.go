package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/settings"
)

// TestFaults checks for each fault of a request what the sender is told and what the
// backend's journal shows: a request reported as "not run" never ran, and a response
// that broke off is never delivered as complete.
func TestFaults(t *testing.T) {
	finished := backend.Runs{Started: 1, Finished: 1}
	none := backend.Runs{}
	for _, test := range []struct {
		name    string
		arrange func(r *rig)
		header  []string
		status  int // zero: the response is cut
		outcome outcome.Outcome
		reason  outcome.Reason
		journal backend.Runs
	}{
		{"none", nil, nil, 200, "", "", finished},
		{"error response of the backend", nil, []string{backend.HeaderStatus, "500"}, 500, "", "", finished},
		{"no timeout header", nil, []string{outcome.HeaderRemaining, ""}, 200, "", "", finished},
		{"no time left", nil, []string{outcome.HeaderRemaining, "0"}, 504, outcome.NotRun, outcome.ReasonDeadline, none},
		{"malformed timeout header", nil, []string{outcome.HeaderRemaining, "soon"}, 400, outcome.NotRun, outcome.ReasonBadRequest, none},
		{"addressed to the previous process", nil, []string{outcome.HeaderTarget, "reservas-1/6"}, 421, outcome.NotRun, outcome.ReasonWrongInstance, none},
		{"no target header", nil, []string{outcome.HeaderTarget, ""}, 400, outcome.NotRun, outcome.ReasonBadRequest, none},
		{"backend down", func(r *rig) { r.backend.Kill() }, nil, 502, outcome.NotRun, outcome.ReasonConnect, none},
		{"backend sheds load", func(r *rig) { r.backend.Configure(backend.Behavior{Shed: true}) }, nil,
			503, outcome.NotRun, outcome.ReasonOverloaded, none},
		{"draining", func(r *rig) { r.proxy.refusing.Store(true) }, nil, 503, outcome.NotRun, outcome.ReasonDraining, none},
		{"reset before the body is read", nil, fault(backend.FaultResetBeforeRead), 502, outcome.Unknown, outcome.ReasonBroken, none},
		{"reset after the request ran", nil, fault(backend.FaultResetAfterRead), 502, outcome.Unknown, outcome.ReasonBroken, finished},
		{"reset within the response", nil, fault(backend.FaultResetMidAnswer), 0, "", "", finished},
		{"closed within the response", nil, fault(backend.FaultCloseMidAnswer), 0, "", "", finished},
		{"response shorter than declared", nil, fault(backend.FaultWrongLength), 0, "", "", finished},
		{"stalled", nil, append(fault(backend.FaultStall), outcome.HeaderRemaining, "300"),
			504, outcome.Unknown, outcome.ReasonDeadline, backend.Runs{Started: 1, Cancelled: 1}},
		{"stalled within the response", nil, append(fault(backend.FaultStallMidAnswer), outcome.HeaderRemaining, "300"),
			0, "", "", finished},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, backend.Options{}, plainSettings())
			if test.arrange != nil {
				test.arrange(r)
			}
			got := r.send(test.header...)
			switch {
			case test.status == 0:
				r.Check(got.err, qt.Not(qt.IsNil))
			case test.outcome == "":
				r.Assert(got.err, qt.IsNil)
				r.Check(got.StatusCode, qt.Equals, test.status)
				r.Check(got.body, qt.Equals, "a booking")
				r.Check(got.Header.Get(outcome.HeaderOutcome), qt.Equals, "")
			default:
				r.checkProblem(got, test.status, test.outcome, test.reason)
			}
			r.eventually(func() bool { return r.proxy.admission.Usage().InFlight == 0 })
			r.eventually(func() bool { return allRunsEnded(r.backend.Journal().Request("1")) })
			r.Check(r.backend.Journal().Request("1"), qt.Equals, test.journal)
		})
	}
}

func fault(fault backend.Fault) []string { return []string{backend.HeaderFault, string(fault)} }

func allRunsEnded(runs backend.Runs) bool {
	return runs.Started == runs.Finished+runs.Cancelled+runs.Expired
}

// http.Transport resends a request by itself if a reused connection is reset. The
// proxy must prevent that, as the request may have run.
func TestTransportDoesNotResend(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			r := newRig(t, backend.Options{}, plainSettings())
			r.Assert(r.do(r.request(t.Context(), method, backend.PathEcho, "")).err, qt.IsNil)
			r.backend.Configure(backend.Behavior{Fault: backend.FaultResetBeforeRead, FaultCount: 1})
			got := r.do(r.request(t.Context(), method, backend.PathEcho, "", outcome.HeaderIdempotencyKey, "k"))
			r.checkProblem(got, 502, outcome.Unknown, outcome.ReasonBroken)
			r.Check(r.backend.Journal().Total().Started, qt.Equals, 1)
		})
	}
}

// A request that is read right after a pause of the process may have waited longer
// than its remaining time, and must then not be forwarded.
func TestPausedProcessForwardsNoExpiredRequest(t *testing.T) {
	for _, test := range []struct {
		name      string
		remaining string
		status    int
	}{
		{"time over during the pause", "5000", 504},
		{"time left after the pause", "60000", 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, backend.Options{}, plainSettings())
			r.proxy.pauses.start(time.Now().Add(-10 * time.Second))
			got := r.send(outcome.HeaderRemaining, test.remaining)
			r.Check(got.StatusCode, qt.Equals, test.status)
			if test.status != 200 {
				r.checkProblem(got, 504, outcome.NotRun, outcome.ReasonDeadline)
				r.Check(r.backend.Journal().Total().Started, qt.Equals, 0)
			}
		})
	}
}

// A request whose sender closed the connection before it was read, as during a pause
// of the process, must not be forwarded.
func TestSenderGoneIsNotForwarded(t *testing.T) {
	r := newRig(t, backend.Options{}, settings.Inbound{
		Service: testService, Slots: 1, Connections: 10, MaxQueued: 10, IdempotencyKeyRetention: time.Minute,
	})
	near, far := tcpPair(r.C)
	request := r.request(r.Context(), http.MethodGet, backend.PathEcho, "")
	request = request.WithContext(withConn(request.Context(), near))
	r.Assert(far.Close(), qt.IsNil)
	r.eventually(func() bool { return senderGone(request) })
	created := r.proxy.newExchange(discardWriter{}, request, nil, nil, time.Now().Add(time.Minute))
	r.Assert(created.acquire(bookRoute), qt.IsNil)
	r.Check(created.run().name, qt.Equals, endedCallerGone.name)
	created.end()
	r.Check(r.backend.Journal().Total().Started, qt.Equals, 0)
	r.Check(r.proxy.admission.Usage().InFlight, qt.Equals, 0)
}

func tcpPair(c *qt.C) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	far, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	near, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = near.Close() })
	return near, far
}

type discardWriter struct{}

func (discardWriter) Header() http.Header            { return http.Header{} }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}

// The sender stops within the body. The response must not wait for the rest of the
// body, and the rest must not be taken for the next request.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	early := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusConflict)
	}))
	t.Cleanup(early.Close)
	for _, test := range []struct {
		name, target string
		length       int
		status       int
	}{
		{"refused by the proxy", "other/1", 100, http.StatusMisdirectedRequest},
		{"early response of the backend", testTarget, shortBodyBytes + 1, http.StatusConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRigForAddress(t, early.Listener.Addr().String(), plainSettings())
			conn, err := net.Dial("tcp", r.address)
			r.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: test\r\n%s: %s\r\nContent-Length: %d\r\n\r\nstart",
				outcome.HeaderTarget, test.target, test.length)
			r.Assert(err, qt.IsNil)
			r.Assert(conn.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			r.Assert(err, qt.IsNil)
			r.Check(response.StatusCode, qt.Equals, test.status)
			r.Check(response.Close, qt.IsTrue)
			_, err = io.Copy(io.Discard, reader)
			r.Check(err, qt.IsNil, qt.Commentf("the connection must be closed"))
		})
	}
}

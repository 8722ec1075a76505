package outbound_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

func (r *harness) checkProblem(response *http.Response, status int, want outcome.Outcome, reason outcome.Reason) {
	r.t.Helper()
	problem, ok := outcome.ProblemFromResponse(response)
	r.Assert(ok, qt.IsTrue, qt.Commentf("status %d", response.StatusCode))
	r.Check(problem.Status, qt.Equals, status)
	r.Check(problem.Outcome, qt.Equals, want)
	r.Check(problem.Reason, qt.Equals, reason)
	r.Check(response.Header.Get("Content-Type"), qt.Equals, outcome.ContentType)
}

// respondWithProblem responds as an inbound proxy does, with or without reading the body.
func respondWithProblem(reason outcome.Reason, result outcome.Outcome, readBody bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if readBody {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		outcome.NewProblem(reason, result, "").Write(w)
	}
}

// One instance has a fault and the other is healthy. sent is the number of requests
// that arrive at both together.
func TestInstanceFaults(t *testing.T) {
	overloaded := respondWithProblem(outcome.ReasonOverloaded, outcome.NotRun, true)
	backendLost := respondWithProblem(outcome.ReasonBroken, outcome.Unknown, true)
	ownError := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) }
	for _, test := range []struct {
		fault   string
		faulty  http.HandlerFunc // nil: nothing listens
		method  string
		body    io.Reader
		status  int
		outcome outcome.Outcome
		reason  outcome.Reason
		sent    int32
	}{
		{"refuses connections, POST", nil, "POST", nil, 200, "", "", 1},
		{"closes after the request, POST", respondAndClose(""), "POST", nil, 502, outcome.Unknown, outcome.ReasonBroken, 1},
		{"closes after the request, DELETE", respondAndClose(""), "DELETE", nil, 502, outcome.Unknown, outcome.ReasonBroken, 1},
		{"closes after the request, GET", respondAndClose(""), "GET", nil, 200, "", "", 2},
		{"response is not HTTP, POST", respondAndClose("nonsense\r\n\r\n"), "POST", nil, 502, outcome.Unknown, outcome.ReasonBroken, 1},
		{"sheds, POST", overloaded, "POST", strings.NewReader("booking"), 200, "", "", 2},
		{"sheds unread, POST", respondWithProblem(outcome.ReasonOverloaded, outcome.NotRun, false), "POST", strings.NewReader("booking"), 200, "", "", 2},
		{"drains, POST", respondWithProblem(outcome.ReasonDraining, outcome.NotRun, true), "POST", nil, 200, "", "", 2},
		{"is another process, POST", respondWithProblem(outcome.ReasonWrongInstance, outcome.NotRun, true), "POST", nil, 200, "", "", 2},
		{"sheds after a long body, POST", overloaded, "POST", longBody(), 503, outcome.NotRun, outcome.ReasonOverloaded, 1},
		{"lost its backend, POST", backendLost, "POST", nil, 502, outcome.Unknown, outcome.ReasonBroken, 1},
		{"lost its backend, PUT", backendLost, "PUT", strings.NewReader("booking"), 200, "", "", 2},
		{"deadline exceeded at the instance, GET", respondWithProblem(outcome.ReasonDeadline, outcome.NotRun, true), "GET", nil, 504, outcome.NotRun, outcome.ReasonDeadline, 1},
		{"backend responds with 503, GET", ownError, "GET", nil, 503, "", "", 1},
	} {
		t.Run(test.fault, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			var sent atomic.Int32
			count := func(next http.HandlerFunc) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					sent.Add(1)
					next(w, r)
				}
			}
			if test.faulty == nil {
				r.addMember("faulty", closedAddress(r), membership.StateReady)
			} else {
				r.addInstance("faulty", count(test.faulty))
			}
			// Suspected instances are chosen last, so the faulty one is chosen first.
			r.addInstance("healthy", count(respond("done")))
			r.members[1].Suspected = true
			r.view.Store(membership.NewView(r.members))

			response, body := r.do(r.request(test.method, "/", test.body))
			r.Check(sent.Load(), qt.Equals, test.sent)
			if test.outcome != "" {
				r.checkProblem(response, test.status, test.outcome, test.reason)
				return
			}
			r.Check(response.StatusCode, qt.Equals, test.status)
			r.Check(response.Header.Get(outcome.HeaderOutcome), qt.Equals, "")
			if test.status == 200 {
				r.Check(body, qt.Equals, "done")
			}
		})
	}
}

func closedAddress(r *harness) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	r.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

// http.Transport by itself retries such requests when a reused connection breaks. The
// proxy must send them only once.
func TestNoRepeatOnAReusedConnection(t *testing.T) {
	for _, test := range []struct {
		name   string
		method string
		key    string
		body   io.Reader
	}{
		{"GET that may not be repeated", "GET", "", nil},
		{"POST with a key", "POST", "booking-1", nil},
		{"POST with a key and a body", "POST", "booking-1", strings.NewReader("body")},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(func(route *snapshot.Route) { route.RepeatMethods = nil })
			var sent atomic.Int32
			connections := make(map[string]bool) // without lock: one request at a time
			r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/warm" {
					connections[request.RemoteAddr] = true
					return
				}
				if !connections[request.RemoteAddr] {
					t.Error("the request arrived on a new connection, want a reused one")
				}
				sent.Add(1)
				respondAndClose("")(w, request)
			})
			r.do(r.request("GET", "/warm", nil))
			request := r.request(test.method, "/", test.body)
			if test.key != "" {
				request.Header.Set(outcome.HeaderIdempotencyKey, test.key)
			}
			response, _ := r.do(request)
			r.checkProblem(response, 502, outcome.Unknown, outcome.ReasonBroken)
			r.Check(sent.Load(), qt.Equals, int32(1))
		})
	}
}

// If the instance has closed an idle connection, the request is sent on another
// connection to the same instance, and only once.
func TestClosedIdleConnection(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	const requests = 200
	sent := 0 // without lock: one request at a time
	closed := make(chan struct{}, 1)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		sent++
		respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")(w, request)
		closed <- struct{}{}
	})
	for range requests {
		response, _ := r.sendKeyed("booking")
		r.Assert(response.StatusCode, qt.Equals, 200)
		<-closed
	}
	r.Check(sent, qt.Equals, requests)
}

// A service that refuses all requests gets no more retries than the budget allows.
func TestRetryBudgetLimitsSends(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	var sent atomic.Int32
	for _, name := range []string{"a", "b", "c"} {
		r.addInstance(name, func(w http.ResponseWriter, request *http.Request) {
			sent.Add(1)
			respondWithProblem(outcome.ReasonOverloaded, outcome.NotRun, true)(w, request)
		})
	}
	const requests = 100
	for range requests {
		response, _ := r.do(r.request("GET", "/", nil))
		r.checkProblem(response, 503, outcome.NotRun, outcome.ReasonOverloaded)
		r.Check(response.Header.Get("Retry-After"), qt.Equals, "1")
	}
	// The budget starts with 10 retries and gains a tenth of a retry per request, less
	// what its capacity cuts off.
	r.Check(sent.Load() <= requests+10+requests/10, qt.IsTrue, qt.Commentf("sent %d", sent.Load()))
	r.Check(sent.Load() > requests+10, qt.IsTrue, qt.Commentf("sent %d", sent.Load()))
}

// With a stalled instance the request ends at its deadline, and the response states
// that the request may have run.
func TestDeadline(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	left := make(chan string, 1)
	gone := make(chan struct{})
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		left <- request.Header.Get(outcome.HeaderRemaining)
		<-request.Context().Done()
		close(gone)
	})
	request := r.request("GET", "/", nil)
	request.Header.Set(outcome.HeaderTimeout, "200")
	response, _ := r.do(request)
	r.checkProblem(response, 504, outcome.Unknown, outcome.ReasonDeadline)
	r.Check(<-left, qt.Matches, "1?[0-9]?[0-9]")
	<-gone
}

// When the caller disconnects, the request to the instance is cancelled.
func TestCallerGoesAway(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	arrived, gone := make(chan struct{}), make(chan struct{})
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		close(arrived)
		<-request.Context().Done()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := r.client.Do(r.request("POST", "/", nil).WithContext(ctx))
	r.Check(errors.Is(err, context.Canceled), qt.IsTrue)
	<-gone
}

// Requests that the caller cancels do not count as failures of the instance; broken
// responses do.
func TestEjections(t *testing.T) {
	r := newHarness(t)
	r.configure(func(route *snapshot.Route) { route.RepeatMethods = nil })
	arrived := make(chan struct{})
	hang := func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/broken" {
			respondAndClose("")(w, request)
			return
		}
		arrived <- struct{}{}
		<-request.Context().Done()
	}
	r.addInstance("a", hang)
	r.addInstance("b", hang)
	for range 10 {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-arrived
			cancel()
		}()
		_, err := r.client.Do(r.request("GET", "/", nil).WithContext(ctx))
		r.Check(err, qt.IsNotNil)
	}
	r.Check(r.counter("winchhead_outbound_ejections_total"), qt.Equals, 0.0)
	for range 10 {
		r.do(r.request("GET", "/broken", nil))
	}
	r.Check(r.counter("winchhead_outbound_ejections_total") > 0, qt.IsTrue)
}

// State and load that a response reports for its instance apply from the next request
// on.
func TestHintsInResponses(t *testing.T) {
	for _, test := range []struct{ name, value string }{
		{outcome.HeaderState, "draining"},
		{outcome.HeaderLoad, "0.9"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			for _, name := range []string{"a", "b"} {
				r.addInstance(name, func(w http.ResponseWriter, request *http.Request) {
					if name == "a" {
						w.Header().Set(test.name, test.value)
					}
					_, _ = io.WriteString(w, name)
				})
			}
			met := false
			for range 30 {
				_, name := r.do(r.request("GET", "/", nil))
				r.Assert(met && name == "a", qt.IsFalse)
				met = met || name == "a"
			}
			r.Check(met, qt.IsTrue)
		})
	}
}

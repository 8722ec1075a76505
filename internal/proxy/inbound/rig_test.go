package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testService = "reservas"
	bookRoute   = "reservas/book"
	testTarget  = "reservas-1/7"
)

// rig runs a proxy on loopback in front of an emulated backend, and a client that
// sends to it.
type rig struct {
	*qt.C
	store   snapshot.Store
	backend *backend.Backend
	proxy   *Proxy
	address string
	client  *http.Client
	states  chan membership.State
}

func (r *rig) Current() *snapshot.Snapshot     { return r.store.Current() }
func (r *rig) SetState(state membership.State) { r.states <- state }

// plainSettings has limits that most tests do not reach, and no health endpoint.
func plainSettings() settings.Inbound {
	return settings.Inbound{
		Service: testService, Slots: 20, Connections: 130, MaxQueued: 40,
		DrainGrace: time.Minute, IdempotencyKeyRetention: time.Minute, HealthInterval: time.Millisecond,
	}
}

// newRig starts a proxy in front of an emulated backend.
func newRig(t *testing.T, options backend.Options, set settings.Inbound) *rig {
	emulated := backend.New(options)
	c := qt.New(t)
	c.Assert(emulated.Start("127.0.0.1:0"), qt.IsNil)
	r := newRigForAddress(t, emulated.Address(), set)
	r.backend = emulated
	t.Cleanup(emulated.Kill)
	return r
}

// newRigForAddress starts a proxy in front of the backend at an address.
func newRigForAddress(t testing.TB, address string, set settings.Inbound) *rig {
	r := &rig{C: qt.New(t), states: make(chan membership.State, 100)}
	set.Backend = address
	proxy, err := New(Options{
		Snapshots: r, Publisher: r, Settings: set,
		Self:   membership.Record{Node: "reservas-1", Incarnation: 7},
		Logger: logging.Discard(), Registerer: prometheus.NewRegistry(),
	})
	r.Assert(err, qt.IsNil)
	r.adopt(snapshot.Service{Name: testService})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	r.proxy, r.address = proxy, listener.Addr().String()
	server, served := proxy.Server(), make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	r.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		_ = server.Close()
		proxy.Close()
		<-served
	})
	return r
}

func (r *rig) adopt(service snapshot.Service) {
	revision := r.store.HighWater().Revision + 1
	route := snapshot.Route{
		Name: bookRoute, Targets: []snapshot.WeightedService{{Service: testService, Weight: 1}},
		Timeout: time.Minute, MaxAttempts: 1, RepeatMethods: []string{http.MethodPut},
	}
	next, err := snapshot.New(snapshot.Version{Revision: revision}, []snapshot.Route{route}, []snapshot.Service{service}, nil)
	r.Assert(err, qt.IsNil)
	_, err = r.store.Adopt(next)
	r.Assert(err, qt.IsNil)
}

// run starts the reading of reports.
func (r *rig) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.proxy.Run(ctx)
	}()
	r.Cleanup(func() {
		cancel()
		<-done
	})
}

// awaitState waits until the state is published.
func (r *rig) awaitState(state membership.State) {
	for published := range r.states {
		if published == state {
			return
		}
	}
}

// request returns a request as a node sends it; pairs are header names and values,
// where an empty value removes the header.
func (r *rig) request(ctx context.Context, method, path, body string, pairs ...string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.address+path, reader)
	r.Assert(err, qt.IsNil)
	request.Header.Set(outcome.HeaderTarget, testTarget)
	request.Header.Set(outcome.HeaderRoute, bookRoute)
	request.Header.Set(outcome.HeaderRemaining, "60000")
	for index := 0; index < len(pairs); index += 2 {
		if pairs[index+1] == "" {
			request.Header.Del(pairs[index])
			continue
		}
		request.Header.Set(pairs[index], pairs[index+1])
	}
	return request
}

// clientResponse is a response with its body, or the error that cut it.
type clientResponse struct {
	*http.Response
	body string
	err  error
}

func (r *rig) do(request *http.Request) clientResponse {
	response, err := r.client.Do(request)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{Response: response, body: string(body), err: err}
}

// send posts a request with number 1 and reads the response.
func (r *rig) send(pairs ...string) clientResponse {
	return r.do(r.request(r.Context(), http.MethodPost, backend.PathEcho, "a booking",
		append([]string{backend.HeaderRequest, "1"}, pairs...)...))
}

// checkProblem checks a response that the proxy itself made.
func (r *rig) checkProblem(got clientResponse, status int, result outcome.Outcome, reason outcome.Reason) {
	r.Assert(got.err, qt.IsNil)
	r.Check(got.StatusCode, qt.Equals, status)
	r.Check(got.Header.Get(outcome.HeaderOutcome), qt.Equals, string(result))
	r.Check(got.Header.Get(outcome.HeaderReason), qt.Equals, string(reason))
	r.Check(got.Header.Get(outcome.HeaderLoad), qt.Not(qt.Equals), "")
}

// eventually polls for a state that has no event to wait for.
func (r *rig) eventually(reached func() bool) {
	r.Helper()
	for deadline := time.Now().Add(30 * time.Second); !reached(); {
		if time.Now().After(deadline) {
			r.Fatal("state not reached")
		}
		time.Sleep(time.Millisecond)
	}
}

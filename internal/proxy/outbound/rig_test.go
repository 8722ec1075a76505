package outbound_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/outbound"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testService = "reservas"
	bodyLimit   = 1 << 20
	headerLimit = 8 << 10
)

// rig is a proxy on loopback with stand-ins for the inbound proxies.
type rig struct {
	*qt.C
	t       testing.TB
	store   snapshot.Store
	view    atomic.Pointer[membership.View]
	members []membership.Member
	proxy   *outbound.Proxy
	address string
	client  *http.Client
	metrics *prometheus.Registry
}

func (r *rig) Current() *snapshot.Snapshot { return r.store.Current() }
func (r *rig) View() *membership.View      { return r.view.Load() }

// newRig starts a proxy without configuration and without instances.
func newRig(t testing.TB) *rig { return newSecuredRig(t, nil) }

// newSecuredRig uses TLS towards the instances.
func newSecuredRig(t testing.TB, config *tls.Config) *rig {
	r := &rig{C: qt.New(t), t: t, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	r.metrics = prometheus.NewRegistry()
	r.view.Store(membership.NewView(nil))
	proxy, err := outbound.New(outbound.Options{
		Snapshots: r, Fleet: r,
		TLS:  config,
		Self: membership.Record{Node: "edge", Region: "south", Zone: "centro"},
		Settings: settings.Outbound{
			MaxHeaderBytes: headerLimit, MaxBodyBytes: bodyLimit, HeaderTimeout: time.Minute,
			RetryRatio: 0.1, Balance: "two-choices",
		},
		Logger: logging.Discard(), Registerer: r.metrics,
	})
	r.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	r.proxy, r.address = proxy, listener.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = proxy.Server().Serve(listener)
	}()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		r.Check(proxy.Close(), qt.IsNil)
		<-served
	})
	return r
}

// route is the route of the tests: GET and PUT may be repeated, POST not.
func route() snapshot.Route {
	return snapshot.Route{
		Name: "booking/all", Match: snapshot.Match{Host: "booking.test"},
		Targets: []snapshot.WeightedService{{Service: testService, Weight: 1}},
		Timeout: time.Minute, RepeatMethods: []string{"GET", "PUT"}, MaxAttempts: 3,
		Secrets: []snapshot.SecretHeader{{Header: "Authorization", Secret: "token", Prefix: "Bearer "}},
	}
}

func (r *rig) configure(change func(*snapshot.Route)) {
	only := route()
	if change != nil {
		change(&only)
	}
	next, err := snapshot.New(
		snapshot.Version{Revision: r.store.HighWater().Revision + 1, Hash: snapshot.ContentHash{1}},
		[]snapshot.Route{only},
		[]snapshot.Service{{Name: testService}},
		[]snapshot.Secret{{Name: "token", Value: "s3cret"}},
	)
	r.Assert(err, qt.IsNil)
	_, err = r.store.Adopt(next)
	r.Assert(err, qt.IsNil)
}

// instance adds an instance whose inbound proxy is the handler.
func (r *rig) instance(name string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	r.t.Cleanup(server.Close)
	r.member(name, server.Listener.Addr().String(), membership.StateReady)
}

// member sets what the fleet knows of one instance.
func (r *rig) member(name, address string, state membership.State) {
	r.members = append(r.members, membership.Member{Record: membership.Record{
		Node: membership.NodeID(name), Incarnation: 7, Sequence: 1, State: state,
		Region: "south", Zone: "centro", Service: testService, DataAddress: address, Slots: 20,
	}})
	r.view.Store(membership.NewView(r.members))
}

func (r *rig) request(method, path string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.address+path, body)
	r.Assert(err, qt.IsNil)
	request.Host = "booking.test"
	return request
}

// do sends a request and returns the answer with its whole body.
func (r *rig) do(request *http.Request) (*http.Response, string) {
	response, err := r.client.Do(request)
	r.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.Assert(err, qt.IsNil)
	return response, string(body)
}

// counter adds up a counter over its labels.
func (r *rig) counter(name string) float64 {
	families, err := r.metrics.Gather()
	r.Assert(err, qt.IsNil)
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			total += metric.GetCounter().GetValue()
		}
	}
	return total
}

// raw sends text on a connection of its own, which the test ends.
func (r *rig) raw(text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.address)
	r.Assert(err, qt.IsNil)
	r.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	r.Assert(err, qt.IsNil)
	return conn, bufio.NewReader(conn)
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
	}
}

// breakOff closes the connection after the request was read and what was given
// was sent.
func breakOff(sent string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, sent)
		_ = conn.Close()
	}
}

// answerUnread answers without reading the body, then closes the connection.
func answerUnread(sent string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, sent)
		_ = conn.Close()
	}
}

func longBody() io.Reader { return strings.NewReader(strings.Repeat("x", 200<<10)) }

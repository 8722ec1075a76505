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
	bodyLimit   = 4 << 20
	headerLimit = 8 << 10
)

// harness runs a proxy on loopback with fake inbound proxies.
type harness struct {
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

func (r *harness) Current() *snapshot.Snapshot { return r.store.Current() }
func (r *harness) View() *membership.View      { return r.view.Load() }

// newHarness starts a proxy without configuration and without instances.
func newHarness(t testing.TB) *harness { return newTLSHarness(t, nil) }

// newTLSHarness uses config for TLS connections to the instances.
func newTLSHarness(t testing.TB, config *tls.Config) *harness {
	r := &harness{C: qt.New(t), t: t, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
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

// defaultRoute returns the route of the tests: GET and PUT may be repeated, POST not.
func defaultRoute() snapshot.Route {
	return snapshot.Route{
		Name: "booking/all", Match: snapshot.Match{Host: "booking.test"},
		Targets: []snapshot.WeightedService{{Service: testService, Weight: 1}},
		Timeout: time.Minute, RepeatMethods: []string{"GET", "PUT"}, MaxAttempts: 3,
		Secrets: []snapshot.SecretHeader{{Header: "Authorization", Secret: "token", Prefix: "Bearer "}},
	}
}

func (r *harness) configure(change func(*snapshot.Route)) {
	only := defaultRoute()
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

// addInstance adds an addInstance whose inbound proxy is the handler.
func (r *harness) addInstance(name string, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	r.t.Cleanup(server.Close)
	r.addMember(name, server.Listener.Addr().String(), membership.StateReady)
}

// addMember adds the member record of an instance to the fleet view.
func (r *harness) addMember(name, address string, state membership.State) {
	r.members = append(r.members, membership.Member{Record: membership.Record{
		Node: membership.NodeID(name), Incarnation: 7, Sequence: 1, State: state,
		Region: "south", Zone: "centro", Service: testService, DataAddress: address, Slots: 20,
	}})
	r.view.Store(membership.NewView(r.members))
}

func (r *harness) request(method, path string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.address+path, body)
	r.Assert(err, qt.IsNil)
	request.Host = "booking.test"
	return request
}

// do sends a request and returns the response and its whole body.
func (r *harness) do(request *http.Request) (*http.Response, string) {
	response, err := r.client.Do(request)
	r.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.Assert(err, qt.IsNil)
	return response, string(body)
}

// counter returns the sum of a counter over all labels.
func (r *harness) counter(name string) float64 {
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

// sendRaw sends text on a new connection, which is closed at the end of the test.
func (r *harness) sendRaw(text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.address)
	r.Assert(err, qt.IsNil)
	r.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	r.Assert(err, qt.IsNil)
	return conn, bufio.NewReader(conn)
}

func respond(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
	}
}

// respondAndClose reads the request, sends the given bytes and closes the connection.
func respondAndClose(sent string) http.HandlerFunc {
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

// respondWithoutReading sends the given bytes without reading the body and closes the
// connection.
func respondWithoutReading(sent string) http.HandlerFunc {
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

package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/winchhead/winchhead/internal/emulator/platform"
	"github.com/winchhead/winchhead/internal/keys/testcerts"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	policyProgram = `
route(name="all", to="reservas", timeout="30s",
      secrets=[secret_header(header="X-Key", secret="key")])
`
	secretValue = "value-of-the-key"
)

// harness holds an emulated platform, a backend and nodes, all in this process.
type harness struct {
	c        *qt.C
	platform *platform.Platform
	url      string
	backend  *httptest.Server
	// arrived receives the secret header of each request. The backend answers once hold
	// is closed.
	arrived chan string
	hold    chan struct{}
	tls     settings.TLS // used by all nodes
}

func newHarness(c *qt.C) *harness {
	emulated, err := platform.New(platform.Options{Content: snapshot.Content{
		Services: []snapshot.Service{{Name: "reservas"}},
		Secrets:  []snapshot.Secret{{Name: "key", Value: secretValue}},
	}})
	c.Assert(err, qt.IsNil)
	source := httptest.NewServer(emulated.Handler())
	c.Cleanup(source.Close)
	r := &harness{c: c, platform: emulated, url: source.URL, arrived: make(chan string, 1), hold: make(chan struct{})}
	r.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.arrived <- request.Header.Get("X-Key")
		<-r.hold
		_, _ = io.WriteString(w, "whole answer")
	}))
	c.Cleanup(r.backend.Close)
	return r
}

func (r *harness) settings(name string) settings.Settings {
	loaded, err := settings.Load("", settings.Overrides{
		"node.name": name, "node.region": "montevideo", "node.zone": "centro", "platform.url": r.url,
		"peers.listen": "127.0.0.1:0", "outbound.listen": "127.0.0.1:0", "admin.listen": "127.0.0.1:0",
	})
	r.c.Assert(err, qt.IsNil)
	loaded.TLS = r.tls
	return loaded.Settings
}

// enableTLS gives all nodes keys of one certificate authority.
func (r *harness) enableTLS() {
	authority, err := testcerts.NewAuthority()
	r.c.Assert(err, qt.IsNil)
	r.tls, err = authority.WriteNode(r.c.TempDir(), "node")
	r.c.Assert(err, qt.IsNil)
}

// sidecarSettings returns the settings of the sidecar of the backend.
func (r *harness) sidecarSettings() settings.Settings {
	beside := r.settings("centro-reservas")
	beside.Inbound.Listen, beside.Inbound.Service = "127.0.0.1:0", "reservas"
	beside.Inbound.Backend = r.backend.Listener.Addr().String()
	return beside
}

// start runs a node, adds it to the platform's list of members and returns a function
// that stops it.
func (r *harness) start(configured settings.Settings, started time.Time) (node *App, stop func() error) {
	node, err := New(configured, Options{Logger: logging.Discard(), Started: started})
	r.c.Assert(err, qt.IsNil)
	r.platform.PutMember(membership.ListedMember{Node: membership.NodeID(configured.Node.Name),
		PeerAddress: node.Addresses().Peers, Region: "montevideo", Zone: "centro",
		Service: configured.Inbound.Service, State: membership.ListedLive})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	return node, func() error {
		cancel()
		return <-ended
	}
}

// TestPolicyToAnsweredRequest distributes a policy from the platform to three nodes with
// TLS, sends a request through two of them, and stops the node that is serving the
// request.
func TestPolicyToAnsweredRequest(t *testing.T) {
	alreadyRunning := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, alreadyRunning) })
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	c := qt.New(t)
	r := newHarness(c)
	r.enableTLS()
	instance, stopInstance := r.start(r.sidecarSettings(), time.Time{})
	edge, stopEdge := r.start(r.settings("centro-edge"), time.Time{})
	other, stopOther := r.start(r.settings("other-edge"), time.Time{})
	for _, node := range []*App{instance, edge, other} {
		<-node.Ready()
	}

	version, err := r.platform.Submit(snapshot.Policy{Name: "reservas.star", Program: policyProgram})
	c.Assert(err, qt.IsNil)
	for _, node := range []*App{instance, edge, other} {
		awaitVersion(node, version)
	}

	awaitInstance(edge, "reservas")
	c.Assert(post(instance.Addresses().Inbound), qt.Matches, "400 .*HTTP request to an HTTPS server.*\n?")
	answered := make(chan string, 1)
	go func() { answered <- post(edge.Addresses().Outbound) }()
	c.Assert(<-r.arrived, qt.Equals, secretValue)
	stopped := make(chan error, 1)
	go func() { stopped <- stopInstance() }()
	<-instance.ready.leaving
	close(r.hold)
	c.Assert(<-answered, qt.Equals, "200 whole answer")
	c.Assert(<-stopped, qt.IsNil)
	c.Assert(stopEdge(), qt.IsNil)
	c.Assert(stopOther(), qt.IsNil)
}

// TestRestartWithTheClockSetBack restarts a node whose predecessor started at a later
// time by the clock. The fleet has to see an incarnation above that of the predecessor.
func TestRestartWithTheClockSetBack(t *testing.T) {
	c := qt.New(t)
	r := newHarness(c)
	close(r.hold)
	_, err := r.platform.Submit(snapshot.Policy{Name: "reservas.star", Program: policyProgram})
	c.Assert(err, qt.IsNil)
	now := time.Now()
	edge, stopEdge := r.start(r.settings("centro-edge"), now)
	former, stopFormer := r.start(r.sidecarSettings(), now)
	<-edge.Ready()
	<-former.Ready()
	awaitInstance(edge, "reservas")
	c.Assert(stopFormer(), qt.IsNil)

	latter, stopLatter := r.start(r.sidecarSettings(), now.Add(-time.Hour))
	<-latter.Ready()
	awaitInstance(edge, "reservas")
	c.Assert(latter.Status().Incarnation > former.Status().Incarnation, qt.IsTrue)
	c.Assert(post(edge.Addresses().Outbound), qt.Equals, "200 whole answer")
	c.Assert(stopLatter(), qt.IsNil)
	c.Assert(stopEdge(), qt.IsNil)
}

// awaitVersion waits until the node has the version in force.
func awaitVersion(node *App, version snapshot.Version) {
	changes, cancel := node.parts.Applier.Subscribe()
	defer cancel()
	for node.Current().Version() != version {
		<-changes
	}
}

// awaitInstance waits until the node's view has an instance of the service that accepts
// work. It polls, as the view notifies nobody of changes.
func awaitInstance(node *App, service string) {
	const pollInterval = time.Millisecond
	for len(node.parts.Node.View().Endpoints(service)) == 0 {
		time.Sleep(pollInterval)
	}
}

func post(address string) string {
	response, err := http.Post("http://"+address+"/bookings", "text/plain", nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return response.Status[:3] + " " + string(body)
}

// TestNewClosesItsPortsWhenOneIsTaken opens all ports twice, the first time with one of
// them taken: a port that the first attempt left open fails the second. The ports are on
// an address that only this test uses, because a port of 127.0.0.1 that was just free can
// be taken by another process of the machine:
//
//	listen tcp 127.0.0.1:39257: bind: address already in use
func TestNewClosesItsPortsWhenOneIsTaken(t *testing.T) {
	c := qt.New(t)
	r := newHarness(c)
	configured := r.sidecarSettings()
	ports := freePorts(c, 5)
	host := nextAddressBlock()
	for i, listen := range []*string{
		&configured.Peers.Listen, &configured.Outbound.Listen, &configured.Inbound.Listen, &configured.Admin.Listen, &configured.Admin.MetricsListen,
	} {
		*listen = fmt.Sprintf("%s.1:%d", host, ports[i])
	}
	taken, err := net.Listen("tcp", configured.Admin.MetricsListen)
	c.Assert(err, qt.IsNil)
	_, err = New(configured, Options{Logger: logging.Discard()})
	c.Assert(err, qt.ErrorMatches, `admin.metrics_listen: .*address already in use.*`)
	c.Assert(taken.Close(), qt.IsNil)
	second, err := New(configured, Options{Logger: logging.Discard()})
	c.Assert(err, qt.IsNil)
	second.Close()
}

func TestFailureOfOnePartEndsTheNode(t *testing.T) {
	c := qt.New(t)
	node, err := New(newHarness(c).settings("centro-edge"), Options{Logger: logging.Discard()})
	c.Assert(err, qt.IsNil)
	c.Assert(node.listeners.admin.Close(), qt.IsNil)
	var failed *PartError
	c.Assert(node.Run(c.Context()), qt.ErrorAs, &failed)
	c.Assert(failed.Part, qt.Equals, "admin")
}

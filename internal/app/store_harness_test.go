package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// storeHarness holds an emulated store and emulated instances in this process, each with a
// sidecar. The machines have loopback addresses of their own and use the same ports.
type storeHarness struct {
	c                                 *qt.C
	store                             *store.Store
	url                               string
	outbound, inbound, peers, backend int // ports
	machines                          []*machine
}

// machine is one instance with its sidecar.
type machine struct {
	ip       string
	service  string
	zone     string
	instance *instance.Instance
	node     *App
	stop     func() error
}

// addressBlocks counts the blocks of loopback addresses in use.
var addressBlocks atomic.Int64

// configurationOf is the format of a configuration with a route for requests that may be
// repeated, a route for others, and further routes. Its arguments are the version and the
// further routes.
const configurationOf = `{"version":%d,"services":[{"name":"front"},{"name":"data"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":60000,"idleTimeoutMs":60000},
 "virtualHosts":[{"host":"h.example","paths":[
  {"name":"read","pathPrefix":"/read/","kind":"safe","timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"data","maxAttempts":2},
  {"name":"write","pathPrefix":"/write/","kind":"unsafe","timeoutMs":30000,"targetLatencyMs":20000,"priority":1,"service":"data","maxAttempts":2}%s]}]}`

// newStoreHarness adds a machine for each service and starts its instance, but not its
// node. configure may change an emulated instance before it starts.
func newStoreHarness(t *testing.T, services []string, configure func(index int, emulated *instance.Instance)) *storeHarness {
	c := qt.New(t)
	r := &storeHarness{c: c, store: store.New()}
	server := httptest.NewServer(r.store)
	c.Cleanup(server.Close)
	r.url = server.URL
	ports := freePorts(c, 4)
	r.outbound, r.inbound, r.peers, r.backend = ports[0], ports[1], ports[2], ports[3]
	r.store.Put("op/config", fmt.Appendf(nil, configurationOf, 1, ""))
	block := nextAddressBlock()
	for i, service := range services {
		ip := fmt.Sprintf("%s.%d", block, i+1)
		emulated := &instance.Instance{Name: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("%s:%d", ip, r.backend)}
		if configure != nil {
			configure(i, emulated)
		}
		_, err := emulated.Start()
		c.Assert(err, qt.IsNil)
		c.Cleanup(emulated.Close)
		r.machines = append(r.machines, &machine{ip: ip, service: service, zone: "z", instance: emulated})
		r.put(i, "ready")
	}
	return r
}

// nextAddressBlock returns the first three numbers of loopback addresses that no other
// harness uses.
func nextAddressBlock() string {
	return fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+addressBlocks.Add(1)%250)
}

// freePorts returns distinct free ports. It keeps each open until all are found, so that
// none is found twice.
func freePorts(c *qt.C, count int) []int {
	ports := make([]int, count)
	for i := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer listener.Close()
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports
}

// put writes the entry of an instance to the store and returns the revision of the write.
func (r *storeHarness) put(index int, state string) snapshot.Revision {
	m := r.machines[index]
	return snapshot.Revision(r.store.Put("servers/"+m.instance.Name, fmt.Appendf(nil,
		`{"address":"%s:%d","info":{"service":%q,"zone":%q,"slots":4},"status":{"state":%q,"sequence":1}}`, m.ip, r.backend, m.service, m.zone, state)))
}

// putInZone moves a machine whose node has not started yet to a zone.
func (r *storeHarness) putInZone(index int, zone string) {
	r.machines[index].zone = zone
	r.put(index, "ready")
}

// settings returns the settings of a machine's node, which reads the store at the URL.
func (r *storeHarness) settings(index int, url string) settings.Settings {
	m := r.machines[index]
	configured := settings.Defaults()
	configured.Node = settings.Node{Name: m.ip, Region: "r", Zone: m.zone}
	configured.Platform.Kind, configured.Platform.URL = settings.PlatformStore, url
	configured.Platform.Timeout = time.Minute
	configured.Peers.Listen = fmt.Sprintf("%s:%d", m.ip, r.peers)
	configured.Outbound.Listen = fmt.Sprintf("%s:%d", m.ip, r.outbound)
	configured.Inbound.Listen = fmt.Sprintf("%s:%d", m.ip, r.inbound)
	configured.Inbound.Service, configured.Inbound.Backend = m.service, fmt.Sprintf("%s:%d", m.ip, r.backend)
	configured.Inbound.DrainNotice = 0
	configured.Admin.Listen = "127.0.0.1:0"
	configured.Retries.FirstStart = true
	return configured
}

// start runs the node of a machine, which reads the store at the URL.
func (r *storeHarness) start(index int, url string) { r.startWith(index, r.settings(index, url)) }

// startWith runs the node of a machine with the settings.
func (r *storeHarness) startWith(index int, configured settings.Settings) {
	r.startLogging(index, configured, logging.Discard())
}

// startLogging runs the node of a machine with the settings and a logger.
func (r *storeHarness) startLogging(index int, configured settings.Settings, logger logrus.FieldLogger) {
	m := r.machines[index]
	node, err := New(configured, Options{Logger: logger})
	r.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	stopped := false
	m.node = node
	m.stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		return <-ended
	}
	r.c.Cleanup(func() { r.c.Check(m.stop(), qt.IsNil) })
}

// startAll runs all nodes and waits until each is ready.
func (r *storeHarness) startAll() {
	for i := range r.machines {
		r.start(i, r.url)
	}
	r.awaitReady()
}

// awaitReady waits until each node is ready.
func (r *storeHarness) awaitReady() {
	for _, m := range r.machines {
		<-m.node.Ready()
	}
}

// awaitRevision waits until every running node has the revision in force.
func (r *storeHarness) awaitRevision(revision snapshot.Revision) {
	for _, m := range r.machines {
		if m.node == nil {
			continue
		}
		changes, cancel := m.node.parts.Applier.Subscribe()
		for current := m.node.Current(); current == nil || current.Version().Revision < revision; current = m.node.Current() {
			<-changes
		}
		cancel()
	}
}

// until waits until the condition is true.
func until(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// answer is the response that a caller receives.
type answer struct {
	status int
	header http.Header
	body   string
}

// send sends a request to the node of a machine. fields are further names and values of
// header fields, in turn.
func (r *storeHarness) send(index int, method, path, id string, fields ...string) answer {
	r.c.Helper()
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", r.machines[index].ip, r.outbound, path), nil)
	r.c.Assert(err, qt.IsNil)
	request.Host = "h.example"
	request.Close = true
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, "60000")
	for i := 0; i+1 < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	r.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.c.Assert(err, qt.IsNil)
	return answer{response.StatusCode, response.Header, string(body)}
}

// runs returns the runs of the request with the id on all instances.
func (r *storeHarness) runs(id string) (found []instance.Run) {
	for _, m := range r.machines {
		found = append(found, r.runsAt(m, id)...)
	}
	return found
}

// runsAt returns the runs of the request with the id on the instance of a machine.
func (r *storeHarness) runsAt(m *machine, id string) (found []instance.Run) {
	for _, run := range m.instance.Runs() {
		if run.ID == id {
			found = append(found, run)
		}
	}
	return found
}

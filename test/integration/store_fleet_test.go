package integration

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
)

// Ports of the machines of a storeFleet, each of which has an address of its own.
const (
	portOutbound = "22010"
	portInbound  = "22011"
	portPeers    = "22012"
	portBackend  = "22013"
	portReady    = "22014"
)

const (
	// machineMemoryMb is the memory of the smallest machines of the deployments.
	machineMemoryMb = 184
	// machineGrace is how long a process may take to stop.
	machineGrace = 6 * time.Second
)

// storeConfiguration has a route for each service: requests to /SERVICE/ may be repeated, those to /SERVICE-once/ not.
const storeConfiguration = `{"version":1,"services":[{"name":"data","healthPath":"/health","coldStartS":5,"coldPerS":50},{"name":"calm"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
 "virtualHosts":[{"host":"h.example","paths":[
  {"name":"data","pathPrefix":"/data/","kind":"safe","timeoutMs":8000,"targetLatencyMs":4000,"priority":1,"service":"data","maxAttempts":2},
  {"name":"data-once","pathPrefix":"/data-once/","kind":"unsafe","timeoutMs":8000,"targetLatencyMs":4000,"priority":1,"service":"data","maxAttempts":2},
  {"name":"calm","pathPrefix":"/calm/","kind":"safe","timeoutMs":30000,"targetLatencyMs":20000,"priority":0,"service":"calm","maxAttempts":2}]}]}`

// storeFleet holds an emulated store and emulated instances in this process, and a process with a node for each instance.
type storeFleet struct {
	t        testing.TB
	store    *store.Store
	url      string
	machines []*storeMachine
	requests atomic.Int64
}

// storeMachine is an instance with the process of its node.
type storeMachine struct {
	host, service string
	instance      *instance.Instance
	node          *exec.Cmd
	ended         chan struct{}
}

// newStoreFleet starts a store and an instance for each service, but no node. configure may change an instance before
// it starts, and wrap the handler of the store.
func newStoreFleet(t testing.TB, services []string, configure func(index int, emulated *instance.Instance), wrap func(http.Handler) http.Handler) *storeFleet {
	f := &storeFleet{t: t, store: store.New()}
	handler := http.Handler(f.store)
	if wrap != nil {
		handler = wrap(handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f.url = server.URL
	f.store.Put("op/config", []byte(storeConfiguration))
	for index, service := range services {
		m := &storeMachine{host: mesh.NextHost(), service: service}
		m.instance = &instance.Instance{Name: fmt.Sprintf("i-%d", index), Address: net.JoinHostPort(m.host, portBackend)}
		if configure != nil {
			configure(index, m.instance)
		}
		_, err := m.instance.Start()
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(m.instance.Close)
		f.machines = append(f.machines, m)
		f.store.Put("servers/"+m.instance.Name, m.entry())
	}
	return f
}

// entry returns the store's entry of the instance.
func (m *storeMachine) entry() []byte {
	return fmt.Appendf(nil, `{"address":"%s:%s","info":{"service":%q,"zone":"z","slots":16},"status":{"state":"ready","sequence":1}}`,
		m.host, portBackend, m.service)
}

const nodeSettings = `node: {name: %[1]q, region: r, zone: z, memory_mb: %[2]d}
platform: {kind: store, url: %[3]q, timeout: 1500ms}
peers: {listen: "%[1]s:22012", readers_per_zone: 1}
outbound: {listen: "%[1]s:22010"}
inbound: {listen: "%[1]s:22011", service: %[4]q, backend: "%[1]s:22013", drain_grace: %[5]s, repeat_replicas: 0}
retries: {ratio: 0.2, slack: 60, window: 10s, first_start: true}
admin: {listen: "%[1]s:22014"}
`

// start starts the node of a machine.
func (f *storeFleet) start(index int) {
	m := f.machines[index]
	file := filepath.Join(f.t.TempDir(), "settings.yaml")
	text := fmt.Appendf(nil, nodeSettings, m.host, machineMemoryMb, f.url, m.service, machineGrace)
	qt.Assert(f.t, os.WriteFile(file, text, 0o600), qt.IsNil)
	m.node = exec.Command(winchheadBinary, "node", "--settings", file)
	m.node.Stderr = nodeLogs(f.t)
	m.node.Stdout = m.node.Stderr
	qt.Assert(f.t, m.node.Start(), qt.IsNil)
	m.ended = make(chan struct{})
	go func(node *exec.Cmd, ended chan struct{}) {
		_ = node.Wait()
		close(ended)
	}(m.node, m.ended)
	f.t.Cleanup(func() {
		_ = m.node.Process.Kill()
		<-m.ended
	})
}

// startAll starts all nodes and waits until each is ready.
func (f *storeFleet) startAll() {
	for index := range f.machines {
		f.start(index)
	}
	for index := range f.machines {
		f.awaitReady(index)
	}
}

// awaitReady waits until the node of a machine says that it is ready.
func (f *storeFleet) awaitReady(index int) {
	ctx, m := testContext(f.t), f.machines[index]
	for !m.isReady(ctx) {
		qt.Assert(f.t, ctx.Err(), qt.IsNil)
		qt.Assert(f.t, m.isRunning(), qt.IsTrue, qt.Commentf("the node of machine %d has ended", index))
		time.Sleep(10 * time.Millisecond)
	}
}

func (m *storeMachine) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(m.host, portReady)+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isRunning reports whether the process of the node has not ended.
func (m *storeMachine) isRunning() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// terminate sends SIGTERM to the node of a machine.
func (f *storeFleet) terminate(index int) {
	qt.Assert(f.t, f.machines[index].node.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

// fleetAnswer is what a client gets; err is set if the answer is not complete.
type fleetAnswer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request to the node of a machine over the client's connections and reads the answer, of which most
// bytes are read at the most.
func (f *storeFleet) send(client *http.Client, index int, method, path string, body []byte, deadline time.Duration, most int64) fleetAnswer {
	id := fmt.Sprintf("r-%d", f.requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(f.machines[index].host, portOutbound)+path, bytes.NewReader(body))
	qt.Check(f.t, err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return fleetAnswer{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(io.LimitReader(response.Body, most))
	if int64(len(read)) == most {
		err = errors.New("the answer is longer")
	}
	return fleetAnswer{id: id, status: response.StatusCode, header: response.Header, body: read, err: err}
}

// newFleetClient returns a client with connections of its own.
func newFleetClient(t testing.TB) *http.Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

package storesoak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/bench/process"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

// The services of the fleet: callers are beside the instances of the first, the
// others run what they send.
const (
	serviceFront = "front"
	serviceRead  = "records"
	serviceWrite = "bookings"
)

// placement is the machines of the fleet, by zone and service.
var placement = []struct{ zone, service string }{
	{"zone-a", serviceFront}, {"zone-a", serviceRead}, {"zone-a", serviceWrite}, {"zone-a", serviceRead},
	{"zone-b", serviceFront}, {"zone-b", serviceRead}, {"zone-b", serviceWrite}, {"zone-b", serviceWrite},
}

const (
	instanceSlots = 16
	drainGrace    = 6 * time.Second
	// nodeHost and proxyHost are added to a machine's number in its addresses:
	// nodes listen at the former and are reached through the proxies at the latter.
	nodeHost  = 1
	proxyHost = 101
)

// fleet is the machines with what surrounds them.
type fleet struct {
	store    *store.Store
	machines []*machine
	ports    ports
	host     string // first three numbers of all addresses
	catalog  *catalog
	work     func(id string, gone <-chan struct{})
	inner    *innerCalls
}

// ports are alike on all machines.
type ports struct{ outbound, inbound, peers, application, ready int }

// machine is one node process and the instance beside it.
type machine struct {
	number        int
	zone, service string
	// callers is where callers reach the node, ready where it tells its readiness.
	callers, ready string
	process        *process.Process
	data, peers    *faultproxy.Proxy
	gate           *gate
	// life counts the runs of the process.
	life atomic.Int64

	mutex    sync.Mutex
	instance *instance.Instance
	former   []*instance.Instance
}

// gate is the way of one node to the store.
type gate struct {
	handler http.Handler
	fault   atomic.Pointer[store.Fault]
}

// ServeHTTP passes calls on, or does what the fault in force says.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := g.fault.Load()
	if fault == nil {
		g.handler.ServeHTTP(w, r)
		return
	}
	switch *fault {
	case store.Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case store.Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
	case store.Silent:
		<-r.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
}

// close cuts the node from the store in the way of the fault; nil opens the gate.
func (g *gate) close(fault *store.Fault) { g.fault.Store(fault) }

// startedFleets tells the fleets of this process apart.
var startedFleets atomic.Uint32

// startFleet starts everything and returns once all nodes are ready.
func startFleet(ctx context.Context, binary string, logs io.Writer, work func(id string, gone <-chan struct{})) (*fleet, error) {
	const octets, usable = 250, 250
	f := &fleet{
		store: store.New(), catalog: newCatalog(), work: work, inner: newInnerCalls(),
		host: fmt.Sprintf("127.%d.%d", 1+os.Getpid()%octets, 1+startedFleets.Add(1)%usable),
	}
	for _, port := range []*int{&f.ports.outbound, &f.ports.inbound, &f.ports.peers, &f.ports.application, &f.ports.ready} {
		address, err := faultproxy.FreeAddress("127.0.0.1")
		if err != nil {
			return nil, err
		}
		if *port, err = portOf(address); err != nil {
			return nil, err
		}
	}
	f.store.PutJSON(store.KeyConfiguration, f.catalog.document())
	for number, place := range placement {
		m, err := f.newMachine(number, place.zone, place.service, binary, logs)
		if err != nil {
			f.close()
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			f.close()
			return nil, err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(ctx); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func portOf(address string) (int, error) {
	parsed, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return 0, eris.Wrap(err, "port")
	}
	return parsed.Port, nil
}

func (f *fleet) newMachine(number int, zone, service, binary string, logs io.Writer) (*machine, error) {
	own, reached := fmt.Sprintf("%s.%d", f.host, nodeHost+number), fmt.Sprintf("%s.%d", f.host, proxyHost+number)
	m := &machine{
		number: number, zone: zone, service: service, gate: &gate{handler: f.store},
		callers: fmt.Sprintf("%s:%d", own, f.ports.outbound), ready: fmt.Sprintf("%s:%d", own, f.ports.ready),
	}
	inbound, peers := fmt.Sprintf("%s:%d", own, f.ports.inbound), fmt.Sprintf("%s:%d", own, f.ports.peers)
	reachedPeers := fmt.Sprintf("%s:%d", reached, f.ports.peers)
	application := fmt.Sprintf("%s:%d", reached, f.ports.application)
	var err error
	if m.data, err = faultproxy.New(fmt.Sprint("data-", number), fmt.Sprintf("%s:%d", reached, f.ports.inbound), inbound); err != nil {
		return nil, err
	}
	if m.peers, err = faultproxy.New(fmt.Sprint("peers-", number), reachedPeers, peers); err != nil {
		return nil, err
	}
	way := httptest.NewServer(m.gate)
	m.process = process.New(binary, []string{
		"node", "--node.name=" + reached, "--node.region=region", "--node.zone=" + zone,
		"--platform.kind=store", "--platform.url=" + way.URL, "--platform.timeout=1500ms",
		"--peers.listen=" + peers, "--peers.advertise=" + reachedPeers, "--peers.readers_per_zone=1",
		"--outbound.listen=" + m.callers, "--inbound.listen=" + inbound, "--inbound.service=" + service,
		"--inbound.backend=" + application, "--inbound.drain_grace=" + drainGrace.String(), "--inbound.repeat_replicas=0",
		"--admin.listen=" + m.ready, "--log.format=json",
	}, logs)
	return m, f.newInstance(m, application)
}

// newInstance starts an instance at the machine's address, which must be free, and
// lists it.
func (f *fleet) newInstance(m *machine, application string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	created := &instance.Instance{
		Name: fmt.Sprintf("i-%d-%d", m.number, len(m.former)), Address: application, Work: f.work,
	}
	f.inner.attach(created, m, f.work)
	if _, err := created.Start(); err != nil {
		return eris.Wrap(err, "start an instance")
	}
	if m.instance != nil {
		m.former = append(m.former, m.instance)
		created.Name = fmt.Sprintf("i-%d-%d", m.number, len(m.former))
	}
	m.instance = created
	f.list(m, store.StateReady)
	return nil
}

// list writes the entry of a machine's instance. The mutex of the machine is held.
func (f *fleet) list(m *machine, state string) {
	f.store.PutJSON(store.KeyInstances+m.instance.Name, store.Entry{
		Address: m.instance.Address,
		Info:    store.EntryInfo{Service: m.service, Zone: m.zone, Slots: instanceSlots},
		Status:  store.EntryStatus{State: state, Sequence: 1},
	})
}

func (m *machine) current() *instance.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.instance
}

// instances returns all that ever ran on the machine.
func (m *machine) instances() []*instance.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]*instance.Instance{m.instance}, m.former...)
}

// start runs the node once more.
func (m *machine) start() error {
	m.life.Add(1)
	return m.process.Start()
}

// awaitReady returns once a node is ready.
func (m *machine) awaitReady(ctx context.Context) error {
	const interval = 50 * time.Millisecond
	for !isReady(ctx, m.ready) {
		if err := wait.For(ctx, interval); err != nil {
			return eris.Wrapf(err, "machine %d does not become ready", m.number)
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
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

// close ends all processes, proxies and instances.
func (f *fleet) close() {
	for _, m := range f.machines {
		_ = m.process.Resume()
		_ = m.process.Kill()
	}
	for _, m := range f.machines {
		m.data.Close()
		m.peers.Close()
		m.current().Close()
	}
}

package storesoak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/bench/process"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	instanceSlots = 16
	drainGrace    = 6 * time.Second
)

// fleet holds the machines with the emulated store, the configuration and the recorded logs.
type fleet struct {
	store       *store.Store
	machines    []*machine
	ports       ports
	hosts       hosts
	catalog     *catalog
	logs        *nodeLogs
	work        func(id string, gone <-chan struct{})
	nested      *nestedCalls
	withdrawals withdrawals
	backups     backups
	statements  statements
	heavy       *heavyLoad
}

// ports are the same on all machines. The last two belong to the StallingProxies in front
// of the inbound and peer listeners.
type ports struct{ outbound, inbound, peers, application, ready, inboundStallingProxy, peersStallingProxy int }

// newPorts picks all ports at once. A port that the system picked separately could already
// be another one's on the same machine, whose node could then not start.
func newPorts() (chosen ports, err error) {
	wanted := []*int{
		&chosen.outbound, &chosen.inbound, &chosen.peers, &chosen.application, &chosen.ready,
		&chosen.inboundStallingProxy, &chosen.peersStallingProxy,
	}
	free, err := faultproxy.FreePorts("127.0.0.1", len(wanted))
	if err != nil {
		return ports{}, err
	}
	for i, port := range wanted {
		*port = free[i]
	}
	return chosen, nil
}

// machine is one node process, the sidecar, with its instance.
type machine struct {
	number        int
	zone, service string
	// callers is the address for callers, ready that of the readiness endpoint.
	callers, ready string
	process        *process.Process
	// lastLine returns the last line that the node logged.
	lastLine    func() string
	data, peers *linkProxy
	storeProxy  *storeProxy
	// incarnation counts the starts of the process.
	incarnation atomic.Int64

	// replacing is held while the instance is being replaced.
	replacing sync.Mutex

	mutex    sync.Mutex
	instance *instance.Instance
	replaced []*instance.Instance
	// startedAt is the last start of the instance.
	startedAt time.Time
}

// startFleet starts the store and all machines and returns once all nodes are ready.
func startFleet(ctx context.Context, options Options) (*fleet, error) {
	places, err := placements(options.Machines, options.Zones)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		store: store.New(), catalog: newCatalog(), logs: newNodeLogs(options.Logs), work: work, nested: newNestedCalls(), hosts: newHosts(),
		heavy: newHeavyLoad(options),
	}
	f.catalog.heavy = f.heavy
	if options.requestTimeout > 0 {
		f.catalog.timeoutMillis = int(options.requestTimeout.Milliseconds())
	}
	if options.work != nil {
		f.work = options.work
	}
	if f.ports, err = newPorts(); err != nil {
		return nil, err
	}
	if options.Kinds == 0 || options.Kinds > kindsBeforeRestores {
		f.store.SetEra(1)
	}
	if options.Tenants > 0 {
		f.catalog.tenants = newTenants(options.Tenants)
	}
	const initialShare = 3 // one in three routes exists from the start
	f.catalog.declaresColdStart = options.Kinds == 0 || options.Kinds > kindsBeforeColdStart
	if options.ColdRate > 0 {
		f.catalog.healthPath = instance.HealthPath
	}
	f.catalog.writeFirst(options.Routes/initialShare, f.writeConfiguration)
	if err := f.startMachines(ctx, options, places); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// startMachines starts a machine for each place and waits until all nodes are ready.
func (f *fleet) startMachines(ctx context.Context, options Options, places []place) error {
	links := newLinkRates(options)
	for number, place := range places {
		m, err := f.newMachine(number, place, options.Binary, links.draw())
		if err != nil {
			return err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) writeConfiguration(entry []byte) snapshot.Revision {
	era := f.store.Era()
	return snapshot.NewRevision(era, f.store.Put(store.KeyConfiguration, entry))
}

// newMachine creates a machine with its instance; rate limits its links in bytes per second,
// zero: no limit.
func (f *fleet) newMachine(number int, at place, binary string, rate int64) (*machine, error) {
	listen, proxied := f.hosts.of(number)
	m := &machine{
		number: number, zone: at.zone, service: at.service, storeProxy: newStoreProxy(f.store, rate),
		callers: fmt.Sprintf("%s:%d", listen, f.ports.outbound), ready: fmt.Sprintf("%s:%d", listen, f.ports.ready),
	}
	inbound, peers := fmt.Sprintf("%s:%d", listen, f.ports.inbound), fmt.Sprintf("%s:%d", listen, f.ports.peers)
	inboundStallingProxy, peersStallingProxy := fmt.Sprintf("%s:%d", listen, f.ports.inboundStallingProxy), fmt.Sprintf("%s:%d", listen, f.ports.peersStallingProxy)
	proxiedPeers := fmt.Sprintf("%s:%d", proxied, f.ports.peers)
	application := fmt.Sprintf("%s:%d", proxied, f.ports.application)
	var err error
	if m.data, err = newLinkProxy(fmt.Sprint("data-", number), fmt.Sprintf("%s:%d", proxied, f.ports.inbound), inboundStallingProxy, inbound, rate); err != nil {
		return nil, err
	}
	if m.peers, err = newLinkProxy(fmt.Sprint("peers-", number), proxiedPeers, peersStallingProxy, peers, rate); err != nil {
		return nil, err
	}
	m.process = process.New(binary, append([]string{
		"node", "--node.name=" + proxied, "--node.region=region", "--node.zone=" + at.zone,
		"--platform.kind=store", "--platform.url=" + m.storeProxy.url(), "--platform.timeout=1500ms",
		"--peers.listen=" + peers, "--peers.advertise=" + proxiedPeers, "--peers.readers_per_zone=1",
		"--outbound.listen=" + m.callers, "--inbound.listen=" + inbound, "--inbound.service=" + at.service,
		"--inbound.backend=" + application, "--inbound.drain_grace=" + drainGrace.String(), "--inbound.repeat_replicas=0",
		"--admin.listen=" + m.ready, "--log.format=json",
	}, append(f.heavy.nodeFlags(number), f.catalog.coldNodeFlags()...)...), f.logs.of(number))
	m.lastLine = func() string { return f.logs.lastOf(number) }
	return m, f.newInstance(m, application, 0)
}

// newInstance starts an instance at an address of the machine, which must be free, and
// registers it in the store. The instance is cold for coldFor.
func (f *fleet) newInstance(m *machine, application string, coldFor time.Duration) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	created := &instance.Instance{
		Name: fmt.Sprintf("i-%d-%d", m.number, len(m.replaced)), Address: application,
	}
	created.Work = f.heavy.attach(created, m, f.work)
	f.nested.attach(created, m, created.Work)
	f.enableCrashes(created, m)
	if _, err := created.Start(); err != nil {
		return eris.Wrap(err, "start an instance")
	}
	if m.instance != nil {
		m.replaced = append(m.replaced, m.instance)
		created.Name = fmt.Sprintf("i-%d-%d", m.number, len(m.replaced))
	}
	m.instance = created
	m.startedAt = time.Now()
	if coldFor > 0 {
		created.SetMaxPerSecond(coldOverloadPerSecond)
		time.AfterFunc(coldFor, func() { created.SetMaxPerSecond(0) })
	}
	f.register(m, store.StateReady, coldFor)
	return nil
}

// drain announces that a machine's instance is draining.
func (f *fleet) drain(m *machine) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	f.register(m, store.StateDraining, 0)
	f.withdrawals.add("announced that it drains", m.instance.Name, m.zone)
}

// register writes the store entry of a machine's instance, which stays cold for coldFor.
// Callers hold the machine's mutex.
func (f *fleet) register(m *machine, state string, coldFor time.Duration) {
	f.store.PutJSON(store.KeyInstances+m.instance.Name, store.Entry{
		StartedMillis: m.startedAt.UnixMilli(),
		Address:       m.instance.Address,
		Info:          store.EntryInfo{Service: m.service, Zone: m.zone, Slots: f.heavy.slots(m.service)},
		Status:        store.EntryStatus{State: state, Sequence: 1, ColdRemainingMs: coldFor.Milliseconds()},
	})
}

func (m *machine) current() *instance.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.instance
}

// instances returns the current instance and those that it replaced.
func (m *machine) instances() []*instance.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]*instance.Instance{m.instance}, m.replaced...)
}

// start starts a new process of the node.
func (m *machine) start() error {
	m.incarnation.Add(1)
	return m.process.Start()
}

// awaitReady waits until the node is ready.
func (m *machine) awaitReady(ctx context.Context) error {
	const interval = 50 * time.Millisecond
	for !isReady(ctx, m.ready) {
		if err := wait.For(ctx, interval); err != nil {
			return eris.Wrapf(err, "machine %d did not become ready; its last log line: %s", m.number, m.lastLine())
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

// close kills all node processes and closes all proxies and instances.
func (f *fleet) close() {
	for _, m := range f.machines {
		_ = m.process.Resume()
		_ = m.process.Kill()
	}
	for _, m := range f.machines {
		m.data.close()
		m.peers.close()
		m.storeProxy.server.Close()
		m.current().Close()
	}
}

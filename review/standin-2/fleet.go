package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
)

// Bounds of the small deployments, as the users' pages set them.
const (
	contactTime = 3 * time.Second // contactMs
	drainTime   = 2 * time.Second // drainMs
)

const (
	callerService = "svc"
	host          = "mesh.example"
	slots         = 12
)

// network is the third number of the loopback addresses of this run, so that two runs do not meet.
var network = 1 + os.Getpid()%250

var errNotReady = errors.New("the nodes did not become ready")

// fleet is a small deployment: a store, and machines that hold a node process and an instance each.
type fleet struct {
	directory string
	template  string
	record    *record
	store     *store.Store
	machines  []*machine
	ports     map[string]int
}

// machine is one sidecar machine.
type machine struct {
	fleet    *fleet
	number   int
	ip, zone string
	instance *instance.Instance
	address  string // of the instance
	client   *http.Client

	mutex      sync.Mutex
	command    *exec.Cmd
	ended      chan struct{}
	starts     int
	lastRead   time.Time // the last call of kv-watch or kv-range of all entries
	storePoint *http.Server
	storeAt    string
	sequence   int
	left       bool // the instance has left: its entry is not written again
}

// newFleet prepares machines in three zones. Ports are free ones of the loopback network.
func newFleet(directory string, count int, log *record) (*fleet, error) {
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat("target/winchhead"); err != nil {
		return nil, err
	}
	f := &fleet{directory: directory, template: string(template), record: log, store: store.New(), ports: make(map[string]int)}
	for _, name := range []string{"outbound", "inbound", "ready", "application", "peers"} {
		if f.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	for i := range count {
		if err := f.addMachine(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freePort returns a port that is free on the loopback addresses of the machines.
func freePort() (int, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:0", network))
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (f *fleet) addMachine(number int) error {
	m := &machine{fleet: f, number: number, ip: fmt.Sprintf("127.0.%d.%d", network, 10+number), zone: fmt.Sprintf("zone-%c", 'a'+number%3)}
	m.address = fmt.Sprintf("%s:%d", m.ip, f.ports["application"])
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.200:0", network))
	if err != nil {
		return err
	}
	m.storeAt = listener.Addr().String()
	m.storePoint = &http.Server{Handler: http.HandlerFunc(m.serveStore)}
	go func() { _ = m.storePoint.Serve(listener) }()
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(m.ip)}}
	m.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second, DisableCompression: true}}
	f.machines = append(f.machines, m)
	return nil
}

// serveStore serves the store to one machine and notes which machines read it.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/kv-watch" {
		m.mutex.Lock()
		m.lastRead = time.Now()
		m.mutex.Unlock()
	}
	m.fleet.store.ServeHTTP(w, r)
}

// readSince reports whether the machine has watched the store since a time.
func (m *machine) readSince(since time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lastRead.After(since)
}

// startInstance starts the instance of the machine and writes its entry.
func (m *machine) startInstance(emulated *instance.Instance) error {
	emulated.Name, emulated.Address = fmt.Sprintf("i-%04x", 0x1a00+m.number), m.address
	m.instance = emulated
	if _, err := emulated.Start(); err != nil {
		return err
	}
	m.writeEntry(store.StateReady)
	return nil
}

// writeEntry writes the entry of the instance, as each heartbeat does.
func (m *machine) writeEntry(state string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.left {
		return
	}
	m.sequence++
	sequence := m.sequence
	m.fleet.store.PutJSON(store.KeyInstances+m.instance.Name, map[string]any{
		"address": m.address,
		"info":    map[string]any{"service": callerService, "version": "v1", "zone": m.zone, "slots": slots},
		"status":  map[string]any{"state": state, "sequence": sequence, "coldRemainingMs": 0},
	})
}

// removeEntry removes the entry of an instance that leaves, and returns when the store had done so.
func (m *machine) removeEntry() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.left = true
	m.fleet.store.Delete(store.KeyInstances + m.instance.Name)
	return time.Now()
}

// settings returns the fields of the machine's settings.
func (m *machine) settings(first bool) map[string]any {
	ports := m.fleet.ports
	return map[string]any{
		"ip": m.ip, "zone": m.zone, "region": "r", "heartbeatIntervalMs": 1500, "service": callerService,
		"applicationAddress": m.address, "bootstrap": first,
		"zones":             map[string]any{"zone-a": "r", "zone-b": "r", "zone-c": "r"},
		"internalPortRange": []any{ports["peers"], ports["peers"]},
		"listen": map[string]any{
			"inbound":  fmt.Sprintf("%s:%d", m.ip, ports["inbound"]),
			"outbound": fmt.Sprintf("%s:%d", m.ip, ports["outbound"]),
			"ready":    fmt.Sprintf("%s:%d", m.ip, ports["ready"]),
		},
		"limits":   map[string]any{"memoryMb": 284, "linkMbps": 1000.0},
		"bounds":   map[string]any{"gracePeriodS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 62, "budgetWindowS": 10},
		"platform": map[string]any{"address": m.storeAt},
	}
}

// start starts the node process with the command of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.fleet.directory, fmt.Sprintf("settings-%d.yaml", m.number))
	if err := os.WriteFile(path, []byte(render(m.fleet.template, m.settings(m.starts == 0))), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.fleet.directory, fmt.Sprintf("node-%d.log", m.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/winchhead", "node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GOGC=50", "WINCHHEAD_SETTINGS=" + path}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.starts++
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		defer close(ended)
		_ = command.Wait()
		_ = logFile.Close()
	}()
	return nil
}

// signal sends a signal to the node process.
func (m *machine) signal(signal syscall.Signal) { _ = m.command.Process.Signal(signal) }

func (m *machine) running() bool {
	if m.ended == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// outbound returns the URL at which clients of the machine send requests.
func (m *machine) outbound(path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.ip, m.fleet.ports["outbound"], path)
}

func (m *machine) isReady() bool {
	response, err := m.client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, m.fleet.ports["ready"]))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range f.machines {
			all = all && m.isReady()
		}
		if all {
			return nil
		}
	}
	return errNotReady
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.running() {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
		if m.instance != nil {
			m.instance.Close()
		}
		_ = m.storePoint.Close()
		m.client.CloseIdleConnections()
	}
}

// heartbeats renews the entries of the machines for which listed returns true, until the context ends.
func (f *fleet) heartbeats(ctx context.Context, listed func(m *machine) bool) {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range f.machines {
			if listed(m) {
				m.writeEntry(store.StateReady)
			}
		}
	}
}

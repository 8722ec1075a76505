package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

// Figures of the small deployment tsp-amb, from SYSTEM.md and DEPLOY.md.
const (
	memoryMb         = 284
	linkMbps         = 1000.0
	configApply      = 2 * time.Second
	contact          = 3 * time.Second
	maxBodyBytes     = 67108864
	heartbeatMillis  = 1500
	metricsPort      = 9464
	readinessTimeout = 30 * time.Second
	restartDelay     = 500 * time.Millisecond
)

// machine is one machine: an instance and the node beside it.
type machine struct {
	name, ip, zone, service string
	ports                   ports
	instance                *instance
	node                    *node
}

// ports are alike on all machines.
type ports struct{ first, app, inbound, ready, outbound int }

func (m *machine) at(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// fleet is a small deployment: the platform's store, machines with their instances and nodes.
type fleet struct {
	record   *record
	store    *store.Store
	storeURL string
	folder   string // temporary
	ports    ports
	machines []*machine
	zones    map[string]any
	command  []string
	env      []string
	template string
	server   *http.Server

	mutex  sync.Mutex
	closed bool // no node is started any more
}

var (
	runPattern      = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	templatePattern = regexp.MustCompile(`(?m)^template = "([^"]+)"`)
	envPattern      = regexp.MustCompile(`(?m)^env = \{ (.*) \}`)
)

// newFleet reads the deploy file and starts the store.
func newFleet(record *record, zones ...string) (*fleet, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	created := &fleet{record: record, store: store.New(), zones: make(map[string]any)}
	for _, zone := range zones {
		created.zones[zone] = "mvd"
	}
	created.command = strings.Fields(string(runPattern.FindSubmatch(deploy)[1]))
	template, err := os.ReadFile(string(templatePattern.FindSubmatch(deploy)[1]))
	if err != nil {
		return nil, err
	}
	created.template = string(template)
	for _, variable := range strings.Split(string(envPattern.FindSubmatch(deploy)[1]), ", ") {
		name, value, _ := strings.Cut(variable, " = ")
		created.env = append(created.env, name+"="+strings.Trim(value, `"`))
	}
	if created.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created.storeURL = listener.Addr().String()
	created.server = &http.Server{Handler: created.store}
	go func() { _ = created.server.Serve(listener) }()
	created.ports, err = freePorts()
	return created, err
}

// freePorts returns ports that are free on all loopback addresses now: a range of the system's own
// ports and four single ones.
func freePorts() (ports, error) {
	for first := 21000 + os.Getpid()%400*24; first < 60000; first += 24 {
		if allFree(first, 24) {
			return ports{first: first, app: first + 16, inbound: first + 17, ready: first + 18, outbound: first + 19}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", ":"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// addMachine starts an instance and writes its entry. Its node is started by startNodes.
func (f *fleet) addMachine(zone, service string, work time.Duration) (*machine, error) {
	number := len(f.machines) + 1
	added := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%250, number),
		zone: zone, service: service, ports: f.ports,
	}
	var err error
	added.instance, err = startInstance(fmt.Sprintf("i-%04x", 0x7f00+number), service, added.at(f.ports.app), work, f.record)
	if err != nil {
		return nil, err
	}
	f.store.PutJSON(store.KeyInstances+added.instance.id, store.Entry{
		Address: added.instance.address,
		Info:    store.EntryInfo{Service: service, Zone: zone, Slots: slotsOfInstance},
		Status:  store.EntryStatus{State: store.StateReady, Sequence: 1},
	})
	f.machines = append(f.machines, added)
	return added, nil
}

// settingsOf returns the fields that the platform fills the template from.
func (f *fleet) settingsOf(m *machine, bootstrap bool) map[string]any {
	return map[string]any{
		"node": m.name, "role": "node", "machineClass": "sidecar", "serves": []any{"sidecar"}, "ip": m.ip, "zone": m.zone, "region": "mvd",
		"internalPortRange": []any{m.ports.first, m.ports.first + 15}, "seeds": []any{}, "bootstrap": bootstrap,
		"countTowardTolerance": false, "discovery": "platform", "entry": "local", "heartbeatIntervalMs": heartbeatMillis,
		"applicationAddress": m.at(m.ports.app), "service": m.service, "zones": f.zones,
		"listen": map[string]any{"inbound": m.at(m.ports.inbound), "outbound": m.at(m.ports.outbound), "ready": m.at(m.ports.ready)},
		"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": memoryMb, "fileDescriptors": 4100, "linkMbps": linkMbps, "diskMb": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "gracePeriodS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "retryBudgetSlack": 62, "recoveryS": 15,
		},
		"platform": map[string]any{"address": f.storeURL, "form": "read", "reads_per_s": 2000, "historyS": 20},
	}
}

var errClosed = errors.New("the case has ended")

// startNode writes the settings file of a machine and starts its node.
func (f *fleet) startNode(m *machine, bootstrap bool) error {
	text, err := fill(f.template, scope{f.settingsOf(m, bootstrap)})
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, m.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return errClosed
	}
	environment := append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", "WINCHHEAD_SETTINGS=" + path}, f.env...)
	m.node, err = startNode(f.command, environment, filepath.Join(f.folder, m.name+".log"))
	if err != nil {
		return err
	}
	f.record.printf("platform starts the node of %s", m.name)
	return nil
}

// startNodes starts all nodes and waits until each is ready.
func (f *fleet) startNodes() error {
	for _, m := range f.machines {
		if err := f.startNode(m, true); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(readinessTimeout); err != nil {
			return err
		}
	}
	return nil
}

// isReady asks a node whether it is ready, as the platform does.
func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.at(m.ports.ready)+"/readyz", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return fmt.Errorf("the node of %s is not ready", m.name)
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	for _, m := range f.machines {
		if m.node != nil {
			m.node.kill()
		}
	}
	for _, m := range f.machines {
		m.instance.close()
	}
	_ = f.server.Close()
	_ = os.RemoveAll(f.folder)
}

// runsOf returns the runs of a request on all instances.
func (f *fleet) runsOf(id string) (found []run) {
	for _, m := range f.machines {
		found = append(found, m.instance.runsOf(id)...)
	}
	return found
}

// node is the process of a node.
type node struct {
	command *exec.Cmd
	done    chan struct{}
}

func startNode(command, environment []string, log string) (*node, error) {
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	started := &node{command: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	started.command.Env, started.command.Stdout, started.command.Stderr = environment, output, output
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = started.command.Wait()
		close(started.done)
	}()
	return started, nil
}

func (n *node) signal(sent syscall.Signal) { _ = n.command.Process.Signal(sent) }

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

func (n *node) isRunning() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// residentMb returns the memory of the process in MiB; zero: it has ended.
func (n *node) residentMb() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, found := bytes.Cut(status, []byte("VmRSS:"))
	if !found {
		return 0
	}
	kilobytes, _ := strconv.Atoi(string(bytes.Fields(after)[0]))
	return kilobytes >> 10
}

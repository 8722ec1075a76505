package outbound_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/inbound"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// SetState makes the harness a publisher. It does nothing, as the tests set the view
// themselves.
func (r *harness) SetState(membership.State) {}

// addBackend adds an instance with a real inbound proxy and an emulated backend.
func (r *harness) addBackend(name string, behavior backend.Behavior) *backend.Backend {
	emulated := backend.New(backend.Options{Name: name})
	r.Assert(emulated.Start("127.0.0.1:0"), qt.IsNil)
	emulated.Configure(behavior)
	r.t.Cleanup(emulated.Kill)
	r.addInboundProxy(name, emulated.Address())
	return emulated
}

// addInboundProxy adds an instance with a real inbound proxy for the backend at an address.
func (r *harness) addInboundProxy(name, address string) {
	proxy, err := inbound.New(inbound.Options{
		Snapshots: r, Publisher: r, Self: membership.Record{Node: membership.NodeID(name), Incarnation: 7},
		Settings: settings.Inbound{
			Service: testService, Backend: address, Slots: 4, Connections: 20, MaxQueued: 8,
			DrainGrace: time.Minute, IdempotencyKeyRetention: time.Minute, HealthInterval: time.Minute,
		},
		Logger: logging.Discard(), Registerer: prometheus.NewRegistry(),
	})
	r.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Assert(err, qt.IsNil)
	server, served := proxy.Server(), make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	r.t.Cleanup(func() {
		_ = server.Close()
		proxy.Close()
		<-served
	})
	r.addMember(name, listener.Addr().String(), membership.StateReady)
}

// Through both proxies, with backends that break connections and responses: a booking
// runs at most once, one with the outcome "not-run" never ran, and each one that got a
// response ran and got its own response.
func TestBookingsThroughBothProxies(t *testing.T) {
	r := newHarness(t)
	r.configure(func(route *snapshot.Route) { route.Timeout = 5 * time.Second })
	backends := []*backend.Backend{
		r.addBackend("healthy", backend.Behavior{}),
		r.addBackend("early", backend.Behavior{Fault: backend.FaultResetBeforeRead, FaultCount: 40}),
		r.addBackend("late", backend.Behavior{Fault: backend.FaultResetAfterRead, FaultCount: 40}),
		r.addBackend("truncating", backend.Behavior{Fault: backend.FaultCloseMidAnswer, FaultCount: 40}),
		r.addBackend("shedding", backend.Behavior{Shed: true}),
	}
	r.addMember("absent", closedAddress(r), membership.StateReady)

	const callers, bookings = 12, 30
	var group sync.WaitGroup
	var mu sync.Mutex
	ended := make(map[string]string) // booking to outcome
	for caller := range callers {
		group.Go(func() {
			for booking := range bookings {
				number := fmt.Sprintf("%d-%d", caller, booking)
				got := r.book(number)
				mu.Lock()
				ended[number] = got
				mu.Unlock()
			}
		})
	}
	group.Wait()
	counts := make(map[string]int)
	for number, got := range ended {
		counts[got]++
		started := 0
		for _, emulated := range backends {
			started += emulated.Journal().Request(number).Started
		}
		switch got {
		case "not-run":
			r.Check(started, qt.Equals, 0, qt.Commentf("booking %s was refused as not run", number))
		case "answered":
			r.Check(started, qt.Equals, 1, qt.Commentf("booking %s was answered", number))
		default:
			r.Check(started <= 1, qt.IsTrue, qt.Commentf("booking %s ran %d times", number, started))
		}
	}
	t.Logf("%v", counts)
	r.Check(counts["answered"] > 0, qt.IsTrue)
	r.Check(counts["unknown"]+counts["cut"] > 0, qt.IsTrue)
}

// book sends one booking and returns how it ended.
func (r *harness) book(number string) string {
	request := r.request("POST", backend.PathEcho, strings.NewReader("booking "+number))
	request.Header.Set(backend.HeaderRequest, number)
	request.Header.Set(backend.HeaderWork, "1")
	response, err := r.client.Do(request)
	if err != nil {
		return "cut"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut"
	}
	if told := response.Header.Get(outcome.HeaderOutcome); told != "" {
		return told
	}
	if response.StatusCode != http.StatusOK || string(body) != "booking "+number {
		r.t.Errorf("booking %s: status %d, body %q", number, response.StatusCode, body)
	}
	return "answered"
}

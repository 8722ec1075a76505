package backend_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/report"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start returns a listening backend and a client that does not reuse connections.
func start(c *qt.C, options backend.Options) (*backend.Backend, *http.Client) {
	b := backend.New(options)
	c.Assert(b.Start("127.0.0.1:0"), qt.IsNil)
	transport := &http.Transport{DisableKeepAlives: true}
	c.Cleanup(func() {
		transport.CloseIdleConnections()
		b.Kill()
	})
	return b, &http.Client{Transport: transport}
}

func newRequest(c *qt.C, b *backend.Backend, path, body string, header ...string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+b.Address()+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func TestJournalCountsPerFault(t *testing.T) {
	finished := backend.Runs{Started: 1, Finished: 1}
	for _, test := range []struct {
		name     string
		header   []string
		status   int // zero: the answer is missing or incomplete
		expected backend.Runs
	}{
		{"complete answer", nil, 200, finished},
		{"requested status", []string{backend.HeaderStatus, "418"}, 418, finished},
		{"reset before read", []string{backend.HeaderFault, string(backend.FaultResetBeforeRead)}, 0, backend.Runs{}},
		{"reset after read", []string{backend.HeaderFault, string(backend.FaultResetAfterRead)}, 0, finished},
		{"reset in the answer", []string{backend.HeaderFault, string(backend.FaultResetMidAnswer)}, 0, finished},
		{"close in the answer", []string{backend.HeaderFault, string(backend.FaultCloseMidAnswer)}, 0, finished},
		{"wrong length", []string{backend.HeaderFault, string(backend.FaultWrongLength)}, 0, finished},
		{"expired on arrival", []string{outcome.HeaderTimeout, "0"}, 504, backend.Runs{}},
		{"expired during the work", []string{outcome.HeaderTimeout, "1", backend.HeaderWork, "60000"}, 504,
			backend.Runs{Started: 1, Expired: 1}},
		{"stalled until the caller disconnects", []string{outcome.HeaderTimeout, "1",
			backend.HeaderFault, string(backend.FaultStall)}, 0, backend.Runs{Started: 1, Cancelled: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, client := start(c, backend.Options{Name: "b1"})
			header := append([]string{backend.HeaderRequest, "17", outcome.HeaderIdempotencyKey, "k"}, test.header...)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.expected.Cancelled > 0 {
				go func() {
					eventually(c, func() bool { return b.Journal().Request("17").Started > 0 })
					cancel()
				}()
			}
			response, err := client.Do(newRequest(c, b, backend.PathEcho, "a booking", header...).WithContext(ctx))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			c.Check(err != nil, qt.Equals, test.status == 0)
			if test.status != 0 {
				c.Check(response.StatusCode, qt.Equals, test.status)
			}
			if err == nil && test.expected == finished {
				c.Check(string(body), qt.Equals, "a booking")
				c.Check(response.Header.Get(backend.HeaderChecksum), qt.Equals, backend.Checksum(body))
			}
			eventually(c, func() bool { return b.Journal().Request("17").Cancelled == test.expected.Cancelled })
			c.Check(b.Journal().Request("17"), qt.Equals, test.expected)
			c.Check(b.Journal().Key("k"), qt.Equals, test.expected)
		})
	}
}

func TestShedRequestDoesNotRun(t *testing.T) {
	c := qt.New(t)
	b, client := start(c, backend.Options{Behavior: backend.Behavior{Shed: true}})
	response, err := client.Do(newRequest(c, b, backend.PathEcho, ""))
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get(report.HeaderShed), qt.Equals, report.HeaderValue)
	c.Check(b.Journal().Total(), qt.Equals, backend.Runs{})
	c.Check(b.Statistics().Shed, qt.Equals, int64(1))
}

// openStream requests a body that does not end and waits for the header.
func openStream(c *qt.C, ctx context.Context, b *backend.Backend, client *http.Client, path string) *http.Response {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address()+path, nil)
	c.Assert(err, qt.IsNil)
	response, err := client.Do(r)
	c.Assert(err, qt.IsNil)
	return response
}

func TestLimitViolationsAreCounted(t *testing.T) {
	c := qt.New(t)
	b, client := start(c, backend.Options{Slots: 1, Connections: 2})
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	path := backend.PathDownload + "?bytes=2000000&chunk=1000000&interval-ms=600000"
	first, second := make(chan struct{}), make(chan struct{})
	for _, done := range []chan struct{}{first, second} {
		go func() {
			defer close(done)
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address()+path, nil)
			if response, err := client.Do(r); err == nil {
				response.Body.Close()
			}
		}()
	}
	// InFlightMax rises before SlotViolations, so wait for both.
	eventually(c, func() bool { return b.Statistics().InFlightMax == 2 && b.Statistics().SlotViolations == 1 })
	third, err := net.Dial("tcp", b.Address())
	c.Assert(err, qt.IsNil)
	defer third.Close()
	_, err = third.Read(make([]byte, 1))
	c.Check(err, qt.Not(qt.IsNil))
	c.Check(b.Statistics().ConnectionViolations, qt.Equals, int64(1))
	c.Check(b.Statistics().ConnectionsMax, qt.Equals, int64(2))
	cancel()
	<-first
	<-second
	eventually(c, func() bool { return b.Journal().Total().Cancelled == 2 })
	c.Check(b.Statistics().InFlightNow, qt.Equals, int64(0))
	c.Check(b.Statistics().SlotViolations, qt.Equals, int64(1))
}

func TestEventStreamHoldsNoSlot(t *testing.T) {
	c := qt.New(t)
	b, client := start(c, backend.Options{Slots: 1})
	ctx, cancel := context.WithCancel(c.Context())
	response := openStream(c, ctx, b, client, backend.PathEvents+"?interval-ms=600000")
	defer response.Body.Close()
	c.Check(b.Statistics().InFlightNow, qt.Equals, int64(0))
	c.Check(b.Statistics().SessionsNow, qt.Equals, int64(1))
	cancel()
	eventually(c, func() bool { return b.Statistics().SessionsNow == 0 })
}

func TestUpgradeEchoes(t *testing.T) {
	c := qt.New(t)
	b, client := start(c, backend.Options{})
	r, err := http.NewRequest(http.MethodGet, "http://"+b.Address()+backend.PathUpgrade, nil)
	c.Assert(err, qt.IsNil)
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", backend.UpgradeProtocol)
	response, err := client.Do(r)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusSwitchingProtocols)
	stream := response.Body.(io.ReadWriteCloser)
	_, err = stream.Write([]byte("setpoint"))
	c.Assert(err, qt.IsNil)
	echoed := make([]byte, len("setpoint"))
	_, err = io.ReadFull(stream, echoed)
	c.Assert(err, qt.IsNil)
	c.Check(string(echoed), qt.Equals, "setpoint")
	c.Assert(stream.Close(), qt.IsNil)
	eventually(c, func() bool { return b.Statistics().SessionsNow == 0 })
}

func TestHealthAndLoadReports(t *testing.T) {
	falseLoad := 0.5
	for _, test := range []struct {
		name     string
		drain    bool
		behavior backend.Behavior
		status   report.Status
		load     report.Load
	}{
		{"correct", false, backend.Behavior{}, report.StatusReady, report.Load{Slots: 4}},
		{"draining", true, backend.Behavior{}, report.StatusDraining, report.Load{Slots: 4}},
		{"draining, delayed report", true, backend.Behavior{HealthLag: 600_000}, report.StatusReady, report.Load{Slots: 4}},
		{"false status failing", false, backend.Behavior{Health: backend.HealthFailing}, report.StatusFailing, report.Load{Slots: 4}},
		{"false status ready", true, backend.Behavior{Health: backend.HealthReady}, report.StatusReady, report.Load{Slots: 4}},
		{"false load", false, backend.Behavior{FalseLoad: &falseLoad}, report.StatusReady, report.Load{Slots: 4, InFlight: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := backend.New(backend.Options{Slots: 4, Behavior: test.behavior})
			if test.drain {
				b.Drain()
			}
			var health report.Health
			var load report.Load
			get(c, b.Handler(), backend.PathHealth, &health)
			get(c, b.Handler(), backend.PathLoad, &load)
			c.Check(health.Status, qt.Equals, test.status)
			c.Check(load, qt.Equals, test.load)
		})
	}
}

func TestControlAPI(t *testing.T) {
	c := qt.New(t)
	b := backend.New(backend.Options{})
	control := b.ControlHandler()
	put := func(path, body string) int {
		recorder := httptest.NewRecorder()
		control.ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
		return recorder.Code
	}
	c.Check(put(backend.PathBehavior, `{"no-such":1}`), qt.Equals, http.StatusBadRequest)
	c.Check(put(backend.PathBehavior, `{"fault":"stall","fault_count":2}`), qt.Equals, http.StatusNoContent)
	c.Check(put(backend.PathDrain, ""), qt.Equals, http.StatusNoContent)
	var behavior backend.Behavior
	get(c, control, backend.PathBehavior, &behavior)
	c.Check(behavior, qt.Equals, backend.Behavior{Fault: backend.FaultStall, FaultCount: 2})
	var health report.Health
	get(c, b.Handler(), backend.PathHealth, &health)
	c.Check(health.Status, qt.Equals, report.StatusDraining)
}

func TestChainedCallPassesRemainingTime(t *testing.T) {
	c := qt.New(t)
	last, client := start(c, backend.Options{Name: "last"})
	var remaining string
	outbound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remaining = r.Header.Get(outcome.HeaderTimeout)
		last.Handler().ServeHTTP(w, r)
	}))
	defer outbound.Close()
	first, _ := start(c, backend.Options{Name: "first", Outbound: outbound.Listener.Addr().String()})
	response, err := client.Do(newRequest(c, first, backend.PathCall, "confirm", backend.HeaderRequest, "5",
		backend.HeaderChain, "reservas.test/call", outcome.HeaderTimeout, "60000"))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "confirm")
	c.Check(remaining, qt.Matches, "[1-5]?[0-9]{1,4}|60000")
	c.Check(last.Journal().Total().Finished, qt.Equals, 1)
}

func TestRestartOnSameAddressAfterKill(t *testing.T) {
	c := qt.New(t)
	b, client := start(c, backend.Options{})
	address := b.Address()
	response := openStream(c, c.Context(), b, client, backend.PathEvents+"?interval-ms=600000")
	defer response.Body.Close()
	b.Kill()
	_, err := io.ReadAll(response.Body)
	c.Check(err, qt.Not(qt.IsNil))
	c.Assert(b.Start(address), qt.IsNil)
	again, err := client.Do(newRequest(c, b, backend.PathEcho, ""))
	c.Assert(err, qt.IsNil)
	again.Body.Close()
}

func get(c *qt.C, handler http.Handler, path string, target any) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), target), qt.IsNil)
}

// eventually polls until a condition that other goroutines bring about holds.
func eventually(c *qt.C, reached func() bool) {
	c.Helper()
	for deadline := time.Now().Add(30 * time.Second); !reached(); {
		if time.Now().After(deadline) {
			c.Fatal("the condition did not hold in time")
		}
		time.Sleep(time.Millisecond)
	}
}

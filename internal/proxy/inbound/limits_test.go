package inbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestLimitsHoldUnderLoad sends several times the capacity, with senders that
// disconnect, faults and sessions. The backend must never have more requests or
// connections than its limits, and no request that was refused as not run may be in
// its journal.
func TestLimitsHoldUnderLoad(t *testing.T) {
	const slots, connections, requests, senders = 4, 9, 600, 32
	set := plainSettings()
	set.Slots, set.Connections, set.MaxQueued = 20, 130, 10
	r := newRig(t, backend.Options{Slots: slots, Connections: connections}, set)
	r.adopt(snapshot.Service{Name: testService, Slots: slots, Connections: connections})
	faults := []backend.Fault{backend.FaultResetAfterRead, backend.FaultCloseMidAnswer, backend.FaultStall}
	release := r.fillSlots(slots)
	var next atomic.Int64
	var group sync.WaitGroup
	var refused sync.Map // numbers of requests refused as not run
	one := func(number int) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		method, path, pairs := http.MethodPost, backend.PathEcho, []string{backend.HeaderRequest, strconv.Itoa(number), backend.HeaderWork, "1"}
		switch {
		case number%20 == 0:
			pairs = append(pairs, backend.HeaderFault, string(faults[number/20%len(faults)]), outcome.HeaderRemaining, "50")
		case number%7 == 0:
			go cancel() // disconnects at any moment
		case number%11 == 0:
			method, path = http.MethodGet, backend.PathEvents+"?count=3&interval-ms=1"
		}
		got := r.do(r.request(ctx, method, path, "", pairs...))
		if got.err == nil && got.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun) {
			refused.Store(number, true)
		}
	}
	go release() // while other requests arrive
	for range senders {
		group.Go(func() {
			for number := next.Add(1); number <= requests; number = next.Add(1) {
				one(int(number))
			}
		})
	}
	group.Wait()
	r.eventually(func() bool { return r.proxy.admission.Usage().InFlight == 0 })
	statistics := r.backend.Statistics()
	r.Check(statistics.SlotViolations, qt.Equals, int64(0), qt.Commentf("%+v", statistics))
	r.Check(statistics.ConnectionViolations, qt.Equals, int64(0))
	r.Check(statistics.InFlightMax, qt.Equals, int64(slots))
	r.Check(r.backend.Journal().RepeatedRequests(), qt.HasLen, 0)
	refused.Range(func(number, _ any) bool {
		runs := r.backend.Journal().Request(strconv.Itoa(number.(int)))
		return r.Check(runs, qt.Equals, backend.Runs{}, qt.Commentf("request %d was refused as not run", number))
	})
}

// fillSlots starts requests that run until release is called.
func (r *rig) fillSlots(slots int) (release func()) {
	ctx, cancel := context.WithCancel(r.Context())
	var group sync.WaitGroup
	for range slots {
		request := r.request(ctx, http.MethodPost, backend.PathEcho, "", backend.HeaderWork, "600000")
		group.Go(func() { r.do(request) })
	}
	r.eventually(func() bool { return r.backend.Statistics().InFlightNow == int64(slots) })
	return func() {
		cancel()
		group.Wait()
	}
}

// One sender disconnects while its request runs, another while its request is queued.
func TestCancelledWorkStops(t *testing.T) {
	set := plainSettings()
	set.Slots = 1
	r := newRig(t, backend.Options{}, set)
	leave := func(request int) (context.CancelFunc, <-chan clientResponse) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan clientResponse, 1)
		sent := r.request(ctx, http.MethodPost, backend.PathEcho, "a booking",
			backend.HeaderRequest, strconv.Itoa(request), backend.HeaderWork, "600000")
		go func() { done <- r.do(sent) }()
		return cancel, done
	}
	stopRunning, running := leave(1)
	r.eventually(func() bool { return r.backend.Journal().Request("1").Started == 1 })
	stopWaiting, waiting := leave(2)
	r.eventually(func() bool { return r.proxy.admission.Usage().Queued == 1 })
	stopWaiting()
	r.Check((<-waiting).err, qt.Not(qt.IsNil))
	r.eventually(func() bool { return r.proxy.admission.Usage().Queued == 0 })
	stopRunning()
	r.Check((<-running).err, qt.Not(qt.IsNil))
	r.eventually(func() bool { return r.backend.Journal().Request("1").Cancelled == 1 })
	r.eventually(func() bool { return r.proxy.admission.Usage().InFlight == 0 })
	r.Check(r.backend.Journal().Total().Started, qt.Equals, 1)
}

func TestFullQueueSetsRetryAfter(t *testing.T) {
	set := plainSettings()
	set.Slots, set.MaxQueued = 1, 0
	r := newRig(t, backend.Options{}, set)
	defer r.fillSlots(1)()
	got := r.send()
	r.checkProblem(got, 503, outcome.NotRun, outcome.ReasonOverloaded)
	r.Check(got.Header.Get("Retry-After"), qt.Equals, "1")
	r.Check(got.Header.Get(outcome.HeaderLoad), qt.Equals, "1.000")
}

// A backend that is slow to notice that a request was cancelled may still work on it,
// so the slot and the connection must stay in use until the backend closes its side.
func TestSlotIsHeldUntilBackendStops(t *testing.T) {
	for _, test := range []struct {
		name      string
		closeWait time.Duration
		notices   bool // the backend closes its side
	}{
		{"the backend closes late", time.Hour, true},
		{"the backend never closes", time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer listener.Close()
			r := newRigForAddress(t, listener.Addr().String(), plainSettings())
			r.proxy.backend.closeWait = test.closeWait
			ctx, cancel := context.WithCancel(t.Context())
			request := r.request(ctx, http.MethodPost, "/", "a booking")
			left := make(chan clientResponse, 1)
			go func() { left <- r.do(request) }()
			conn, err := listener.Accept()
			r.Assert(err, qt.IsNil)
			defer conn.Close()
			received := bufio.NewReader(conn)
			_, err = http.ReadRequest(received)
			r.Assert(err, qt.IsNil)
			cancel()
			<-left
			_, err = io.Copy(io.Discard, received) // the proxy has ended its side
			r.Assert(err, qt.IsNil)
			if test.notices {
				r.Check(r.proxy.admission.Usage().InFlight, qt.Equals, 1)
				r.Check(r.proxy.backend.limit.count(), qt.Equals, 1)
				r.Assert(conn.Close(), qt.IsNil)
			}
			r.eventually(func() bool { return r.proxy.admission.Usage().InFlight == 0 })
			r.Check(r.proxy.backend.limit.count(), qt.Equals, 0)
		})
	}
}

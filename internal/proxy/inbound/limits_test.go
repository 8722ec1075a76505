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
// leave, faults and sessions. The back end counts no request and no connection too
// many, and nothing refused as not run is in its journal.
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
			go cancel() // leaves at any moment
		case number%11 == 0:
			method, path = http.MethodGet, backend.PathEvents+"?count=3&interval-ms=1"
		}
		got := r.do(r.request(ctx, method, path, "", pairs...))
		if got.err == nil && got.Header.Get(outcome.HeaderOutcome) == string(outcome.NotRun) {
			refused.Store(number, true)
		}
	}
	go release() // while the others come
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
	r.Check(r.backend.Journal().Doubled(), qt.HasLen, 0)
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

// TestCancelledWorkStops has a sender leave while its request runs and another
// while it waits.
func TestCancelledWorkStops(t *testing.T) {
	set := plainSettings()
	set.Slots = 1
	r := newRig(t, backend.Options{}, set)
	leave := func(request int) (context.CancelFunc, <-chan answer) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan answer, 1)
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

func TestFullQueueTellsWhenToRetry(t *testing.T) {
	set := plainSettings()
	set.Slots, set.MaxQueued = 1, 0
	r := newRig(t, backend.Options{}, set)
	defer r.fillSlots(1)()
	got := r.send()
	r.checkProblem(got, 503, outcome.NotRun, outcome.ReasonOverloaded)
	r.Check(got.Header.Get("Retry-After"), qt.Equals, "1")
	r.Check(got.Header.Get(outcome.HeaderLoad), qt.Equals, "1.000")
}

// TestSlotIsHeldUntilTheBackEndHasStopped has a back end that is slow to notice
// that a request was given up: its slot and its connection stay in use meanwhile.
func TestSlotIsHeldUntilTheBackEndHasStopped(t *testing.T) {
	for _, test := range []struct {
		name     string
		patience time.Duration
		notices  bool // the back end ends its side in the end
	}{
		{"it stops at last", time.Hour, true},
		{"it never stops", time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer listener.Close()
			r := newRigBefore(t, listener.Addr().String(), plainSettings())
			r.proxy.backend.patience = test.patience
			ctx, cancel := context.WithCancel(t.Context())
			request := r.request(ctx, http.MethodPost, "/", "a booking")
			left := make(chan answer, 1)
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

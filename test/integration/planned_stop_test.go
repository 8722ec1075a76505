package integration

import (
	"flag"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// stopSeed draws the requests of TestPlannedStopBreaksNothingOff.
var stopSeed = flag.Uint64("stop-seed", 85, "seed of the requests around a planned stop")

// noticeTime is the time from the signal in which other nodes and clients learn of the stop.
const noticeTime = 3 * time.Second

// stopRequest is a request around a planned stop.
type stopRequest struct {
	sent, ended time.Time
	path        string
	deadline    time.Duration
	got         fleetAnswer
}

// TestPlannedStopBreaksNothingOff guards against requests that a node takes late in a planned stop, passes on and cuts
// at its end: clients go on with requests of all kinds until the process is gone, on kept connections and on new
// ones, while the instances are slow and nothing else is wrong.
func TestPlannedStopBreaksNothingOff(t *testing.T) {
	t.Parallel()
	const workers = 24
	for name, stopping := range map[string]int{"a node whose clients call others": 0, "a node beside the instance that is called": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStoreFleet(t, []string{"calm", "data", "data"}, func(_ int, emulated *instance.Instance) {
				emulated.Work = func(id string, gone <-chan struct{}) {
					select {
					case <-time.After(stopWorkOf(id)):
					case <-gone:
					}
				}
			}, nil)
			f.startAll()
			var group sync.WaitGroup
			var mutex sync.Mutex
			var requests []stopRequest
			answered := make(chan struct{}, 2*workers)
			for worker := range workers {
				group.Go(func() {
					draw := rand.New(rand.NewPCG(*stopSeed, uint64(worker)))
					client := newFleetClient(t)
					for f.machines[stopping].isRunning() {
						if worker%3 == 0 {
							client = newFleetClient(t) // on a new connection
						}
						request := stopRequest{sent: time.Now(), path: []string{"/data/x", "/data-once/x"}[draw.IntN(2)]}
						request.deadline = []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 7 * time.Second}[draw.IntN(4)]
						request.got = f.send(client, stopping, http.MethodPost, request.path, []byte("body"), request.deadline, 1<<20)
						request.ended = time.Now()
						mutex.Lock()
						requests = append(requests, request)
						mutex.Unlock()
						select {
						case answered <- struct{}{}:
						default:
						}
						time.Sleep(time.Duration(draw.IntN(40)) * time.Millisecond) // the pace of a client
					}
				})
			}
			for range 2 * workers {
				<-answered
			}
			began := time.Now()
			f.terminate(stopping)
			group.Wait()
			t.Logf("seed %d: the process ended %.2f s after the signal", *stopSeed, time.Since(began).Seconds())
			qt.Check(t, time.Since(began) < machineGrace, qt.IsTrue)
			late := map[int]int{} // by status; 0: the connection was closed
			for _, request := range requests {
				if request.sent.Sub(began) > noticeTime {
					late[request.got.status]++
				}
				f.checkNotBrokenOff(request, began)
			}
			t.Logf("%d requests; later than %v after the signal, by status: %v", len(requests), noticeTime, late)
			qt.Check(t, late[http.StatusOK] > 0, qt.IsTrue)
			qt.Check(t, late[http.StatusServiceUnavailable] > 0, qt.IsTrue)
		})
	}
}

// stopWorkOf returns how long an instance works on a request.
func stopWorkOf(id string) time.Duration {
	number, _ := strconv.Atoi(strings.TrimPrefix(id, "r-"))
	return []time.Duration{0, 20, 200, 900, 2_000, 4_000}[number%6] * time.Millisecond
}

// checkNotBrokenOff checks that a request ended with a whole answer that is true, or was not passed on.
func (f *storeFleet) checkNotBrokenOff(request stopRequest, began time.Time) {
	var runs []instance.Run
	for _, m := range f.machines {
		for _, run := range m.instance.Runs() {
			if run.ID == request.got.id {
				runs = append(runs, run)
			}
		}
	}
	isOnce := strings.HasPrefix(request.path, "/data-once/")
	describe := qt.Commentf("%s %s, deadline %v, sent %.3f s and ended %.3f s after the signal: status %d, %v; %d runs", request.got.id, request.path,
		request.deadline, request.sent.Sub(began).Seconds(), request.ended.Sub(began).Seconds(), request.got.status, request.got.err, len(runs))
	if isOnce {
		qt.Check(f.t, len(runs) <= 1, qt.IsTrue, describe)
	}
	switch {
	case request.got.err == nil && request.got.status == http.StatusOK:
		return
	case request.got.status == http.StatusServiceUnavailable && request.got.err == nil:
		qt.Check(f.t, len(runs), qt.Equals, 0, describe)
		return
	case len(runs) == 0:
		// The connection was closed before the request was read, or as it was sent.
		const lossSlack = 200 * time.Millisecond
		qt.Check(f.t, request.got.err != nil && request.ended.Sub(request.sent) < lossSlack || isAtDeadline(request), qt.IsTrue, describe)
		return
	}
	// Work that outlasts the grace cannot be finished if it was taken before the others knew of the stop.
	lastRun := runs[len(runs)-1]
	outlasts := request.sent.Sub(began) <= noticeTime && lastRun.Began.Add(stopWorkOf(request.got.id)).After(began.Add(machineGrace*5/6))
	qt.Check(f.t, isAtDeadline(request) || outlasts, qt.IsTrue, describe)
}

// isAtDeadline reports whether a request ended at its deadline.
func isAtDeadline(request stopRequest) bool {
	const tolerance = 150 * time.Millisecond
	return request.ended.Sub(request.sent) >= request.deadline-tolerance
}

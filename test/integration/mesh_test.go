package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// service is the only service of testdata/small.
const service = "booking"

// startMesh starts the deployment testdata/small with fault proxies on the hops.
func startMesh(t testing.TB, hops ...mesh.Hop) *mesh.Mesh {
	return startMeshWith(t, mesh.Options{Hops: hops})
}

// startMeshWith starts testdata/small with real processes, waits until it is complete, and
// stops it at the end of the test.
func startMeshWith(t testing.TB, options mesh.Options) *mesh.Mesh {
	plan, err := deployment.Load("testdata/small")
	qt.Assert(t, err, qt.IsNil)
	options.Deployment, options.Binary, options.Logs = plan, winchheadBinary, nodeLogs(t)
	running, err := mesh.Start(testContext(t), options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, running.Close(), qt.IsNil) })
	qt.Assert(t, running.AwaitComplete(testContext(t)), qt.IsNil)
	return running
}

// nodeLogs returns a file for the logs of the nodes. If the test fails, the file is kept
// and the test's log names it.
func nodeLogs(t testing.TB) *os.File {
	file, err := os.CreateTemp("", "winchhead-nodes-*.log")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the nodes' logs are in %s", file.Name())
		} else {
			_ = os.Remove(file.Name())
		}
		_ = file.Close()
	})
	return file
}

// publishChange publishes a revision that differs only in a comment of a policy.
func publishChange(t testing.TB, running *mesh.Mesh) snapshot.Revision {
	version, err := running.Platform.Change(func(content *snapshot.Content) error {
		content.Policies[0].Program += "# changed\n"
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	return version.Revision
}

// Load of the callers.
const (
	workers        = 6
	workTime       = 10 * time.Millisecond
	smallBody      = 200
	largeBody      = 60_000
	callTimeout    = 10 * time.Second
	largeBodyEvery = 5 // one call in this many has a large body
)

// lastCallNumber is the number of the last call. All tests share it, because journals of
// backends outlive a test.
var lastCallNumber atomic.Uint64

// callers send numbered calls without pause, check every byte of the answers and keep all
// results. Every other call may not be repeated.
type callers struct {
	running   *mesh.Mesh
	transport *http.Transport
	timeout   time.Duration
	stopping  chan struct{}
	workers   sync.WaitGroup

	lock    sync.Mutex
	results []load.Result
	changed chan struct{} // closed and replaced when a result is added
}

func startCallers(t testing.TB, running *mesh.Mesh, timeout time.Duration) *callers {
	c := &callers{
		running: running, transport: load.NewTransport(), timeout: timeout,
		stopping: make(chan struct{}), changed: make(chan struct{}),
	}
	for range workers {
		c.workers.Go(c.work)
	}
	t.Cleanup(func() { c.stop() })
	return c
}

func (c *callers) work() {
	for {
		select {
		case <-c.stopping:
			return
		default:
		}
		number := lastCallNumber.Add(1)
		c.add(load.Send(c.transport, c.running.Entries.Pick(number/2), c.call(number), time.Now()))
	}
}

func (c *callers) call(number uint64) load.Call {
	call := load.Call{
		ID: fmt.Sprintf("call-%d", number), Host: service, Path: "/echo",
		Method: http.MethodPost, BodyBytes: smallBody, Work: workTime, Timeout: c.timeout,
	}
	if number%largeBodyEvery == 0 {
		call.BodyBytes = largeBody
	}
	if number%2 == 0 {
		call.Method, call.MayRepeat = http.MethodGet, true
		call.AnswerBytes, call.BodyBytes = call.BodyBytes, 0
	}
	return call
}

func (c *callers) add(result load.Result) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.results = append(c.results, result)
	close(c.changed)
	c.changed = make(chan struct{})
}

// mark returns the number of calls that have ended, for awaitSince.
func (c *callers) mark() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.results)
}

// awaitMore waits until count more matching calls have ended. A nil match matches all.
func (c *callers) awaitMore(ctx context.Context, t testing.TB, count int, match func(load.Result) bool) {
	c.awaitSince(ctx, t, c.mark(), count, match)
}

// awaitSince waits until count matching calls have ended since the mark.
func (c *callers) awaitSince(ctx context.Context, t testing.TB, mark, count int, match func(load.Result) bool) {
	for {
		seen, changed := c.countSince(mark, match)
		if seen >= count {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%d of %d expected calls ended (%v), all since the mark: %v", seen, count, ctx.Err(), classes(c.since(mark)))
		case <-changed:
		}
	}
}

func (c *callers) since(mark int) []load.Result {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.results[mark:])
}

func (c *callers) countSince(mark int, match func(load.Result) bool) (int, <-chan struct{}) {
	c.lock.Lock()
	defer c.lock.Unlock()
	seen := 0
	for _, result := range c.results[mark:] {
		if match == nil || match(result) {
			seen++
		}
	}
	return seen, c.changed
}

// stop ends the calls and returns all results. It may be called more than once.
func (c *callers) stop() []load.Result {
	select {
	case <-c.stopping:
	default:
		close(c.stopping)
	}
	c.workers.Wait()
	c.transport.CloseIdleConnections()
	return c.results
}

// answered reports whether a call got its whole answer.
func answered(result load.Result) bool { return result.Class == load.Answered }

// classes returns the number of results of each class.
func classes(results []load.Result) map[load.Class]int {
	counts := map[load.Class]int{}
	for _, result := range results {
		counts[result.Class]++
	}
	return counts
}

// assertOnly checks that every result has one of the allowed classes.
func assertOnly(t testing.TB, results []load.Result, allowed ...load.Class) {
	unwanted := map[string]int{}
	for _, result := range results {
		if !slices.Contains(allowed, result.Class) {
			unwanted[fmt.Sprintf("%s %s: status %d, %s", result.Call.Method, result.Class, result.Status, result.Reason)]++
		}
	}
	qt.Assert(t, unwanted, qt.HasLen, 0, qt.Commentf("allowed %v; all: %v", allowed, classes(results)))
}

// assertGuarantees checks the results against the journals of the backends, and that no
// backend got more requests or connections at once than it allows.
func assertGuarantees(t testing.TB, running *mesh.Mesh, results []load.Result) {
	audit := load.Check(results, running.Journal())
	qt.Assert(t, audit.Passed(), qt.IsTrue, qt.Commentf("%+v", audit))
	for _, instance := range running.Backends() {
		statistics := instance.Statistics()
		qt.Assert(t, statistics.SlotViolations, qt.Equals, int64(0))
		qt.Assert(t, statistics.ConnectionViolations, qt.Equals, int64(0))
	}
}

package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Planner returns the call with a number. It must be safe for concurrent use.
type Planner func(number uint64) Call

// Options configures one run of the load generator.
type Options struct {
	// Rate is the constant arrival rate in calls per second.
	Rate float64
	// Duration is how long new calls are started; zero means until the context ends.
	Duration time.Duration
	// Plan returns the calls to send.
	Plan Planner
	// First is the number of the first call.
	First uint64
	// Entries are the addresses (IP:port) that calls are sent to.
	Entries *Entries
	// Transport sends the calls.
	Transport http.RoundTripper
	// MaxInFlight limits the calls in progress, to protect the generator's own memory.
	// A call above the limit is counted as skipped and never sent.
	MaxInFlight int
	// Observe, if set, is called with each result. It must not block.
	Observe func(Result)
}

// defaultMaxInFlight is used if Options.MaxInFlight is zero.
const defaultMaxInFlight = 50_000

// Run starts calls at a constant rate and waits until all have ended. When ctx ends,
// no new calls are started, and those in progress continue to their own deadlines.
func Run(ctx context.Context, options Options) (*Record, error) {
	if options.Rate <= 0 || options.Plan == nil || options.Entries == nil {
		return nil, eris.New("load: rate, plan and entries are required")
	}
	if options.MaxInFlight == 0 {
		options.MaxInFlight = defaultMaxInFlight
	}
	run := generator{
		options:  options,
		record:   NewRecord(),
		inFlight: make(chan struct{}, options.MaxInFlight),
	}
	run.loop(ctx)
	run.calls.Wait()
	run.record.setDuration(time.Since(run.started))
	return run.record, nil
}

// generator is the state of one Run.
type generator struct {
	options  Options
	record   *Record
	inFlight chan struct{}
	calls    sync.WaitGroup
	started  time.Time
}

// loop starts each call at its intended time, independently of earlier calls. If the
// process was delayed, the overdue calls start at once and their latency includes the
// delay.
func (g *generator) loop(ctx context.Context) {
	g.started = time.Now()
	interval := float64(time.Second) / g.options.Rate
	timer := time.NewTimer(0)
	defer timer.Stop()
	for index := uint64(0); ; index++ {
		offset := time.Duration(float64(index) * interval)
		if g.options.Duration > 0 && offset >= g.options.Duration {
			return
		}
		intended := g.started.Add(offset)
		if !waitUntil(ctx, timer, intended) {
			return
		}
		g.startCall(g.options.First+index, intended)
	}
}

// waitUntil waits until a time and returns false if the context ended first.
func waitUntil(ctx context.Context, timer *time.Timer, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(wait)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (g *generator) startCall(number uint64, intended time.Time) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		g.record.skip()
		return
	}
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		defer func() { <-g.inFlight }()
		result := Send(g.options.Transport, g.options.Entries.Pick(number), g.options.Plan(number), intended)
		g.record.add(result)
		if g.options.Observe != nil {
			g.options.Observe(result)
		}
	}()
}

package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Planner makes the call of a number. It must be safe for concurrent use.
type Planner func(number uint64) Call

// Options sets one run of the generator.
type Options struct {
	// Rate is the constant arrival rate in calls per second.
	Rate float64
	// Duration is how long calls are started; zero: until the context ends.
	Duration time.Duration
	// Plan makes the calls.
	Plan Planner
	// First is the number of the first call.
	First uint64
	// Entries gives the address (IP:port) that a call is sent to.
	Entries *Entries
	// Transport carries the calls.
	Transport http.RoundTripper
	// MaxInFlight bounds the calls in progress, to protect the generator's own
	// memory. A call above it is counted as Skipped, never sent late.
	MaxInFlight int
	// Observe is told each result, if set. It must not block.
	Observe func(Result)
}

// defaultMaxInFlight bounds the calls in progress when Options leaves it open.
const defaultMaxInFlight = 50_000

// Run starts calls at the constant rate and waits for all answers. A context
// that ends stops new calls; those in progress run to their own deadlines.
func Run(ctx context.Context, options Options) (*Record, error) {
	if options.Rate <= 0 || options.Plan == nil || options.Entries == nil {
		return nil, eris.New("load: rate, plan and entries are required")
	}
	if options.MaxInFlight == 0 {
		options.MaxInFlight = defaultMaxInFlight
	}
	run := generator{
		options: options,
		record:  NewRecord(),
		slots:   make(chan struct{}, options.MaxInFlight),
	}
	run.loop(ctx)
	run.calls.Wait()
	run.record.seal(time.Since(run.started))
	return run.record, nil
}

// generator is the state of one Run.
type generator struct {
	options Options
	record  *Record
	slots   chan struct{}
	calls   sync.WaitGroup
	started time.Time
}

// loop starts each call at its own time, whatever became of earlier ones. When
// the process was held up it catches up at once, and the delay counts in full.
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
		g.start(g.options.First+index, intended)
	}
}

// waitUntil reports false when the context ended first.
func waitUntil(ctx context.Context, timer *time.Timer, moment time.Time) bool {
	wait := time.Until(moment)
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

func (g *generator) start(number uint64, intended time.Time) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.record.skip()
		return
	}
	g.calls.Add(1)
	go func() {
		defer g.calls.Done()
		defer func() { <-g.slots }()
		result := Send(g.options.Transport, g.options.Entries.Pick(number), g.options.Plan(number), intended)
		g.record.add(result)
		if g.options.Observe != nil {
			g.options.Observe(result)
		}
	}()
}

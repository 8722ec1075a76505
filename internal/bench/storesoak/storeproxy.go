package storesoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

// refusal is how the store handles the requests of a machine that it does not serve.
type refusal struct {
	name  string
	fault store.Fault
	// retryAfter is the Retry-After value of Busy and Throttled in seconds; empty: no header.
	retryAfter string
	// delay is used instead of a fault: requests are served, but this much later.
	delay time.Duration
}

// refusals are drawn with equal probability.
var refusals = []refusal{
	{name: "busy", fault: store.Busy},
	{name: "busy with a long Retry-After", fault: store.Busy, retryAfter: "5"},
	{name: "throttled", fault: store.Throttled, retryAfter: "0.05"},
	{name: "throttled with a long Retry-After", fault: store.Throttled, retryAfter: "5"},
	{name: "silent", fault: store.Silent},
	{name: "reset", fault: store.Reset},
	{name: "slow", delay: 1200 * time.Millisecond},
}

// storeState is the state of the store during a fault; zero: it serves all machines.
type storeState uint8

const (
	// storeRefusing: it refuses some machines and serves the others.
	storeRefusing storeState = 1
	// storeUnavailable: it serves no machine, or all of them late.
	storeUnavailable storeState = 2
	// storeRestored: it serves no machine and is then restored from a backup.
	storeRestored storeState = 3
)

// storeProxy passes the requests of one node to the store, or refuses them.
type storeProxy struct {
	server  *httptest.Server
	handler http.Handler
	// rate limits responses in bytes per second; zero: no limit.
	rate    int64
	refusal atomic.Pointer[refusal]
}

func newStoreProxy(handler http.Handler, rate int64) *storeProxy {
	p := &storeProxy{handler: handler, rate: rate}
	p.server = httptest.NewServer(p)
	return p
}

func (p *storeProxy) url() string { return p.server.URL }

// ServeHTTP passes requests on, or handles them as the current refusal says.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w = store.LimitRate(w, r.Context(), p.rate)
	refused := p.refusal.Load()
	switch {
	case refused == nil:
		p.handler.ServeHTTP(w, r)
	case refused.delay > 0:
		if wait.For(r.Context(), refused.delay) == nil {
			p.handler.ServeHTTP(w, r)
		}
	case refused.fault == store.Silent:
		<-r.Context().Done()
	case refused.fault == store.Reset:
		panic(http.ErrAbortHandler)
	default:
		refused.answer(w)
	}
}

func (r *refusal) answer(w http.ResponseWriter) {
	if r.retryAfter != "" {
		w.Header().Set("Retry-After", r.retryAfter)
	}
	status := http.StatusServiceUnavailable
	if r.fault == store.Throttled {
		status = http.StatusTooManyRequests
	}
	w.WriteHeader(status)
}

// close makes the store refuse the node's requests; nil makes it serve them again.
func (p *storeProxy) close(how *refusal) { p.refusal.Store(how) }

func (f *fleet) refuseMachines(name string, numbers []int, how refusal, state storeState) fault {
	set := func(how *refusal) func(context.Context) error {
		return func(context.Context) error {
			return f.forAll(numbers, func(m *machine) error { m.storeProxy.close(how); return nil })
		}
	}
	return fault{name: name + ": " + how.name, machines: numbers, storeState: state, begin: set(&how), undo: set(nil)}
}

func drawRefusal(random *rand.Rand) refusal { return refusals[random.IntN(len(refusals))] }

func storeDown(random *rand.Rand, f *fleet) fault {
	all := randomMachines(random, f, len(f.machines))
	return f.refuseMachines("store down", all, drawRefusal(random), storeUnavailable)
}

// longestRefusal bounds how long the store refuses some machines. It is longer than a change
// may take meanwhile, so that late changes are found.
const longestRefusal = 12 * time.Second

func storeRefusesSome(random *rand.Rand, f *fleet) fault {
	drawn := f.refuseMachines("store refuses some machines", randomMachines(random, f, len(f.machines)/3+1), drawRefusal(random), storeRefusing)
	drawn.duration = drawRefusalDuration(random)
	return drawn
}

// storeRefusesReaders makes the store refuse only nodes that currently read it: some or all
// of them.
func storeRefusesReaders(random *rand.Rand, f *fleet) fault {
	refused, duration := drawRefusal(random), drawRefusalDuration(random)
	readers := f.logs.readers()
	random.Shuffle(len(readers), func(i, k int) { readers[i], readers[k] = readers[k], readers[i] })
	if len(readers) > 0 {
		readers = readers[:1+random.IntN(len(readers))]
	}
	drawn := f.refuseMachines("store refuses readers", readers, refused, storeRefusing)
	drawn.duration = duration
	return drawn
}

func drawRefusalDuration(random *rand.Rand) time.Duration {
	return shortestFault + time.Duration(random.Int64N(int64(longestRefusal-shortestFault)))
}

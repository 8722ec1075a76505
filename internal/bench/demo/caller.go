package demo

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// expectedClasses holds the expected class of each kind of request.
type expectedClasses struct{ trips, bookings, patients load.Class }

// callsPerKind is the number of requests of each kind to each edge in one state.
const callsPerKind = 10

// Sizes and timeout of the demo's requests.
const (
	bookingBytes = 1500
	recordBytes  = 4000
	callTimeout  = time.Minute
)

// caller sends the demo's requests to every edge.
type caller struct {
	mesh      *mesh.Mesh
	transport *http.Transport
	sent      int
	results   []load.Result
}

func newCaller(running *mesh.Mesh) *caller {
	return &caller{mesh: running, transport: load.NewTransport()}
}

// calls returns the calls for one state with their expected classes.
func (c *caller) calls(expected expectedClasses) map[*load.Call]load.Class {
	calls := map[*load.Call]load.Class{}
	for range callsPerKind * len(c.mesh.Edges()) {
		calls[c.complete(load.Call{Method: http.MethodGet, Path: "/trips/today", MayRepeat: true, AnswerBytes: recordBytes})] = expected.trips
		calls[c.complete(load.Call{Method: http.MethodPost, Path: "/bookings", BodyBytes: bookingBytes})] = expected.bookings
		calls[c.complete(load.Call{Method: http.MethodGet, Path: "/patients/7", MayRepeat: true, AnswerBytes: recordBytes})] = expected.patients
	}
	return calls
}

func (c *caller) complete(call load.Call) *load.Call {
	c.sent++
	call.ID = fmt.Sprintf("demo-%d", c.sent)
	call.Host = "montevideo"
	call.Timeout = callTimeout
	return &call
}

// sendAndCheck sends the calls for one state concurrently and checks each outcome.
func (c *caller) sendAndCheck(r *run, expected expectedClasses) error {
	calls := c.calls(expected)
	entries := c.mesh.Entries.All()
	var (
		group    sync.WaitGroup
		lock     sync.Mutex
		failures []string
		index    int
	)
	for call, class := range calls {
		entry := entries[index%len(entries)]
		index++
		group.Go(func() {
			result := load.Send(c.transport, entry, *call, time.Now())
			lock.Lock()
			defer lock.Unlock()
			c.results = append(c.results, result)
			if result.Class != class {
				failures = append(failures, fmt.Sprintf("%s %s: %s (%s), want %s", call.Method, call.Path, result.Class, result.Reason, class))
			}
		})
	}
	group.Wait()
	if len(failures) > 0 {
		return eris.Errorf("%d of %d requests had an unexpected outcome, such as %s", len(failures), len(calls), failures[0])
	}
	r.printf("    %d requests: trips %s, bookings %s, patients %s", len(calls), expected.trips, expected.bookings, expected.patients)
	return nil
}

// audit compares all outcomes with the backends' journals.
func (c *caller) audit() load.Audit { return load.Check(c.results, c.mesh.Journal()) }

package storesoak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/bench/repeatcheck"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

const (
	// nestedCallsPerRun is how many calls a run of serviceRead makes; nestedCallShare of ten
	// requests make calls.
	nestedCallsPerRun = 2
	nestedCallShare   = 7
	// nestedDeadlineMillis is the deadline of the nested calls of a run.
	nestedDeadlineMillis = 400
)

// nestedCall is one call that an instance makes while it handles a request.
type nestedCall struct {
	machine int
	sent    time.Time
	// ofRetry is set if the run that made the call was not the first arrival of its request.
	ofRetry bool
	// stated is what the answer stated.
	stated statedAnswer
}

// nestedCalls holds the calls from instances of serviceRead to serviceWrite. A run responds
// with an error if one of its calls fails.
type nestedCalls struct {
	client *http.Client

	mutex sync.Mutex
	calls map[string]nestedCall
	// arrivals holds every arrival at an instance of any service, by request id.
	arrivals map[string][]arrival
	failed   map[string]bool
}

// arrival is one request that reached an instance, whether it was handled or not.
type arrival struct {
	service, instance string
	at                time.Time
}

func newNestedCalls() *nestedCalls {
	return &nestedCalls{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second, DisableCompression: true}},
		calls:  make(map[string]nestedCall), arrivals: make(map[string][]arrival), failed: make(map[string]bool),
	}
}

// attach records the arrivals at the instance of a machine, and makes instances of
// serviceRead send nested calls while they work.
func (n *nestedCalls) attach(emulated *instance.Instance, m *machine, work func(id string, gone <-chan struct{})) {
	emulated.OnArrival = func(id string) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.arrivals[id] = append(n.arrivals[id], arrival{m.service, emulated.Name, time.Now()})
	}
	if m.service != serviceRead {
		return
	}
	emulated.Work = func(id string, gone <-chan struct{}) {
		n.makeCalls(m, id, gone)
		work(id, gone)
	}
	emulated.FaultAfterWork = func(id string) instance.Fault {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		if n.failed[id] {
			delete(n.failed, id)
			return instance.Fails
		}
		return instance.None
	}
}

// makesNestedCalls reports whether the runs of a request make nested calls. It depends only on
// the id, so that all runs of a request do the same.
func makesNestedCalls(id string) bool {
	last := id[len(id)-1]
	return last >= '0' && last < '0'+nestedCallShare
}

// makeCalls makes the nested calls of one run and cancels them when its sender disconnects.
func (n *nestedCalls) makeCalls(m *machine, id string, gone <-chan struct{}) {
	n.mutex.Lock()
	number := len(n.arrivals[id])
	n.mutex.Unlock()
	if !makesNestedCalls(id) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), nestedDeadlineMillis*time.Millisecond)
	defer cancel()
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	var calling sync.WaitGroup
	for k := range nestedCallsPerRun {
		calling.Go(func() {
			if !n.call(ctx, m, fmt.Sprintf("inner-%d-%d-%s", number, k, id), number > 1) {
				n.mutex.Lock()
				defer n.mutex.Unlock()
				n.failed[id] = true
			}
		})
	}
	calling.Wait()
}

// call sends one nested call through the node of the machine and reports whether it succeeded.
func (n *nestedCalls) call(ctx context.Context, m *machine, id string, ofRetry bool) bool {
	n.mutex.Lock()
	n.calls[id] = nestedCall{machine: m.number, sent: time.Now(), ofRetry: ofRetry}
	n.mutex.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.callers+pathCheck+id, nil)
	if err != nil {
		panic(err) // the address and the path are always valid
	}
	request.Host = host
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, strconv.Itoa(nestedDeadlineMillis))
	response, err := n.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	n.mutex.Lock()
	answered := n.calls[id]
	answered.stated = newStatedAnswer(response.Header)
	n.calls[id] = answered
	n.mutex.Unlock()
	return response.StatusCode == http.StatusOK
}

// observed returns the requests that callers and instances sent to a service and its repeated
// arrivals, with their times relative to since. All arrivals of nested calls that a retried
// run made count as repeated.
func (n *nestedCalls) observed(service string, since time.Time, calls []*call) repeatcheck.Observations {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var seen repeatcheck.Observations
	for _, each := range calls {
		if each.service() == service {
			seen.Requests = append(seen.Requests, each.sent.Sub(since))
		}
	}
	if service == serviceWrite {
		for _, each := range n.calls {
			seen.Requests = append(seen.Requests, each.sent.Sub(since))
		}
	}
	for id, arrivals := range n.arrivals {
		for number, each := range arrivals {
			if each.service == service && (number > 0 || n.calls[id].ofRetry) {
				seen.Repeats = append(seen.Repeats, each.at.Sub(since))
			}
		}
	}
	return seen
}

// senderOf returns the machine whose instance made a nested call.
func (n *nestedCalls) senderOf(id string) (machine int, made bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	found, made := n.calls[id]
	return found.machine, made
}

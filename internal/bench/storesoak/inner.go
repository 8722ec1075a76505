package storesoak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/bench/repeatjudge"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

const (
	// callsOfARun is how many calls a run of serviceRead makes, if it makes any; callEvery
	// of ten do.
	callsOfARun = 2
	callEvery   = 7
	// innerMillis is how long an instance waits for a call.
	innerMillis = 400
)

// innerCall is one call of an instance.
type innerCall struct {
	machine int
	sent    time.Time
	// ofRepeat says that the run which made it was not the first arrival of its request.
	ofRepeat bool
}

// innerCalls are those that the instances of serviceRead make to serviceWrite. A run whose
// calls fail answers that it failed.
type innerCalls struct {
	client *http.Client

	mutex sync.Mutex
	calls map[string]innerCall
	// arrivals are the moments at which each request reached an instance of any service.
	arrivals map[string][]arrival
	failed   map[string]bool
}

// arrival is one request that reached an instance, whatever became of it.
type arrival struct {
	service string
	at      time.Time
}

func newInnerCalls() *innerCalls {
	return &innerCalls{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second, DisableCompression: true}},
		calls:  make(map[string]innerCall), arrivals: make(map[string][]arrival), failed: make(map[string]bool),
	}
}

// attach notes what reaches the instance beside a machine, and has those of serviceRead
// make calls while they work.
func (i *innerCalls) attach(emulated *instance.Instance, m *machine, work func(id string, gone <-chan struct{})) {
	emulated.Arrived = func(id string) {
		i.mutex.Lock()
		defer i.mutex.Unlock()
		i.arrivals[id] = append(i.arrivals[id], arrival{m.service, time.Now()})
	}
	if m.service != serviceRead {
		return
	}
	emulated.Work = func(id string, gone <-chan struct{}) {
		i.makeCalls(m, id, gone)
		work(id, gone)
	}
	emulated.Judge = func(id string) instance.Fault {
		i.mutex.Lock()
		defer i.mutex.Unlock()
		if i.failed[id] {
			delete(i.failed, id)
			return instance.Fails
		}
		return instance.None
	}
}

// callShareOf reports whether the runs of a request call: the same ones each time.
func callShareOf(id string) bool {
	last := id[len(id)-1]
	return last >= '0' && last < '0'+callEvery
}

// makeCalls makes the calls of one run, and returns early when its sender left.
func (i *innerCalls) makeCalls(m *machine, id string, gone <-chan struct{}) {
	i.mutex.Lock()
	number := len(i.arrivals[id])
	i.mutex.Unlock()
	if !callShareOf(id) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), innerMillis*time.Millisecond)
	defer cancel()
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	var calling sync.WaitGroup
	for k := range callsOfARun {
		calling.Go(func() {
			if !i.call(ctx, m, fmt.Sprintf("inner-%d-%d-%s", number, k, id), number > 1) {
				i.mutex.Lock()
				defer i.mutex.Unlock()
				i.failed[id] = true
			}
		})
	}
	calling.Wait()
}

// call sends one call through the node of the machine and reports whether it was answered.
func (i *innerCalls) call(ctx context.Context, m *machine, id string, ofRepeat bool) bool {
	i.mutex.Lock()
	i.calls[id] = innerCall{machine: m.number, sent: time.Now(), ofRepeat: ofRepeat}
	i.mutex.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.callers+pathCheck+id, nil)
	if err != nil {
		panic(err) // the address and the path are sound
	}
	request.Host = host
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, strconv.Itoa(innerMillis))
	response, err := i.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// seen is what a service saw, since a moment: the requests that callers and instances sent
// for it, and its arrivals beyond the first of each, those of calls of repeated runs all.
func (i *innerCalls) seen(service string, since time.Time, calls []*call) repeatjudge.Seen {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var seen repeatjudge.Seen
	for _, each := range calls {
		if each.service() == service {
			seen.Requests = append(seen.Requests, each.sent.Sub(since))
		}
	}
	if service == serviceWrite {
		for _, each := range i.calls {
			seen.Requests = append(seen.Requests, each.sent.Sub(since))
		}
	}
	for id, arrivals := range i.arrivals {
		for number, each := range arrivals {
			if each.service == service && (number > 0 || i.calls[id].ofRepeat) {
				seen.Beyond = append(seen.Beyond, each.at.Sub(since))
			}
		}
	}
	return seen
}

// sentBy is the machine whose instance made a call.
func (i *innerCalls) sentBy(id string) (machine int, made bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	found, made := i.calls[id]
	return found.machine, made
}

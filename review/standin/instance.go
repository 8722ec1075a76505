package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Names of header fields, from PROTOCOL.md.
const (
	headerID          = "Winchhead-Request-Id"
	headerDeadline    = "Winchhead-Deadline-Ms"
	headerExpect      = "Winchhead-Expect-Instance"
	headerCaller      = "Winchhead-Caller-Service"
	headerNotExecuted = "Winchhead-Not-Executed"
	headerStamp       = "Winchhead-Server-Stamp"
	headerInstance    = "Winchhead-Instance-Id"
)

// run is one request that an instance ran.
type run struct {
	id, method, target, caller, service, instance string
	bytes                                         int64
	began                                         time.Time
	// finished is set when the work has ended and the answer was written; cancelled when the connection
	// was closed before.
	finished, cancelled bool
}

// instance stands in for an application instance. It runs a request once it has read it whole, answers 421
// where another instance is meant and 503 where slots and queue are full, and drops a request whose
// connection closes.
type instance struct {
	id, service, address string
	work                 time.Duration
	record               *record

	slots  chan struct{}
	server *http.Server

	mutex   sync.Mutex
	waiting int
	runs    []*run
}

const (
	slotsOfInstance = 18
	queueOfInstance = 36
)

func startInstance(id, service, address string, work time.Duration, record *record) (*instance, error) {
	created := &instance{id: id, service: service, address: address, work: work, record: record, slots: make(chan struct{}, slotsOfInstance)}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	created.server = &http.Server{Handler: created}
	go func() { _ = created.server.Serve(listener) }()
	return created, nil
}

func (i *instance) close() { _ = i.server.Close() }

// ServeHTTP serves a request or a health check.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(headerInstance, i.id)
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if id == "" {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != i.id {
		w.Header().Set(headerInstance, i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	bytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // the request did not arrive whole
	}
	if !i.acquire(r.Context()) {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		i.record.printf("instance %s rejects %s: full", i.id, id)
		return
	}
	defer func() { <-i.slots }()
	i.execute(w, r, id, bytes)
}

func (i *instance) acquire(ctx context.Context) bool {
	i.mutex.Lock()
	if i.waiting >= queueOfInstance {
		i.mutex.Unlock()
		return false
	}
	i.waiting++
	i.mutex.Unlock()
	defer func() {
		i.mutex.Lock()
		i.waiting--
		i.mutex.Unlock()
	}()
	select {
	case i.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (i *instance) execute(w http.ResponseWriter, r *http.Request, id string, bytes int64) {
	started := &run{
		id: id, method: r.Method, target: r.RequestURI, caller: r.Header.Get(headerCaller), service: i.service, instance: i.id,
		bytes: bytes, began: time.Now(),
	}
	i.mutex.Lock()
	i.runs = append(i.runs, started)
	i.mutex.Unlock()
	i.record.printf("instance %s (%s) runs %s: %s %s, %d bytes, caller service %s", i.id, i.service, id, r.Method, r.RequestURI, bytes, started.caller)
	timer := time.NewTimer(i.work)
	defer timer.Stop()
	cancelled := false
	select {
	case <-timer.C:
		w.Header().Set(headerStamp, i.id+"."+id)
		_, _ = io.WriteString(w, answerBody(id))
	case <-r.Context().Done():
		cancelled = true
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	started.finished, started.cancelled = !cancelled, cancelled
	if cancelled {
		i.record.printf("instance %s drops %s: its connection closed", i.id, id)
	}
}

// answerBody is the body of the proper answer to a request.
func answerBody(id string) string { return "the answer to " + id + "\n" }

// runsOf returns copies of the runs of a request.
func (i *instance) runsOf(id string) (found []run) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, each := range i.runs {
		if each.id == id {
			found = append(found, *each)
		}
	}
	return found
}

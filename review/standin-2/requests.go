package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// sent is one request of a client, with its answer.
type sent struct {
	id      string
	machine *machine
	at      time.Time
	ended   time.Time
	status  int // zero: no complete answer
	stamp   string
	err     error
}

// load sends requests from the clients of machines.
type load struct {
	method, path   string
	deadlineMillis int
	next           atomic.Int64
	mutex          sync.Mutex
	requests       map[string]*sent
	sending        sync.WaitGroup
}

// run sends requests of the machine's clients at even intervals until the context ends.
func (l *load) run(ctx context.Context, m *machine, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sending.Go(func() { l.send(m) })
		}
	}
}

func (l *load) send(m *machine) {
	request := &sent{id: fmt.Sprintf("%02d%06d", m.number, l.next.Add(1)), machine: m, at: time.Now()}
	l.mutex.Lock()
	l.requests[request.id] = request
	l.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(l.deadlineMillis)*time.Millisecond)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(ctx, l.method, m.outbound(l.path+request.id), bytes.NewReader([]byte("body of "+request.id)))
	if err != nil {
		panic(err) // the URL is valid
	}
	outgoing.Host = host
	outgoing.Header.Set(instance.HeaderID, request.id)
	outgoing.Header.Set(instance.HeaderDeadline, strconv.Itoa(l.deadlineMillis))
	response, err := m.client.Do(outgoing)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	request.ended, request.err = time.Now(), err
	if err == nil {
		request.status, request.stamp = response.StatusCode, response.Header.Get(instance.HeaderStamp)
	}
}

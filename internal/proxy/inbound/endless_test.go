package inbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// TestEndlessResponsesAreNotKept guards against a node that keeps bytes without end in memory: a backend answers requests,
// and the requests for its reports, without end, to senders that read, that do not and that leave. What is no
// response ends by itself; a body goes on until the sender leaves.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const machineBytes = 184 << 20 // the memory of the smallest machines of the deployments
	const readBytes = 4 << 20
	piece := strings.Repeat("x", 16<<10)
	for name, row := range map[string]struct {
		start, piece string
		// body is set if the bytes belong to the body of a response.
		body bool
	}{
		"no response":             {"", piece, false},
		"a status line":           {"HTTP/1.1 200 ", piece, false},
		"a header field":          {head + "X: ", piece, false},
		"header fields":           {head, "X: y\r\n", false},
		"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false},
		"an extension of a chunk": {chunked + "1;", piece, true},
		"a trailer":               {chunked + "0\r\nX: ", piece, true},
		"a body without a length": {head + "\r\n", piece, true},
		"a body of a huge length": {head + "Content-Length: 999999999999\r\n\r\n", piece, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			emulated := &instance.Instance{
				Plan: func(string) instance.Fault { return instance.Endless }, RawHealth: row.start, EndlessHealth: row.piece,
				EndlessAnswer: func(string) (string, string) { return row.start, row.piece },
			}
			address, err := emulated.Start()
			c.Assert(err, qt.IsNil)
			c.Cleanup(emulated.Close)
			configured := plainSettings()
			configured.HealthPath, configured.LoadPath = instance.HealthPath, "/load"
			r := newRigForAddress(t, address, configured)
			r.run()
			peak := watchHeap(t)
			var senders sync.WaitGroup
			for sender := range configured.Slots {
				senders.Go(func() {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					response, err := r.client.Do(r.request(ctx, http.MethodGet, "/bookings", ""))
					if !row.body {
						c.Check(err == nil && response.StatusCode == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%v", err))
					}
					if err != nil {
						return
					}
					defer func() { _ = response.Body.Close() }()
					if sender%2 == 0 {
						count, err := io.CopyN(io.Discard, response.Body, readBytes)
						c.Check(count == readBytes || !errors.Is(err, io.EOF) || !row.body, qt.IsTrue, qt.Commentf("%d bytes, %v", count, err))
					}
				})
			}
			senders.Wait()
			c.Check(peak() < machineBytes, qt.IsTrue, qt.Commentf("%d MB", peak()>>20))
		})
	}
}

// watchHeap returns a function that returns the largest size of the heap seen so far.
func watchHeap(t *testing.T) (peak func() uint64) {
	var most atomic.Uint64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			most.Store(max(most.Load(), now.HeapInuse))
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-ended
	})
	return most.Load
}

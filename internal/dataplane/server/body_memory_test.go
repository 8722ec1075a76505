package server_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
)

const bodyMemory = 1 << 20

// bodyServer runs requests until they are let go, with little memory for bodies.
type bodyServer struct {
	url     string
	running chan string
	letGo   chan struct{}
}

func newBodyServer(t *testing.T) *bodyServer {
	b := &bodyServer{running: make(chan string, 16), letGo: make(chan struct{})}
	created := server.New(server.Options{
		Handler: handler(func(_ context.Context, request *message.Request) *message.Response {
			b.running <- request.ID
			<-b.letGo
			return message.Whole(http.StatusOK, nil, request.Body)
		}),
		RequestID: idHeader, BodyMemory: bodyMemory,
		Limits: func() server.Limits {
			return server.Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 8 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Refuse: func(status int, reason string) *message.Response { return message.Whole(status, nil, []byte(reason)) },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = created.Serve(listener) }()
	t.Cleanup(created.Close)
	b.url = "http://" + listener.Addr().String()
	return b
}

// post sends a body, in chunks or with its length, and returns the answer and its body.
func (b *bodyServer) post(c *qt.C, id string, body []byte, chunked bool) (status int, answer []byte) {
	var reader io.Reader = bytes.NewReader(body)
	if chunked {
		reader = io.MultiReader(reader) // hides the length
	}
	request, err := http.NewRequest(http.MethodPost, b.url, reader)
	c.Assert(err, qt.IsNil)
	request.Header.Set(idHeader, id)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	answer, err = io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode, answer
}

// TestHeldBodiesAreBounded guards against bodies that take the process over its memory: those in chunks count
// as those with a length do, and each counts until its request is answered. Small bodies pass meanwhile, and a
// body finds memory again once there is some.
func TestHeldBodiesAreBounded(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(map[bool]string{false: "with a length", true: "in chunks"}[chunked], func(t *testing.T) {
			c := qt.New(t)
			b := newBodyServer(t)
			large := bytes.Repeat([]byte("0123456789abcdef"), 600<<10/16)
			results := make(chan int, 2)
			go func() {
				status, _ := b.post(c, "held", large, chunked)
				results <- status
			}()
			c.Assert(<-b.running, qt.Equals, "held")
			status, _ := b.post(c, "refused", large, chunked)
			c.Check(status, qt.Equals, http.StatusServiceUnavailable)
			go func() {
				status, _ := b.post(c, "small", large[:60<<10], chunked)
				results <- status
			}()
			c.Assert(<-b.running, qt.Equals, "small")
			close(b.letGo)
			c.Check([]int{<-results, <-results}, qt.DeepEquals, []int{http.StatusOK, http.StatusOK})
			status, answer := b.post(c, "later", large, chunked)
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(bytes.Equal(answer, large), qt.IsTrue)
		})
	}
}

// TestLargestBodyIsServed checks that a body within the limits is served although it is larger than the memory
// for bodies, as long as there is no other one.
func TestLargestBodyIsServed(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		c := qt.New(t)
		b := newBodyServer(t)
		close(b.letGo)
		largest := bytes.Repeat([]byte("x"), 8<<20)
		for range 2 {
			status, answer := b.post(c, "1", largest, chunked)
			c.Check(status, qt.Equals, http.StatusOK)
			c.Check(bytes.Equal(answer, largest), qt.IsTrue)
		}
		status, _ := b.post(c, "2", append(largest, 'x'), chunked)
		c.Check(status, qt.Equals, http.StatusRequestEntityTooLarge)
	}
}

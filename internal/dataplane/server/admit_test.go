package server_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
)

const paceHeader = "X-Pace"

// newAdmittingServer starts a server that asks admit whether to accept a request's body and
// replies with the body's length. It returns a pool of connections to the server.
func newAdmittingServer(t *testing.T, admit func(ctx context.Context, request *message.Request, bytes int64) server.Admission) *client.Pool {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	created := server.New(server.Options{
		Handler: handlerFunc(func(_ context.Context, request *message.Request) *message.Response {
			return message.Whole(http.StatusOK, nil, []byte(strconv.Itoa(len(request.Body))))
		}),
		Limits: func() server.Limits {
			return server.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Admit:  admit,
		Refuse: func(status int, reason string) *message.Response { return message.Whole(status, nil, []byte(reason)) },
	})
	go func() { _ = created.Serve(listener) }()
	t.Cleanup(created.Close)
	pool := client.NewPool(client.Options{
		Address: listener.Addr().String(), ConnectTimeout: time.Minute, IdleTimeout: time.Minute,
		RunsOnlyComplete: true, PaceHeader: paceHeader,
	})
	t.Cleanup(pool.Close)
	return pool
}

type handlerFunc func(ctx context.Context, request *message.Request) *message.Response

// Serve calls the function.
func (f handlerFunc) Serve(ctx context.Context, request *message.Request) *message.Response {
	return f(ctx, request)
}

func upload(size int) *client.Request {
	return &client.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), size), ExpectContinue: true,
	}
}

// TestAdmittedBody: an admitted body is received completely, and its admission is released.
func TestAdmittedBody(t *testing.T) {
	c := qt.New(t)
	ended := make(chan bool, 1)
	pool := newAdmittingServer(t, func(_ context.Context, _ *message.Request, bytes int64) server.Admission {
		c.Check(bytes, qt.Equals, int64(100_000))
		return server.Admission{Interim: server.InterimHeader(paceHeader, "100000000"), Release: func(whole bool) { ended <- whole }}
	})
	for range 2 { // on one connection
		response, err := pool.Do(context.Background(), upload(100_000))
		c.Assert(err, qt.IsNil)
		body, whole, err := response.Buffer()
		c.Assert(err, qt.IsNil)
		c.Check(whole, qt.IsTrue)
		c.Check(string(body), qt.Equals, "100000")
		c.Check(<-ended, qt.IsTrue)
		c.Check(response.Close(), qt.IsNil)
	}
	c.Check(pool.Open(), qt.Equals, 1)
}

// TestRefusedBodyIsNotSent: a refused body is not sent, and the connection is reused.
func TestRefusedBodyIsNotSent(t *testing.T) {
	c := qt.New(t)
	refuses := true
	pool := newAdmittingServer(t, func(context.Context, *message.Request, int64) server.Admission {
		if refuses {
			return server.Admission{Refusal: message.Whole(http.StatusServiceUnavailable, nil, nil)}
		}
		return server.Admission{}
	})
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusOK} {
		refuses = want != http.StatusOK
		response, err := pool.Do(context.Background(), upload(100_000))
		c.Assert(err, qt.IsNil)
		c.Check(response.Status, qt.Equals, want)
		response.Discard()
	}
	c.Check(pool.Open(), qt.Equals, 1)
}

// TestClientLeavesDuringAdmission: the wait ends immediately, and the request does not run.
func TestClientLeavesDuringAdmission(t *testing.T) {
	c := qt.New(t)
	asked, left := make(chan struct{}), make(chan struct{})
	pool := newAdmittingServer(t, func(ctx context.Context, _ *message.Request, _ int64) server.Admission {
		close(asked)
		<-ctx.Done()
		close(left)
		return server.Admission{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := pool.Do(ctx, upload(100_000))
		failed <- err
	}()
	<-asked
	cancel()
	<-left
	var failure *client.Error
	c.Assert(<-failed, qt.ErrorAs, &failure)
	c.Check(failure.Progress, qt.Equals, client.SentPart)
}

// TestIncompleteBodyReleasesAdmission: the admission is released when the client leaves within
// the body.
func TestIncompleteBodyReleasesAdmission(t *testing.T) {
	c := qt.New(t)
	admitted, ended := make(chan struct{}), make(chan bool, 1)
	pool := newAdmittingServer(t, func(context.Context, *message.Request, int64) server.Admission {
		close(admitted)
		// So slow that the body never becomes complete.
		return server.Admission{Interim: server.InterimHeader(paceHeader, "1"), Release: func(whole bool) { ended <- whole }}
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := pool.Do(ctx, upload(100_000))
		failed <- err
	}()
	<-admitted
	cancel()
	var failure *client.Error
	c.Assert(<-failed, qt.ErrorAs, &failure)
	c.Check(failure.Progress == client.SentWhole, qt.IsFalse)
	c.Check(<-ended, qt.IsFalse)
}

// TestBodySentWithoutWaiting: when a client does not wait for 100 (Continue), the body of its
// refused request is not taken for another request.
func TestBodySentWithoutWaiting(t *testing.T) {
	c := qt.New(t)
	asked := make(chan struct{}, 8)
	pool := newAdmittingServer(t, func(context.Context, *message.Request, int64) server.Admission {
		asked <- struct{}{}
		return server.Admission{Refusal: message.Whole(http.StatusServiceUnavailable, nil, nil)}
	})
	conn, err := net.Dial("tcp", pool.Address())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	smuggled := "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello"
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", len(smuggled), smuggled)
	c.Assert(err, qt.IsNil)
	<-asked
	_, err = io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Check(asked, qt.HasLen, 0)
}

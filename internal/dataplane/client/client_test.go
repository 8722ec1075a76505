package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

func newPool(t *testing.T, emulated *instance.Instance) *client.Pool {
	address, err := emulated.Start()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(emulated.Close)
	pool := client.NewPool(client.Options{
		Address: address, IDHeader: instance.HeaderID, ConnectTimeout: 10 * time.Second, IdleTimeout: time.Minute,
	})
	t.Cleanup(pool.Close)
	return pool
}

// ask sends one request and returns its complete response.
func ask(ctx context.Context, pool *client.Pool, id, body string) (status int, answer string, err error) {
	response, err := pool.Do(ctx, &client.Request{
		Method: http.MethodPost, Target: "/t", Host: "h.example", ID: id, Body: []byte(body),
		Header: http.Header{instance.HeaderID: {id}},
	})
	if err != nil {
		return 0, "", err
	}
	read, err := io.ReadAll(response.Body)
	_ = response.Close()
	return response.Status, string(read), err
}

// TestInvalidResponses: a request gets the complete response to itself, or an error, and no
// part of the response reaches the next request.
func TestInvalidResponses(t *testing.T) {
	rows := map[string]struct {
		fault instance.Fault
		// status is 0 where the response must not look complete.
		status int
		// connections is how many both requests need.
		connections int
	}{
		"proper":                     {instance.None, 200, 1},
		"lost":                       {instance.Lost, 0, 2},
		"lost with a reset":          {instance.LostReset, 0, 2},
		"cut in the body":            {instance.Cut, 0, 2},
		"without a length":           {instance.Unframed, 200, 2},
		"without a length and reset": {instance.UnframedReset, 0, 2},
		"a second response after it": {instance.Extra, 200, 2},
		"another's answer before it": {instance.Late, 200, 1},
		"not a response":             {instance.Garbage, 0, 2},
		"rejected":                   {instance.Reject, 503, 1},
		"another instance":           {instance.OtherInstance, 421, 1},
		"closes after":               {instance.CloseAfter, 200, 2},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			emulated := &instance.Instance{Name: "i-1", Plan: func(id string) instance.Fault {
				if id == "first" {
					return row.fault
				}
				return instance.None
			}}
			pool := newPool(t, emulated)
			status, answer, err := ask(context.Background(), pool, "first", "body")
			if row.status == 0 {
				c.Check(err, qt.IsNotNil)
				var failure *client.Error
				if errors.As(err, &failure) {
					c.Check(failure.Progress, qt.Equals, client.SentWhole)
				}
			} else {
				c.Assert(err, qt.IsNil)
				c.Check(status, qt.Equals, row.status)
				if status == 200 {
					c.Check(answer, qt.Equals, instance.Body("first"))
				}
			}
			status, answer, err = ask(context.Background(), pool, "second", "")
			c.Assert(err, qt.IsNil)
			c.Check(status, qt.Equals, 200)
			c.Check(answer, qt.Equals, instance.Body("second"))
			if row.fault != instance.Extra { // the extra bytes may arrive before or after the reuse
				c.Check(emulated.Accepted(), qt.Equals, row.connections)
			}
		})
	}
}

// TestEarlyResponse: a response that arrives while the body is still being sent is returned,
// and the rest of the body does not reach the next request.
func TestEarlyResponse(t *testing.T) {
	c := qt.New(t)
	emulated := &instance.Instance{Name: "i-1", Plan: func(id string) instance.Fault {
		if id == "first" {
			return instance.Early
		}
		return instance.None
	}}
	pool := newPool(t, emulated)
	status, _, err := ask(context.Background(), pool, "first", strings.Repeat("b", 8<<20))
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusRequestEntityTooLarge)
	_, answer, err := ask(context.Background(), pool, "second", "")
	c.Assert(err, qt.IsNil)
	c.Assert(answer, qt.Equals, instance.Body("second"))
	c.Assert(emulated.Runs(), qt.HasLen, 1)
}

// TestUnreachableSendsNothing: without a connection the request counts as not sent.
func TestUnreachableSendsNothing(t *testing.T) {
	c := qt.New(t)
	emulated := &instance.Instance{Name: "i-1"}
	pool := newPool(t, emulated)
	emulated.Close()
	_, _, err := ask(context.Background(), pool, "first", "")
	var failure *client.Error
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Assert(failure.Progress, qt.Equals, client.NotSent)
}

// TestConnectionIsReused: sequential requests share one connection, as each new connection
// costs the instance work.
func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	emulated := &instance.Instance{Name: "i-1"}
	pool := newPool(t, emulated)
	for i := range 20 {
		id := fmt.Sprintf("request-%d", i)
		_, answer, err := ask(context.Background(), pool, id, "")
		c.Assert(err, qt.IsNil)
		c.Assert(answer, qt.Equals, instance.Body(id))
	}
	c.Assert(emulated.Accepted(), qt.Equals, 1)
}

// TestCancelClosesConnection: the server sees the connection close when the context ends.
func TestCancelClosesConnection(t *testing.T) {
	c := qt.New(t)
	began := make(chan struct{})
	left := make(chan struct{})
	emulated := &instance.Instance{Name: "i-1", Work: func(_ string, gone <-chan struct{}) {
		close(began)
		<-gone
		close(left)
	}}
	pool := newPool(t, emulated)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, _, err := ask(ctx, pool, "first", "")
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
	<-left
}

// TestStaleConnection: a server may drop idle connections without notice. A request with a
// limit on the idle time gets a new connection instead.
func TestStaleConnection(t *testing.T) {
	for name, row := range map[string]struct {
		maxRest time.Duration
		lost    bool
	}{
		"any idle time": {0, true},
		"no idle time":  {time.Nanosecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			emulated := &instance.Instance{Name: "i-1"}
			pool := newPool(t, emulated)
			_, _, err := ask(context.Background(), pool, "first", "")
			c.Assert(err, qt.IsNil)
			emulated.ForgetConnections()
			response, err := pool.Do(context.Background(), &client.Request{
				Method: http.MethodPost, Target: "/t", Host: "h.example", ID: "second", MaxIdle: row.maxRest,
				Header: http.Header{instance.HeaderID: {"second"}},
			})
			if row.lost {
				var failure *client.Error
				c.Assert(errors.As(err, &failure), qt.IsTrue)
				c.Check(failure.Progress, qt.Equals, client.SentWhole)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(response.Status, qt.Equals, http.StatusOK)
			c.Check(response.Close(), qt.IsNil)
		})
	}
}

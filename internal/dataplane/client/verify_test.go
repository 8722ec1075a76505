package client_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
)

const verifyIDHeader = "X-Id"

// falteringServer answers every request until it is told to fall silent. It notes the
// targets that it got.
func falteringServer(c *qt.C, silent *atomic.Bool, targets chan<- string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					targets <- request.RequestURI
					if silent.Load() {
						continue
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 204 No Content\r\n%s: %s\r\n\r\n", verifyIDHeader, request.Header.Get(verifyIDHeader))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestSilentServerGetsNoRequest: a server from which nothing came for a while is asked
// whether it is there. One that says nothing has not got the request, which can then be
// sent elsewhere whatever it does (found on days on which nodes lose power: bookings that
// hung on them ended with "may have run").
func TestSilentServerGetsNoRequest(t *testing.T) {
	c := qt.New(t)
	var silent atomic.Bool
	targets := make(chan string, 10)
	pool := client.NewPool(client.Options{
		Address: falteringServer(c, &silent, targets), IDHeader: verifyIDHeader, ConnectTimeout: time.Minute, IdleTimeout: time.Minute,
		VerifyAfter: time.Nanosecond, VerifyTimeout: time.Millisecond,
	})
	c.Cleanup(pool.Close)
	send := func(id string) error {
		response, err := pool.Do(context.Background(), &client.Request{
			Method: http.MethodPost, Target: "/" + id, Host: "h", Header: http.Header{verifyIDHeader: {id}}, ID: id,
		})
		if err == nil {
			response.Discard()
		}
		return err
	}
	silent.Store(true)
	err := send("lost")
	var failure *client.Error
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	c.Check(failure.Progress, qt.Equals, client.NotSent)
	c.Check(<-targets, qt.Equals, client.VerifyTarget)
	c.Check(targets, qt.HasLen, 0)
}

// TestServerThatAnswersGetsTheRequest: the question and the request pass on one connection.
func TestServerThatAnswersGetsTheRequest(t *testing.T) {
	c := qt.New(t)
	var silent atomic.Bool
	targets := make(chan string, 10)
	pool := client.NewPool(client.Options{
		Address: falteringServer(c, &silent, targets), IDHeader: verifyIDHeader, ConnectTimeout: time.Minute, IdleTimeout: time.Minute,
		VerifyAfter: time.Nanosecond, VerifyTimeout: time.Minute,
	})
	c.Cleanup(pool.Close)
	response, err := pool.Do(context.Background(), &client.Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{verifyIDHeader: {"r"}}, ID: "r",
	})
	c.Assert(err, qt.IsNil)
	response.Discard()
	c.Check(<-targets, qt.Equals, client.VerifyTarget)
	c.Check(<-targets, qt.Equals, "/x")
	c.Check(pool.Open(), qt.Equals, 1)
}

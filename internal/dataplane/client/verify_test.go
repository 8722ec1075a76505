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

// newSilenceableServer starts a server that answers every request until silent is set, sends
// the target of each request to targets, and returns its address.
func newSilenceableServer(c *qt.C, silent *atomic.Bool, targets chan<- string) string {
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

// TestFailedLivenessCheckSendsNoRequest: a server that sent nothing for a while gets a
// liveness check first. If the check fails, the request was not sent and can be sent
// elsewhere, even if it is not idempotent. Without the check, a request to a node that lost
// power would hang and count as possibly run.
func TestFailedLivenessCheckSendsNoRequest(t *testing.T) {
	c := qt.New(t)
	var silent atomic.Bool
	targets := make(chan string, 10)
	pool := client.NewPool(client.Options{
		Address: newSilenceableServer(c, &silent, targets), IDHeader: verifyIDHeader, ConnectTimeout: time.Minute, IdleTimeout: time.Minute,
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

// TestRequestFollowsLivenessCheck: the check and the request use the same connection.
func TestRequestFollowsLivenessCheck(t *testing.T) {
	c := qt.New(t)
	var silent atomic.Bool
	targets := make(chan string, 10)
	pool := client.NewPool(client.Options{
		Address: newSilenceableServer(c, &silent, targets), IDHeader: verifyIDHeader, ConnectTimeout: time.Minute, IdleTimeout: time.Minute,
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

package client_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
)

// TestProgressOfLargeBody: a server that closes the connection after it received the whole body
// may have run the request; if it closes before and runs only complete requests, it has not.
func TestProgressOfLargeBody(t *testing.T) {
	const size = 200_000
	for name, row := range map[string]struct {
		continues, takesBody, wholeOnly bool
		want                            client.Progress
	}{
		"no 100 Continue":                       {false, false, true, client.SentPart},
		"closed within the body":                {true, false, true, client.SentPart},
		"closed within the body, runs parts":    {true, false, false, client.SentWhole},
		"closed after the body":                 {true, true, true, client.SentWhole},
		"closed after the body, may run before": {true, true, false, client.SentWhole},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil || !row.continues {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
				if row.takesBody {
					_, _ = io.CopyN(io.Discard, reader, size)
				}
			}()
			pool := client.NewPool(client.Options{
				Address: listener.Addr().String(), ConnectTimeout: time.Minute, RunsOnlyComplete: row.wholeOnly,
			})
			defer pool.Close()
			_, err = pool.Do(context.Background(), &client.Request{
				Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ExpectContinue: true,
				// More than the connection's buffers can hold, unless the server reads it.
				Body: bytes.Repeat([]byte("x"), map[bool]int{true: size, false: 64 << 20}[row.takesBody]),
			})
			var failure *client.Error
			c.Assert(err, qt.ErrorAs, &failure)
			c.Check(failure.Progress, qt.Equals, row.want)
		})
	}
}

// TestCancelDropsUnsentBody: when the caller cancels, the unsent rest of the body is dropped,
// so that the server does not receive the complete request later.
func TestCancelDropsUnsentBody(t *testing.T) {
	const size = 64 << 20 // more than the connection's buffers can hold
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	continued, left, got := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			got <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = reader.Peek(1)
		close(continued)
		<-left // continues to read only now, like a slow link
		_, err = io.Copy(io.Discard, reader)
		got <- err
	}()
	pool := client.NewPool(client.Options{Address: listener.Addr().String(), ConnectTimeout: time.Minute, RunsOnlyComplete: true})
	defer pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-continued
		cancel()
	}()
	_, err = pool.Do(ctx, &client.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ExpectContinue: true, Body: make([]byte, size),
	})
	c.Assert(err, qt.IsNotNil)
	close(left)
	c.Check(<-got, qt.ErrorMatches, ".*reset by peer.*")
}

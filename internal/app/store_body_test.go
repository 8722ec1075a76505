package app

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// uploadBytes is the largest body that the users' documentation mentions.
const uploadBytes = 360_000

// upload sends a request with a large body to the node of a machine.
func (r *storeHarness) upload(index int, path, id string, body []byte) answer {
	r.c.Helper()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", r.machines[index].ip, r.outbound, path), bytes.NewReader(body))
	r.c.Assert(err, qt.IsNil)
	request.Host, request.Close = "h.example", true
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, "60000")
	response, err := http.DefaultClient.Do(request)
	r.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	r.c.Assert(err, qt.IsNil)
	return answer{response.StatusCode, response.Header, string(content)}
}

// TestStoreLargeBody checks that a large body of a request that may not be repeated
// arrives whole and unchanged through two nodes, and that the request runs at most once
// however the instance fails.
func TestStoreLargeBody(t *testing.T) {
	for name, row := range map[string]struct {
		fault  instance.Fault
		status int
		runs   int
	}{
		"none":                      {instance.None, http.StatusOK, 1},
		"answered before body ends": {instance.Early, http.StatusRequestEntityTooLarge, 0},
		"answer lost":               {instance.Lost, http.StatusBadGateway, 1},
		"answer lost with a reset":  {instance.LostReset, http.StatusBadGateway, 1},
		"rejected, sent to another": {instance.Reject, http.StatusOK, 1},
		"fails":                     {instance.Fails, http.StatusInternalServerError, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Bool
			r := newStoreHarness(t, []string{"front", "data", "data"}, func(_ int, emulated *instance.Instance) {
				emulated.Plan = func(string) instance.Fault {
					if first.CompareAndSwap(false, true) {
						return row.fault
					}
					return instance.None
				}
			})
			r.startAll()
			body := bytes.Repeat([]byte("0123456789"), uploadBytes/10)
			got := r.upload(0, "/write/x", "upload", body)
			r.c.Check(got.status, qt.Equals, row.status)
			runs := r.runs("upload")
			r.c.Assert(runs, qt.HasLen, row.runs)
			if row.runs > 0 {
				r.c.Check(runs[0].Body == string(body), qt.IsTrue)
			}
		})
	}
}

// TestStoreBodyOverTheLimit checks that a body over the limit is refused with 413 and the
// request runs nowhere.
func TestStoreBodyOverTheLimit(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data"}, nil)
	r.startAll()
	conn, err := net.Dial("tcp", net.JoinHostPort(r.machines[0].ip, strconv.Itoa(r.outbound)))
	r.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: h.example\r\n%s: upload\r\nContent-Length: %d\r\n\r\n", instance.HeaderID, 2<<20)
	r.c.Assert(err, qt.IsNil)
	response, err := io.ReadAll(conn)
	r.c.Assert(err, qt.IsNil)
	r.c.Check(strings.HasPrefix(string(response), "HTTP/1.1 413 "), qt.IsTrue, qt.Commentf("%q", response))
	r.c.Check(r.runs("upload"), qt.HasLen, 0)
}

// TestStoreCallerStopsInBody checks that a request whose caller disconnects halfway
// through the body runs nowhere, and that other requests are still served.
func TestStoreCallerStopsInBody(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data"}, nil)
	r.startAll()
	conn, err := net.Dial("tcp", net.JoinHostPort(r.machines[0].ip, strconv.Itoa(r.outbound)))
	r.c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: h.example\r\n%s: half\r\nContent-Length: %d\r\n\r\n%s",
		instance.HeaderID, uploadBytes, strings.Repeat("x", uploadBytes/2))
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(conn.Close(), qt.IsNil)
	got := r.upload(0, "/write/x", "whole", bytes.Repeat([]byte("y"), uploadBytes))
	r.c.Check(got.status, qt.Equals, http.StatusOK)
	r.c.Check(r.runs("half"), qt.HasLen, 0)
	r.c.Check(r.runs("whole"), qt.HasLen, 1)
}

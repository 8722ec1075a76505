package app

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// longUploadBytes is the size of a body that is still being written when its answer ends.
const longUploadBytes = 4 << 20

// trySend sends a request to the node of a machine and returns an error if the answer is not complete.
func (r *storeHarness) trySend(index int, method, path, id string, body []byte) (answer, error) {
	r.c.Helper()
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", r.machines[index].ip, r.outbound, path), bytes.NewReader(body))
	r.c.Assert(err, qt.IsNil)
	request.Host, request.Close = "h.example", true
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, "60000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(content)}, err
}

// TestStoreEarlyUnframedAnswer guards against a client that gets the part of an answer as all of it, through its own
// node alone and through two nodes: the instance answers a long upload without a length, and resets or closes the
// connection while the upload is being written. Short answers are held by the node until they are complete, long
// ones are passed on as they arrive.
func TestStoreEarlyUnframedAnswer(t *testing.T) {
	const tries = 4
	for name, row := range map[string]struct {
		fault     instance.Fault
		bodyBytes int
		sender    int
	}{
		"reset, two nodes":             {instance.EarlyUnframedReset, 3_000, 0},
		"reset, one node":              {instance.EarlyUnframedReset, 3_000, 1},
		"closed, two nodes":            {instance.EarlyUnframedClose, 3_000, 0},
		"reset, long answer":           {instance.EarlyUnframedReset, 1_500_000, 0},
		"reset, long answer, one node": {instance.EarlyUnframedReset, 1_500_000, 1},
		"closed, long answer":          {instance.EarlyUnframedClose, 1_500_000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStoreHarness(t, []string{"front", "data"}, func(_ int, emulated *instance.Instance) {
				emulated.EarlyDelay = 10 * time.Millisecond
				emulated.Plan = func(string) instance.Fault { return row.fault }
				emulated.BodyOf = func(string) string { return strings.Repeat("p", row.bodyBytes) }
			})
			content := strings.Replace(fmt.Sprintf(configurationOf, 2, ""), `"maxBodyBytes":1048576`, fmt.Sprintf(`"maxBodyBytes":%d`, longUploadBytes), 1)
			r.store.Put("op/config", []byte(content))
			r.startAll()
			for try := range tries {
				got, err := r.trySend(row.sender, http.MethodPost, "/write/x", fmt.Sprintf("upload-%d", try), make([]byte, longUploadBytes))
				r.c.Check(err != nil || got.status == http.StatusBadGateway, qt.IsTrue,
					qt.Commentf("status %d with %d bytes", got.status, len(got.body)))
			}
		})
	}
}

// TestStoreMalformedAnswers guards against an answer that violates the protocol and reaches the client, through its own
// node alone and through two nodes.
func TestStoreMalformedAnswers(t *testing.T) {
	const ok, framed = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok"
	const fields = instance.HeaderID + ": %s\r\n" + instance.HeaderStamp + ": i-1\r\n"
	for name, row := range map[string]struct {
		sent  string
		valid bool
	}{
		"proper":                           {ok + fields + framed, true},
		"status 000":                       {"HTTP/1.1 000 Odd\r\n" + fields + framed, false},
		"status 099":                       {"HTTP/1.1 099 Odd\r\n" + fields + framed, false},
		"status 600":                       {"HTTP/1.1 600 Odd\r\n" + fields + framed, false},
		"version 3.7":                      {"HTTP/3.7 200 OK\r\n" + fields + framed, false},
		"a blank in a name":                {ok + fields + "Foo Bar: x\r\n" + framed, false},
		"a blank before the colon":         {ok + fields + "Content-Length : 2\r\n\r\nok", false},
		"a control byte in a name":         {ok + fields + "Fo\x01o: x\r\n" + framed, false},
		"a control byte in a value":        {ok + fields + "Foo: a\x01b\r\n" + framed, false},
		"a blank in a trailer's name":      {ok + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n", false},
		"a control byte in a long trailer": {ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(1_500_000) + "0\r\nX\x01Sum: 1\r\n\r\n", false},
		"a blank in a long trailer":        {ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(1_500_000) + "0\r\nX Sum: 1\r\n\r\n", false},
		"a blank in an event's trailer": {ok + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			chunkOf(10) + "0\r\nX Sum: 1\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newStoreHarness(t, []string{"front", "data"}, func(_ int, emulated *instance.Instance) {
				emulated.Plan = func(string) instance.Fault { return instance.Raw }
				emulated.RawAnswer = func(id string) string { return fmt.Sprintf(row.sent, id) }
			})
			r.startAll()
			for sender := range r.machines {
				got, err := r.trySend(sender, http.MethodGet, "/write/x", fmt.Sprintf("from-%d", sender), nil)
				if row.valid {
					r.c.Assert(err, qt.IsNil)
					r.c.Check(got.status, qt.Equals, http.StatusOK)
					r.c.Check(got.body, qt.Equals, "ok")
					continue
				}
				r.c.Check(err != nil || got.status == http.StatusBadGateway && got.header.Get(instance.HeaderStamp) == "", qt.IsTrue,
					qt.Commentf("status %d with %d bytes, %v", got.status, len(got.body), got.header))
			}
		})
	}
}

// chunkOf returns a chunk of that many bytes.
func chunkOf(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("c", bytes)) }

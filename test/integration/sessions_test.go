package integration

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// session is a long-lived exchange through edge-1. step transfers some bytes and checks
// them, which shows that the session is still alive. end ends it regularly and checks the
// remaining bytes.
type session struct {
	name string
	step func(t *testing.T)
	end  func(t *testing.T)
}

// sessionChanges is the number of configuration changes during the sessions.
const sessionChanges = 20

// TestSessions keeps server-sent events, streamed bodies in both directions and an upgraded
// connection open during configuration changes and planned restarts of the other nodes.
// None of these long-lived sessions may be dropped.
func TestSessions(t *testing.T) {
	t.Parallel()
	running := startMesh(t)
	ctx := testContext(t)
	entry := running.Node("edge-1").Outbound()
	sessions := []session{openEvents(ctx, t, entry), openDownload(ctx, t, entry), openUpload(ctx, t, entry), openUpgrade(ctx, t, entry)}
	stepAll := func() {
		for _, open := range sessions {
			open.step(t)
		}
	}
	stepAll()
	// The route prefers the caller's zone, so all sessions are on one node. Bytes written to
	// the upload may not have arrived yet.
	qt.Assert(t, running.Backend(targetNode).Journal().AwaitStarted(ctx, len(sessions)), qt.IsNil)
	for change := range sessionChanges {
		revision := publishChange(t, running)
		_, err := running.AwaitRevision(ctx, revision)
		qt.Assert(t, err, qt.IsNil)
		stepAll()
		if change == sessionChanges/2 {
			restartOthers(ctx, t, running, stepAll)
		}
	}
	for _, open := range sessions {
		open.end(t)
	}
}

// restartOthers stops and starts each node that carries no session.
func restartOthers(ctx context.Context, t *testing.T, running *mesh.Mesh, stepAll func()) {
	for _, name := range []string{"edge-2", "booking-2"} {
		node := running.Node(name)
		qt.Assert(t, node.Stop(ctx), qt.IsNil)
		stepAll()
		qt.Assert(t, node.Start(ctx), qt.IsNil)
		qt.Assert(t, running.AwaitComplete(ctx), qt.IsNil)
		stepAll()
	}
}

// sendRequest sends a request to an entry and returns the response once its header has
// arrived.
func sendRequest(ctx context.Context, t *testing.T, entry, method, path string, body io.Reader, header map[string]string) *http.Response {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, body)
	qt.Assert(t, err, qt.IsNil)
	request.Host = service
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	qt.Assert(t, err, qt.IsNil)
	return response
}

func openEvents(ctx context.Context, t *testing.T, entry string) session {
	response := sendRequest(ctx, t, entry, http.MethodGet, "/events?count=1000000&interval-ms=5", nil, nil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	lines := bufio.NewReader(response.Body)
	number := 0
	return session{
		name: "events",
		step: func(t *testing.T) {
			want := fmt.Sprintf("id: %d\ndata: %s\n\n", number, backend.Checksum([]byte(strconv.Itoa(number))))
			got := make([]byte, len(want))
			_, err := io.ReadFull(lines, got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, want)
			number++
		},
		end: func(t *testing.T) { qt.Assert(t, response.Body.Close(), qt.IsNil) },
	}
}

func openDownload(ctx context.Context, t *testing.T, entry string) session {
	const size, chunk = 1 << 20, 4 << 10
	path := fmt.Sprintf("/download?bytes=%d&chunk=%d&interval-ms=20", size, chunk)
	response := sendRequest(ctx, t, entry, http.MethodGet, path, nil, map[string]string{backend.HeaderRequest: "download"})
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	rest := backend.Pattern("download", size)
	return session{
		name: "download",
		step: func(t *testing.T) {
			got := make([]byte, chunk)
			_, err := io.ReadFull(response.Body, got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(got, rest[:chunk]), qt.IsTrue)
			rest = rest[chunk:]
		},
		end: func(t *testing.T) {
			got, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(got, rest), qt.IsTrue)
			qt.Assert(t, response.Body.Close(), qt.IsNil)
		},
	}
}

func openUpload(ctx context.Context, t *testing.T, entry string) session {
	reader, writer := io.Pipe()
	answers := make(chan *http.Response, 1)
	failures := make(chan error, 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/upload", reader)
	qt.Assert(t, err, qt.IsNil)
	request.Host = service
	go func() {
		response, err := http.DefaultTransport.RoundTrip(request)
		answers <- response
		failures <- err
	}()
	var sent bytes.Buffer
	return session{
		name: "upload",
		step: func(t *testing.T) {
			piece := backend.Pattern("upload"+strconv.Itoa(sent.Len()), smallBody)
			_, err := writer.Write(piece)
			qt.Assert(t, err, qt.IsNil)
			sent.Write(piece)
		},
		end: func(t *testing.T) {
			qt.Assert(t, writer.Close(), qt.IsNil)
			response := <-answers
			qt.Assert(t, <-failures, qt.IsNil)
			got, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, fmt.Sprintf(`{"bytes":%d,"checksum":%q}`, sent.Len(), backend.Checksum(sent.Bytes())))
			qt.Assert(t, response.Body.Close(), qt.IsNil)
		},
	}
}

func openUpgrade(ctx context.Context, t *testing.T, entry string) session {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", entry)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	deadline, _ := ctx.Deadline()
	qt.Assert(t, conn.SetDeadline(deadline), qt.IsNil)
	_, err = fmt.Fprintf(conn, "GET /upgrade HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", service, backend.UpgradeProtocol)
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusSwitchingProtocols)
	round := 0
	return session{
		name: "upgrade",
		step: func(t *testing.T) {
			round++
			want := strings.Repeat(fmt.Sprintf("round %d;", round), 100)
			_, err := io.WriteString(conn, want)
			qt.Assert(t, err, qt.IsNil)
			got := make([]byte, len(want))
			_, err = io.ReadFull(reader, got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, want)
		},
		end: func(t *testing.T) { qt.Assert(t, conn.Close(), qt.IsNil) },
	}
}

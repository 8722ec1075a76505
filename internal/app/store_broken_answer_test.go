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

// tryUpload sends a long body to the node of a machine and returns an error if the answer is not complete.
func (r *storeHarness) tryUpload(index int, path, id string) (answer, error) {
	r.c.Helper()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", r.machines[index].ip, r.outbound, path), bytes.NewReader(make([]byte, longUploadBytes)))
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
				got, err := r.tryUpload(row.sender, "/write/x", fmt.Sprintf("upload-%d", try))
				r.c.Check(err != nil || got.status == http.StatusBadGateway, qt.IsTrue,
					qt.Commentf("status %d with %d bytes", got.status, len(got.body)))
			}
		})
	}
}

package outbound_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// addRawInstance adds an instance with a real inbound proxy, whose backend answers each request with the fault.
func (r *harness) addRawInstance(name string, emulated *instance.Instance, fault instance.Fault) {
	emulated.Name, emulated.Plan = name, func(string) instance.Fault { return fault }
	address, err := emulated.Start()
	r.Assert(err, qt.IsNil)
	r.t.Cleanup(emulated.Close)
	r.addInboundProxy(name, address)
}

// TestEarlyUnframedResponseIsIncomplete guards against a caller that gets the part of a response as all of it: the
// backend answers a long upload without a length, and resets or closes the connection while the upload is
// being written.
func TestEarlyUnframedResponseIsIncomplete(t *testing.T) {
	const tries = 10
	for name, row := range map[string]struct {
		fault instance.Fault
		whole int
	}{
		"reset":                   {instance.EarlyUnframedReset, 0},
		"closed":                  {instance.EarlyUnframedClose, 0},
		"after the body was read": {instance.Unframed, tries},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.configure(nil)
			r.addRawInstance("raw", &instance.Instance{
				EarlyDelay: 10 * time.Millisecond, BodyOf: func(string) string { return strings.Repeat("p", 3_000) },
			}, row.fault)
			whole := 0
			for range tries {
				response, err := r.client.Do(r.request(http.MethodPost, "/bookings", bytes.NewReader(make([]byte, bodyLimit))))
				if err != nil {
					continue
				}
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err == nil && response.StatusCode == http.StatusOK {
					whole++
				}
			}
			r.Check(whole, qt.Equals, row.whole, qt.Commentf("of %d responses", tries))
		})
	}
}

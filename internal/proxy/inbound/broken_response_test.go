package inbound

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// TestEarlyUnframedResponseIsIncomplete guards against a sender that gets the part of a response as all of it: the
// backend answers a long upload without a length, and resets or closes the connection while the upload is
// being written.
func TestEarlyUnframedResponseIsIncomplete(t *testing.T) {
	const uploadBytes, tries = 4 << 20, 20
	for name, row := range map[string]struct {
		fault instance.Fault
		whole int
	}{
		"reset":                   {instance.EarlyUnframedReset, 0},
		"closed":                  {instance.EarlyUnframedClose, 0},
		"after the body was read": {instance.Unframed, tries},
	} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v", name, delay), func(t *testing.T) {
				emulated := &instance.Instance{
					EarlyDelay: delay, Plan: func(string) instance.Fault { return row.fault },
					BodyOf: func(string) string { return strings.Repeat("p", 3_000) },
				}
				address, err := emulated.Start()
				qt.Assert(t, err, qt.IsNil)
				t.Cleanup(emulated.Close)
				r := newRigForAddress(t, address, plainSettings())
				body, whole := strings.Repeat("b", uploadBytes), 0
				for range tries {
					got := r.do(r.request(r.Context(), http.MethodPost, "/bookings", body))
					if got.err == nil && got.StatusCode == http.StatusOK {
						whole++
					}
				}
				r.Check(whole, qt.Equals, row.whole, qt.Commentf("of %d responses", tries))
			})
		}
	}
}

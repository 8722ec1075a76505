package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// TestEarlyUnframedResponseIsIncomplete guards against the part of a response that is taken for all of it: a
// server answers a long upload without a length and ends the connection while the upload is being written, so
// that the writer of the body gets the error of the reset, and the reader a plain end of the stream.
func TestEarlyUnframedResponseIsIncomplete(t *testing.T) {
	const uploadBytes, tries = 4 << 20, 20
	for name, row := range map[string]struct {
		fault instance.Fault
		whole int
	}{
		"reset":                        {instance.EarlyUnframedReset, 0},
		"closed":                       {instance.EarlyUnframedClose, 0},
		"ended, then the body is read": {instance.EarlyUnframedDrain, tries},
		"after the body was read":      {instance.Unframed, tries},
	} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v", name, delay), func(t *testing.T) {
				c := qt.New(t)
				pool := newPool(t, &instance.Instance{Name: "i-1", EarlyDelay: delay, Plan: func(string) instance.Fault { return row.fault }})
				whole := 0
				for range tries {
					response, err := pool.Do(context.Background(), &client.Request{
						Method: http.MethodPost, Target: "/t", Host: "h.example", ID: "q", Body: make([]byte, uploadBytes),
						Header: http.Header{instance.HeaderID: {"q"}},
					})
					if err == nil {
						_, _, err = response.Buffer()
						_ = response.Close()
					}
					var failure *client.Error
					if errors.As(err, &failure) {
						c.Check(failure.Progress, qt.Equals, client.SentWhole)
					}
					if err == nil {
						whole++
					}
				}
				c.Check(whole, qt.Equals, row.whole, qt.Commentf("of %d responses", tries))
			})
		}
	}
}

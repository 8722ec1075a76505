package outbound

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/client"
)

// TestConnectTimeouts: which failures to send may be due to a busy link, and which eject the instance.
func TestConnectTimeouts(t *testing.T) {
	dial := func(cause error) error {
		return eris.Wrap(&net.OpError{Op: "dial", Net: "tcp", Err: cause}, "connect")
	}
	for name, row := range map[string]struct {
		err  error
		want balance.Result
	}{
		"connect timed out":        {&client.Error{Progress: client.NotSent, Err: dial(os.ErrDeadlineExceeded)}, balance.ConnectTimedOut},
		"kernel gave up":           {&client.Error{Progress: client.NotSent, Err: dial(syscall.ETIMEDOUT)}, balance.ConnectTimedOut},
		"liveness check timed out": {&client.Error{Progress: client.NotSent, Err: eris.Wrap(os.ErrDeadlineExceeded, "wait for the response to the liveness check")}, balance.ConnectTimedOut},
		"refused":                  {&client.Error{Progress: client.NotSent, Err: dial(syscall.ECONNREFUSED)}, balance.DeliveryFailed},
		"reset":                    {&client.Error{Progress: client.NotSent, Err: dial(syscall.ECONNRESET)}, balance.DeliveryFailed},
		"no route":                 {&client.Error{Progress: client.NotSent, Err: dial(syscall.EHOSTUNREACH)}, balance.DeliveryFailed},
		"sent in part":             {&client.Error{Progress: client.SentPart, Err: os.ErrDeadlineExceeded}, balance.DeliveryFailed},
		"sent":                     {&client.Error{Progress: client.SentWhole, Err: errors.New("broken")}, balance.DeliveryFailed},
	} {
		t.Run(name, func(t *testing.T) {
			waiting := &exchange{ctx: context.Background()}
			qt.Check(t, waiting.balanceResult(balance.Choice{}, failedSend(row.err)), qt.Equals, row.want)
		})
	}
}

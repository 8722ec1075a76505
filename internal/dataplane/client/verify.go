package client

import (
	"context"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/httpmessage"
)

// A liveness check is an OPTIONS request for the server itself (RFC 9110, section 9.3.7),
// which the server answers immediately.
const (
	VerifyMethod = http.MethodOptions
	VerifyTarget = "*"
	verifyID     = "verify"
	// maxVerifyBytes limits the response to a liveness check, with its body.
	maxVerifyBytes = maxHeadBytes
)

// verify sends a liveness check and waits for its response until the timeout. After an
// error the connection cannot be reused.
func (c *conn) verify(ctx context.Context, timeout time.Duration) error {
	check := &Request{
		Method: VerifyMethod, Target: VerifyTarget, Host: c.pool.options.Address,
		Header: http.Header{}, ID: verifyID,
	}
	if name := c.pool.options.IDHeader; name != "" {
		check.Header[name] = []string{verifyID}
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	if ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
	if failure := c.write(check); failure != nil {
		return eris.Wrap(failure, "send the liveness check")
	}
	c.bound.Set(maxVerifyBytes)
	defer c.bound.Set(math.MaxInt64)
	response, err := httpmessage.ReadResponse(c.reader, VerifyMethod)
	if err != nil {
		return eris.Wrap(err, "wait for the response to the liveness check")
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
		return eris.New("the response to the liveness check closes the connection")
	}
	if !c.matchesRequest(response, check, c.pool.options.IDHeader) {
		return errIDMismatch
	}
	_ = c.SetDeadline(time.Time{})
	if ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
	return nil
}

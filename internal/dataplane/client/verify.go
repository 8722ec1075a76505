package client

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// A liveness check is an OPTIONS request for the server itself (RFC 9110, 9.3.7), which
// the server answers at once.
const (
	VerifyMethod = http.MethodOptions
	VerifyTarget = "*"
	verifyID     = "verify"
)

// verify sends a liveness check and waits at most the timeout for its answer. After an
// error the connection cannot be used again.
func (c *conn) verify(ctx context.Context, timeout time.Duration) error {
	question := &Request{
		Method: VerifyMethod, Target: VerifyTarget, Host: c.pool.options.Address,
		Header: http.Header{}, ID: verifyID,
	}
	if name := c.pool.options.IDHeader; name != "" {
		question.Header[name] = []string{verifyID}
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	if ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
	if failure := c.write(question); failure != nil {
		return eris.Wrap(failure, "send the liveness check")
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: VerifyMethod})
	if err != nil {
		return eris.Wrap(err, "wait for the answer to the liveness check")
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
		return eris.New("the answer to the liveness check closes the connection")
	}
	if !c.belongs(answer, question, c.pool.options.IDHeader) {
		return errStray
	}
	_ = c.SetDeadline(time.Time{})
	if ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
	return nil
}

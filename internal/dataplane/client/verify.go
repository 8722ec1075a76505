package client

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// A server is asked whether it is there by a request that concerns nothing but itself
// (RFC 9110, 9.3.7), which it answers at once.
const (
	VerifyMethod = http.MethodOptions
	VerifyTarget = "*"
	verifyID     = "verify"
)

// verify asks the server whether it is there and waits so long for its word. After an
// error the connection is of no more use.
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
		return eris.Wrap(failure, "ask whether the server is there")
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: VerifyMethod})
	if err != nil {
		return eris.Wrap(err, "await the server's word")
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.Close {
		return eris.New("the server's word closes the connection")
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

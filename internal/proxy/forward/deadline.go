package forward

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// ErrDeadline is the cause of a context that was cancelled at its request's deadline.
var ErrDeadline = eris.New("the deadline of the request has passed")

// LongAgo is a deadline in the past: set on a connection, it interrupts a blocked read
// or write.
var LongAgo = time.Unix(1, 0)

// DeadlinePassed reports whether the deadline of a request has passed, or its context was
// cancelled with ErrDeadline.
func DeadlinePassed(ctx context.Context, deadline time.Time) bool {
	return errors.Is(context.Cause(ctx), ErrDeadline) || !time.Now().Before(deadline)
}

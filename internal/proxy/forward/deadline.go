package forward

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// ErrDeadline is the cause of the end of a context whose request's time is over.
var ErrDeadline = eris.New("the time of the request is over")

// LongAgo as a deadline of a connection ends a read or write that waits.
var LongAgo = time.Unix(1, 0)

// TimeOver reports whether the time of a request is over: by its deadline, or as
// ErrDeadline has ended its context already.
func TimeOver(ctx context.Context, deadline time.Time) bool {
	return errors.Is(context.Cause(ctx), ErrDeadline) || !time.Now().Before(deadline)
}

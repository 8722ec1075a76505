// Package wait holds up a goroutine for a while, or until its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for span and returns nil, or returns ctx's error as soon as ctx has
// ended. A span that is not positive is over at once.
func For(ctx context.Context, span time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if span <= 0 {
		return nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

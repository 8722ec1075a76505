// Package wait blocks a goroutine for a duration, or until its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for duration and returns nil, or returns ctx's error as soon as ctx
// has ended. It returns at once if duration is zero or negative.
func For(ctx context.Context, duration time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

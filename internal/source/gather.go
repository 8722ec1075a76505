package source

import (
	"context"
	"time"
)

// gatherTimeKey is the context key of the gather time.
type gatherTimeKey struct{}

// WithReadInterval returns a context with the minimum interval between two reads of changes.
// Changes that occur within the interval are read together.
func WithReadInterval(parent context.Context, interval time.Duration) context.Context {
	return context.WithValue(parent, gatherTimeKey{}, interval)
}

// ReadInterval returns the minimum interval between two reads of changes, or zero if none is set.
func ReadInterval(ctx context.Context) time.Duration {
	interval, _ := ctx.Value(gatherTimeKey{}).(time.Duration)
	return interval
}

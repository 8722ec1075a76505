package source

import (
	"context"
	"sync"
	"time"
)

// largeKey finds the largeRead of a context, gatherKey how long news are gathered.
type (
	largeKey  struct{}
	gatherKey struct{}
)

// WithGatherTime returns a context for reads that names the least time between two reads of
// news: what comes meanwhile is gathered.
func WithGatherTime(parent context.Context, least time.Duration) context.Context {
	return context.WithValue(parent, gatherKey{}, least)
}

// GatherTime returns the least time between two reads of news; zero: none is named.
func GatherTime(ctx context.Context) time.Duration {
	least, _ := ctx.Value(gatherKey{}).(time.Duration)
	return least
}

// largeRead counts the bytes of reads.
type largeRead struct {
	mutex       sync.Mutex
	each, until int
	large       func()
}

// WhileLarge returns a context whose reads, taken together, call large each time that so many
// bytes more of their answers have come, while the rest is still on its way. It must not block.
func WhileLarge(parent context.Context, bytes int, large func()) context.Context {
	return context.WithValue(parent, largeKey{}, &largeRead{each: bytes, until: bytes, large: large})
}

func (l *largeRead) progress(bytes int) {
	l.mutex.Lock()
	l.until -= bytes
	isLarge := l.until <= 0
	if isLarge {
		l.until = l.each
	}
	l.mutex.Unlock()
	if isLarge {
		l.large()
	}
}

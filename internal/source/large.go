package source

import (
	"context"
	"sync"
)

// largeKey finds the largeRead of a context.
type largeKey struct{}

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

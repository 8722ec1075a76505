package source

import (
	"context"
	"sync"
)

// largeKey finds the largeRead of a context.
type largeKey struct{}

// largeRead counts the bytes of reads until they are many.
type largeRead struct {
	mutex sync.Mutex
	left  int
	large func()
}

// OnceLarge returns a context whose reads, taken together, call large once as soon as so many
// bytes of their answers have come, while the rest is still on its way. It must not block.
func OnceLarge(parent context.Context, bytes int, large func()) context.Context {
	return context.WithValue(parent, largeKey{}, &largeRead{left: bytes, large: large})
}

func (l *largeRead) progress(bytes int) {
	l.mutex.Lock()
	wasSmall := l.left > 0
	l.left -= bytes
	isLarge := wasSmall && l.left <= 0
	l.mutex.Unlock()
	if isLarge {
		l.large()
	}
}

package source

import (
	"context"
	"sync"
)

// byteThresholdKey is the context key of the byteThreshold.
type byteThresholdKey struct{}

// byteThreshold calls reached each time that reads have received step more bytes.
type byteThreshold struct {
	mutex           sync.Mutex
	step, remaining int
	reached         func()
}

// WithByteThreshold returns a context whose reads call reached each time that they have together
// received the given number of further bytes. The call is made while the rest of an answer is
// still being received, so reached must not block.
func WithByteThreshold(parent context.Context, bytes int, reached func()) context.Context {
	return context.WithValue(parent, byteThresholdKey{}, &byteThreshold{step: bytes, remaining: bytes, reached: reached})
}

func (t *byteThreshold) addReceived(bytes int) {
	t.mutex.Lock()
	t.remaining -= bytes
	isReached := t.remaining <= 0
	if isReached {
		t.remaining = t.step
	}
	t.mutex.Unlock()
	if isReached {
		t.reached()
	}
}

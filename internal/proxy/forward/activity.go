package forward

import (
	"context"
	"sync"
)

// Activity counts what is in progress: requests, sessions and what they leave to
// be cleaned up. The zero value has nothing in progress.
type Activity struct {
	mu     sync.Mutex
	active int
	idle   chan struct{} // closed when active falls to 0; nil while it is 0
}

// Begin counts one more.
func (a *Activity) Begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active == 0 {
		a.idle = make(chan struct{})
	}
	a.active++
}

// End counts one less.
func (a *Activity) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.active == 0 {
		close(a.idle)
		a.idle = nil
	}
}

// Active returns how many are in progress.
func (a *Activity) Active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// WaitIdle returns once nothing is in progress, or with ctx's error.
func (a *Activity) WaitIdle(ctx context.Context) error {
	a.mu.Lock()
	idle := a.idle
	a.mu.Unlock()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

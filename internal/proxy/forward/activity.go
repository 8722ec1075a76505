package forward

import (
	"context"
	"sync"
)

// Activity counts the work in progress: requests, sessions and their cleanup. The zero
// value has nothing in progress.
type Activity struct {
	mu     sync.Mutex
	active int
	idle   chan struct{} // closed when active falls to 0; nil while active is 0
}

// Begin adds one to the work in progress.
func (a *Activity) Begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active == 0 {
		a.idle = make(chan struct{})
	}
	a.active++
}

// End subtracts one from the work in progress.
func (a *Activity) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.active == 0 {
		close(a.idle)
		a.idle = nil
	}
}

// Active returns the amount of work in progress.
func (a *Activity) Active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// WaitIdle returns nil once nothing is in progress, or the error of ctx if that ends
// first.
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

package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

// pool keeps one link to each replica in use. A link that was replaced because its
// replica did not reply stays open until it is idle.
type pool struct {
	dial   dialer
	base   context.Context // cancelled by close
	cancel context.CancelFunc

	mu      sync.Mutex
	links   map[address]*link
	closed  bool
	running sync.WaitGroup
}

func newPool(dial dialer) *pool {
	base, cancel := context.WithCancel(context.Background())
	return &pool{dial: dial, base: base, cancel: cancel, links: map[address]*link{}}
}

// ask sends a request to a replica. If the link closes before the reply, as when the
// peer process was replaced, the request is sent once more on a new link: all requests
// are idempotent.
func (p *pool) ask(ctx context.Context, to address, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	reply, err := p.askOnce(ctx, to, request)
	if errors.Is(err, errLinkEnded) && ctx.Err() == nil {
		return p.askOnce(ctx, to, request)
	}
	return reply, err
}

func (p *pool) askOnce(ctx context.Context, to address, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	l := p.linkTo(to)
	if l == nil {
		return nil, errLinkEnded
	}
	return l.ask(ctx, *request)
}

func (p *pool) linkTo(to address) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	existing := p.links[to]
	if existing != nil && existing.usable(time.Now()) {
		return existing
	}
	created := newLink()
	p.links[to] = created
	p.running.Go(func() {
		created.run(p.base, p.dial, to.peer)
		p.forget(to, created)
	})
	return created
}

func (p *pool) forget(to address, ended *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[to] == ended {
		delete(p.links, to)
	}
}

// startTask runs f in a new goroutine, unless the pool is closed. The context ends
// when the pool is closed.
func (p *pool) startTask(f func(ctx context.Context)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.running.Go(func() { f(p.base) })
	}
}

// close closes all links, ends all tasks and waits for them.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.running.Wait()
}

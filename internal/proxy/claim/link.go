package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxInFlight bounds the requests on one link that wait for a reply.
	maxInFlight = 256
	// dialTimeout bounds the opening of a link.
	dialTimeout = time.Second
	// idleTimeout closes a link that is unused.
	idleTimeout = time.Minute
	// unresponsiveTimeout is how long requests may wait without any reply from the
	// replica before the next request opens a new link.
	unresponsiveTimeout = 3 * time.Second
)

var (
	errLinkEnded = errors.New("the connection to the replica was closed")
	errLinkFull  = errors.New("too many requests are waiting for the replica")
)

// dialer opens a stream to a peer address (IP:port).
type dialer func(ctx context.Context, peer string) (Stream, error)

// link is one stream to a replica with its requests that wait for a reply.
type link struct {
	outgoing chan *wire.ClaimRequest
	ended    chan struct{} // closed when no more replies arrive

	mu         sync.Mutex
	lastNumber uint64
	waiting    map[uint64]chan *wire.ClaimReply
	// unansweredSince is when the first request after the last reply was sent; zero if
	// no request waits for a reply.
	unansweredSince time.Time
}

func newLink() *link {
	return &link{
		outgoing: make(chan *wire.ClaimRequest, maxInFlight),
		ended:    make(chan struct{}),
		waiting:  map[uint64]chan *wire.ClaimReply{},
	}
}

// usable reports whether a request may be sent on the link.
func (l *link) usable(now time.Time) bool {
	select {
	case <-l.ended:
		return false
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unansweredSince.IsZero() || now.Sub(l.unansweredSince) < unresponsiveTimeout
}

// ask sends a copy of the request under a number of this link and waits for its reply.
func (l *link) ask(ctx context.Context, request wire.ClaimRequest) (*wire.ClaimReply, error) {
	reply, err := l.send(&request)
	if err != nil {
		return nil, err
	}
	defer l.forget(request.Number)
	select {
	case received := <-reply:
		return received, nil
	case <-l.ended:
		return nil, errLinkEnded
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *link) send(request *wire.ClaimRequest) (<-chan *wire.ClaimReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= maxInFlight {
		return nil, errLinkFull
	}
	l.lastNumber++
	request.Number = l.lastNumber
	select {
	case l.outgoing <- request:
	default:
		return nil, errLinkFull
	}
	reply := make(chan *wire.ClaimReply, 1)
	l.waiting[request.Number] = reply
	if l.unansweredSince.IsZero() {
		l.unansweredSince = time.Now()
	}
	return reply, nil
}

func (l *link) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, number)
}

// run opens the stream and carries requests and replies until either side closes it or
// ctx ends.
func (l *link) run(ctx context.Context, dial dialer, peer string) {
	defer close(l.ended)
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	stream, err := dial(dialContext, peer)
	cancel()
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	received := make(chan struct{})
	go func() {
		defer close(received)
		defer stream.Close()
		l.receive(stream)
	}()
	l.write(stream, received)
	_ = stream.Close()
	<-received
}

func (l *link) write(stream Stream, received <-chan struct{}) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case request := <-l.outgoing:
			if stream.Write(request) != nil {
				return
			}
			idle.Reset(idleTimeout)
		case <-idle.C:
			return
		case <-received:
			return
		}
	}
}

func (l *link) receive(stream Stream) {
	for {
		message, err := stream.Next()
		if err != nil {
			return
		}
		reply, ok := message.(*wire.ClaimReply)
		if !ok {
			return
		}
		l.deliver(reply)
	}
}

func (l *link) deliver(reply *wire.ClaimReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredSince = time.Time{}
	if waiting, ok := l.waiting[reply.Number]; ok {
		waiting <- reply
		delete(l.waiting, reply.Number)
	}
	if len(l.waiting) > 0 {
		l.unansweredSince = time.Now()
	}
}

package distribution

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/winchhead/winchhead/internal/wait"
	"github.com/winchhead/winchhead/internal/wire"
)

// accept accepts connections until the listener is closed.
func (n *Node) accept(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.listener.Close() })
	defer stop()
	for {
		socket, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logger.WithError(err).Warn("cannot accept a connection")
			if wait.For(ctx, n.options.Timing.RedialMin) != nil {
				return
			}
			continue
		}
		select {
		case n.pendingHellos <- struct{}{}:
			n.running.Go(func() { n.serveIncoming(ctx, socket) })
		default:
			_ = socket.Close() // at the limit; the peer dials again
		}
	}
}

// serveIncoming reads the Hello of an incoming connection and serves it by its purpose.
func (n *Node) serveIncoming(ctx context.Context, socket net.Conn) {
	c := newConnection(socket, n.options.TLS, false, &n.counters)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	hello, err := n.readHello(ctx, c)
	<-n.pendingHellos
	if !stop() || err != nil {
		_ = socket.Close()
		return
	}
	if hello.Purpose == wire.PurposeStatus {
		n.serveStatus(c)
		return
	}
	if hello.Purpose == wire.PurposeClaim {
		n.serveClaims(ctx, c)
		return
	}
	c.acceptsParts.Store(hello.Purpose.AcceptsChanges())
	c.id = LinkID(firstIncomingLink + 2*n.incoming.Add(1))
	n.runLink(ctx, c, Accepted{Link: c.id, Hello: hello})
}

func (n *Node) readHello(ctx context.Context, c *connection) (*wire.Hello, error) {
	if err := c.raw.SetReadDeadline(time.Now().Add(n.options.Timing.DialTimeout)); err != nil {
		return nil, err
	}
	if err := c.handshake(ctx); err != nil {
		return nil, err
	}
	message, err := c.next()
	if err != nil {
		return nil, err
	}
	hello, ok := message.(*wire.Hello)
	if !ok {
		return nil, wire.ErrFrame
	}
	return hello, c.raw.SetReadDeadline(time.Time{})
}

// linkOpened passes a connection to the goroutine of Run, together with its first event.
type linkOpened struct {
	connection *connection
	firstEvent Event
}

func (event linkOpened) apply(e *Engine) { event.firstEvent.apply(e) }

// runLink runs a link: it reports the connection to the engine, reads its messages and
// writes the frames that the engine sends.
func (n *Node) runLink(ctx context.Context, c *connection, firstEvent Event) {
	stop := context.AfterFunc(ctx, c.closeGracefully)
	defer stop()
	ended := make(chan struct{})
	n.running.Go(func() { c.writeQueued(ended) })
	defer close(ended)
	c.reader.SetLimits(wire.Limits{})
	n.post(ctx, linkOpened{connection: c, firstEvent: firstEvent})
	for {
		message, err := c.next()
		if err != nil {
			n.post(ctx, LinkDown{Link: c.id, Cause: downCause(err)})
			return
		}
		if hello, answered := message.(*wire.Hello); answered {
			c.acceptsParts.Store(hello.Purpose.AcceptsChanges())
		}
		n.post(ctx, Message{Link: c.id, Message: message})
	}
}

func downCause(err error) DownCause {
	if errors.Is(err, wire.ErrFrame) {
		return DownFault
	}
	return DownBroken
}

func (n *Node) dial(ctx context.Context, action Dial) {
	dialContext, cancel := context.WithTimeout(ctx, n.options.Timing.DialTimeout)
	n.dialCancels[action.Link] = cancel
	n.running.Go(func() {
		defer cancel()
		c, err := n.connect(dialContext, action.Address)
		if err != nil {
			n.post(ctx, DialFailed{Link: action.Link, Refused: errors.Is(err, syscall.ECONNREFUSED)})
			return
		}
		c.id = action.Link
		n.runLink(ctx, c, Connected{Link: action.Link})
	})
}

// connect opens a connection to a peer, with TLS if the options set it.
func (n *Node) connect(ctx context.Context, address string) (*connection, error) {
	socket, err := n.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := newConnection(socket, n.options.TLS, true, &n.counters)
	if err := c.handshake(ctx); err != nil {
		_ = socket.Close()
		return nil, err
	}
	return c, nil
}

func (n *Node) sendFrame(action Send) {
	for _, id := range action.Links {
		c := n.connections[id]
		if c == nil {
			continue
		}
		if c.enqueue(action.Type, action.Frame) != nil {
			n.counters.slowPeers.Add(1)
			_ = c.raw.Close()
			n.followUps = append(n.followUps, LinkDown{Link: id, Cause: DownSlow})
		}
	}
}

// closeLink cancels the dial of a link or closes its connection gracefully.
func (n *Node) closeLink(id LinkID) {
	if cancel := n.dialCancels[id]; cancel != nil {
		cancel()
	}
	if c := n.connections[id]; c != nil {
		c.closeGracefully()
	}
	n.forget(id)
}

func (n *Node) forget(id LinkID) {
	delete(n.connections, id)
	delete(n.dialCancels, id)
}

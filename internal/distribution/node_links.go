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

// accept takes connections until the listener is closed.
func (n *Node) accept(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.listener.Close() })
	defer stop()
	for {
		socket, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.logger.WithError(err).Warn("cannot take a connection")
			if wait.For(ctx, n.options.Timing.RedialMin) != nil {
				return
			}
			continue
		}
		select {
		case n.greetings <- struct{}{}:
			n.running.Go(func() { n.greet(ctx, socket) })
		default:
			_ = socket.Close() // too many strangers at once; they come back
		}
	}
}

// greet learns why a peer opened a connection and serves it.
func (n *Node) greet(ctx context.Context, socket net.Conn) {
	c := newConnection(socket, n.options.TLS, false, &n.counters)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	hello, err := n.firstHello(ctx, c)
	<-n.greetings
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
	c.inParts.Store(hello.Purpose.TakesChanges())
	c.id = LinkID(firstIncomingLink + 2*n.incoming.Add(1))
	n.carry(ctx, c, Accepted{Link: c.id, Hello: hello})
}

func (n *Node) firstHello(ctx context.Context, c *connection) (*wire.Hello, error) {
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

// opened hands a connection to the goroutine of Run before its first event.
type opened struct {
	connection *connection
	first      Event
}

func (event opened) apply(e *Engine) { event.first.apply(e) }

// carry runs a link: it announces the connection to the engine, reads from it
// and writes what the engine sends.
func (n *Node) carry(ctx context.Context, c *connection, first Event) {
	stop := context.AfterFunc(ctx, c.finish)
	defer stop()
	ended := make(chan struct{})
	n.running.Go(func() { c.writeQueued(ended) })
	defer close(ended)
	c.reader.SetLimits(wire.Limits{})
	n.post(ctx, opened{connection: c, first: first})
	for {
		message, err := c.next()
		if err != nil {
			n.post(ctx, LinkDown{Link: c.id, Cause: causeOf(err)})
			return
		}
		if hello, answered := message.(*wire.Hello); answered {
			c.inParts.Store(hello.Purpose.TakesChanges())
		}
		n.post(ctx, Message{Link: c.id, Message: message})
	}
}

func causeOf(err error) DownCause {
	if errors.Is(err, wire.ErrFrame) {
		return DownFault
	}
	return DownBroken
}

func (n *Node) dial(ctx context.Context, action Dial) {
	dialContext, cancel := context.WithTimeout(ctx, n.options.Timing.DialTimeout)
	n.cancels[action.Link] = cancel
	n.running.Go(func() {
		defer cancel()
		c, err := n.connect(dialContext, action.Address)
		if err != nil {
			n.post(ctx, DialFailed{Link: action.Link, Refused: errors.Is(err, syscall.ECONNREFUSED)})
			return
		}
		c.id = action.Link
		n.carry(ctx, c, Connected{Link: action.Link})
	})
}

// connect opens a connection to a peer, secured if the options say so.
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

// closeLink ends a link as the engine asked.
func (n *Node) closeLink(id LinkID) {
	if cancel := n.cancels[id]; cancel != nil {
		cancel()
	}
	if c := n.connections[id]; c != nil {
		c.finish()
	}
	n.forget(id)
}

func (n *Node) forget(id LinkID) {
	delete(n.connections, id)
	delete(n.cancels, id)
}

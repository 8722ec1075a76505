package distribution

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxClaimConnections bounds the claim connections that a node serves at once.
	maxClaimConnections = 1024
	// claimIdleTimeout is how long a claim connection may receive nothing before its
	// reads fail.
	claimIdleTimeout = 3 * time.Minute
)

// ClaimStream sends and receives messages on a connection of wire.PurposeClaim. One
// goroutine may read while another writes.
type ClaimStream struct{ connection *connection }

// Next returns the next message. After an error the stream is unusable.
func (s *ClaimStream) Next() (wire.Message, error) {
	if err := s.connection.conn.SetReadDeadline(time.Now().Add(claimIdleTimeout)); err != nil {
		return nil, err
	}
	return s.connection.next()
}

// Write sends one message and blocks until it is written. After an error the stream
// is unusable.
func (s *ClaimStream) Write(message wire.Message) error { return s.connection.writeMessage(message) }

// Close closes the connection immediately. It may be called more than once.
func (s *ClaimStream) Close() error { return s.connection.raw.Close() }

// OpenClaims opens a claim connection to the node at a peer address (IP:port).
func (n *Node) OpenClaims(ctx context.Context, address string) (*ClaimStream, error) {
	c, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	hello := &wire.Hello{Protocol: wire.ProtocolVersion, Self: n.options.Self, Purpose: wire.PurposeClaim}
	if err := c.writeMessage(hello); err != nil {
		_ = c.raw.Close()
		return nil, err
	}
	return &ClaimStream{connection: c}, nil
}

// serveClaims passes an incoming claim connection to Options.ServeClaims and closes it
// afterwards.
func (n *Node) serveClaims(ctx context.Context, c *connection) {
	defer c.raw.Close()
	if n.options.ServeClaims == nil {
		return
	}
	select {
	case n.claimSlots <- struct{}{}:
	default:
		return // at the limit; the peer opens a new connection later
	}
	defer func() { <-n.claimSlots }()
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()
	n.options.ServeClaims(&ClaimStream{connection: c})
}

package distribution

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxClaimConnections bounds the claim connections that a node serves.
	maxClaimConnections = 1024
	// claimIdleTimeout ends a claim connection on which nothing is received.
	claimIdleTimeout = 3 * time.Minute
)

// ClaimStream carries messages of a connection of wire.PurposeClaim. One goroutine
// may read while another writes.
type ClaimStream struct{ connection *connection }

// Next returns the next message. After an error the stream is of no further use.
func (s *ClaimStream) Next() (wire.Message, error) {
	if err := s.connection.conn.SetReadDeadline(time.Now().Add(claimIdleTimeout)); err != nil {
		return nil, err
	}
	return s.connection.next()
}

// Write sends one message now. After an error the stream is of no further use.
func (s *ClaimStream) Write(message wire.Message) error { return s.connection.writeMessage(message) }

// Close ends the stream at once; it may be called again.
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

// serveClaims hands an incoming connection on and closes it at the end.
func (n *Node) serveClaims(ctx context.Context, c *connection) {
	defer c.raw.Close()
	if n.options.ServeClaims == nil {
		return
	}
	select {
	case n.claims <- struct{}{}:
	default:
		return // too many; they come back
	}
	defer func() { <-n.claims }()
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()
	n.options.ServeClaims(&ClaimStream{connection: c})
}

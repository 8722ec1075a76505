package client

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// goneAttempts is how many connections are tried: the first may still be taken by a
	// process that is ending.
	goneAttempts = 2
	// settleTime is how long a new connection must stay open to count: a process that ends
	// closes all it has within a millisecond.
	settleTime = 10 * time.Millisecond
	// goneTimeout bounds the making of a connection; on one machine it takes a millisecond.
	goneTimeout = 300 * time.Millisecond
)

// IsGone reports whether nothing listens at the server's address any more, as when its process
// has ended. It tries to connect; a connection that is made is kept for later requests.
func (p *Pool) IsGone() bool {
	for range goneAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
		made, err := p.dial(ctx)
		cancel()
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if made.staysOpen(settleTime) {
			p.put(made)
			return false
		}
		p.drop(made)
	}
	return false
}

// staysOpen reports whether nothing comes on a new connection, its end neither, for a while.
func (c *conn) staysOpen(duration time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(duration))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

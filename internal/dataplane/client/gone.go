package client

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// goneAttempts is how many connections are tried: a process that is exiting may still
	// accept the first.
	goneAttempts = 2
	// minOpenTime is how long a new connection must stay open to count: an exiting process
	// closes all its connections within a millisecond.
	minOpenTime = 10 * time.Millisecond
	// goneTimeout limits the time to establish a connection; within one machine it takes a
	// millisecond.
	goneTimeout = 300 * time.Millisecond
)

// RefusesConnections reports whether nothing listens at the server's address, as when its process has
// exited. It tries to connect and keeps a successful connection for later requests.
func (p *Pool) RefusesConnections() bool {
	for range goneAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
		dialed, err := p.dial(ctx)
		cancel()
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if dialed.staysOpen(minOpenTime) {
			p.put(dialed)
			return false
		}
		p.drop(dialed)
	}
	return false
}

// staysOpen reports whether a new connection stays open and receives nothing for the duration.
func (c *conn) staysOpen(duration time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(duration))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

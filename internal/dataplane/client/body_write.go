package client

import (
	"context"

	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// bodyWrite is the writing of a body in the background.
type bodyWrite struct {
	ended chan struct{} // closed when the writing ends
	err   error         // set before ended is closed
	// cancel ends the wait of the body for the machine's link.
	cancel context.CancelFunc
}

// writeBody starts to write a body in the order of the machine's link.
func (c *conn) writeBody(body []byte, order transfer.Order) {
	ctx, cancel := context.WithCancel(context.Background())
	writing, egress := &bodyWrite{ended: make(chan struct{}), cancel: cancel}, c.pool.options.Egress
	c.writing = writing
	if egress != nil {
		transfer.LimitUnsent(c.Conn)
	}
	go func() {
		defer close(writing.ended)
		defer cancel()
		writing.err = egress.WriteContext(ctx, c.Conn, body, order)
	}()
}

// cancelBody drops the part of the body that waits for the machine's link.
func (c *conn) cancelBody() {
	if c.writing != nil {
		c.writing.cancel()
	}
}

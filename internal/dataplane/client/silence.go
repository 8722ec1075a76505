package client

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/winchhead/winchhead/internal/httpmessage"
)

// SilenceError is returned when a server that reports progress has sent nothing for the
// request's silence limit.
type SilenceError struct {
	// Limit is how long nothing was received.
	Limit time.Duration
}

// Error returns a message with the limit.
func (e *SilenceError) Error() string { return fmt.Sprintf("nothing received for %s", e.Limit) }

// readHeader reads the header of one interim or final response within the silence limit.
func (c *conn) readHeader(ctx context.Context, request *Request) (*http.Response, error) {
	c.bound.Set(maxHeadBytes)
	defer c.bound.Set(math.MaxInt64) // the readers of the body limit it
	limit := c.silenceLimit(request)
	if limit > 0 {
		defer c.setReadDeadline(ctx, time.Time{})
		if c.awaitByte(ctx, request, limit) {
			return nil, &SilenceError{Limit: limit}
		}
	}
	response, err := httpmessage.ReadResponse(c.reader, request.Method)
	if limit > 0 && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &SilenceError{Limit: limit}
	}
	return response, err
}

// awaitByte waits for the next byte from the server, and leaves the silence limit for the rest of the
// header. It reports whether the request is given up: at once if it may be, otherwise only if the
// server answers on another connection, so that this one must be dead. A server that is slow on all
// connections may still answer.
func (c *conn) awaitByte(ctx context.Context, request *Request, limit time.Duration) (givenUp bool) {
	for dead := false; ; {
		if c.receives(ctx, limit) {
			c.setReadDeadline(ctx, time.Now().Add(limit))
			return false
		}
		if dead || request.MayGiveUp == nil || request.MayGiveUp() {
			return true
		}
		dead = c.pool.answers(ctx)
	}
}

// lateReadTime is how long bytes are read that came before a deadline which this process noticed late.
const lateReadTime = 5 * time.Millisecond

// receives waits for a byte until the limit. It returns true also if the connection or the context
// ends, which the next read reports.
func (c *conn) receives(ctx context.Context, limit time.Duration) bool {
	for _, wait := range [...]time.Duration{limit, lateReadTime} {
		c.setReadDeadline(ctx, time.Now().Add(wait))
		_, err := c.reader.Peek(1)
		if ctx.Err() != nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
	return false
}

// answers reports whether the server answers a liveness check on a new connection, which is kept.
func (p *Pool) answers(ctx context.Context) bool {
	dialed, err := p.dial(ctx)
	if err != nil {
		return false
	}
	if err := dialed.verify(ctx, p.options.VerifyTimeout); err != nil {
		p.drop(dialed)
		return false
	}
	p.put(dialed)
	return true
}

// silenceLimit returns how long to wait for the next header; zero: no limit. A server sends
// reports only for requests that it has received completely, and a large body may still be
// in transit after it was written here.
func (c *conn) silenceLimit(request *Request) time.Duration {
	if !c.pool.reportsProgress.Load() || c.unsent != nil || len(request.Body) > minConcurrentBody || !c.written() {
		return 0
	}
	return request.SilenceLimit
}

// setReadDeadline sets the deadline of the next reads. If the context has ended, the expired
// deadline stays.
func (c *conn) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = c.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		_ = c.SetDeadline(past)
	}
}

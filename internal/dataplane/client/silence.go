package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
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
	limit := c.silenceLimit(request)
	if limit > 0 {
		c.setReadDeadline(ctx, time.Now().Add(limit))
		defer c.setReadDeadline(ctx, time.Time{})
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if limit > 0 && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &SilenceError{Limit: limit}
	}
	return response, err
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

package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// responseGrace is how long a caller waits after its own deadline for a response
// that reports the outcome of the call.
const responseGrace = 3 * time.Second

// Connection limits of NewTransport.
const (
	idleConnections = 4096
	dialTimeout     = 2 * time.Second
)

// NewTransport returns a transport for callers. It reuses connections, as callers do.
// It neither requests compression nor uses a proxy from the environment.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
}

// Send sends one call, reads the whole response and classifies the outcome. Latency
// is measured from intended.
func Send(transport http.RoundTripper, entry string, call Call, intended time.Time) Result {
	ctx, cancel := context.WithDeadline(context.Background(), intended.Add(call.Timeout+responseGrace))
	defer cancel()
	result := Result{Call: call}
	result.Class, result.Status, result.Reason = roundTrip(ctx, transport, entry, call)
	result.Ended = time.Now()
	result.Latency = result.Ended.Sub(intended)
	if result.Class == Answered && result.Latency > call.Timeout {
		result.Class = Late
	}
	return result
}

// roundTrip sends a call and returns its class, status and reason.
func roundTrip(ctx context.Context, transport http.RoundTripper, entry string, call Call) (Class, int, string) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := call.request(httptrace.WithClientTrace(ctx, trace), entry)
	if err != nil {
		return NotRun, 0, "bad call: " + err.Error()
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if !connected {
			return NotRun, 0, "no connection to the entry"
		}
		return Unknown, 0, errorReason(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	class, reason := classify(call, response, body, err)
	return class, response.StatusCode, reason
}

// errorReason describes an error without addresses, so that errors with the same cause
// are counted together.
func errorReason(err error) string {
	if isTimeout(err) {
		return "no answer in time"
	}
	return "connection broken before the answer"
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}

// classify returns the class and reason of a response whose header arrived.
func classify(call Call, response *http.Response, body []byte, readErr error) (Class, string) {
	switch outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)) {
	case outcome.NotRun:
		return NotRun, response.Header.Get(outcome.HeaderReason)
	case outcome.Unknown:
		return Unknown, response.Header.Get(outcome.HeaderReason)
	}
	if readErr != nil {
		return Cut, "cut after the header"
	}
	if response.StatusCode != http.StatusOK {
		return Rejected, fmt.Sprintf("status %d", response.StatusCode)
	}
	return checkResponse(call, response.Header, body)
}

// checkResponse compares a complete response with the expected one.
func checkResponse(call Call, header http.Header, body []byte) (Class, string) {
	if got := header.Get(backend.HeaderRequest); got != call.ID {
		return Wrong, fmt.Sprintf("answer to %q", got)
	}
	if !bytes.Equal(body, call.expectedBody()) {
		return Wrong, fmt.Sprintf("%d bytes, want %d", len(body), len(call.expectedBody()))
	}
	if sum := header.Get(backend.HeaderChecksum); sum != backend.Checksum(body) {
		return Wrong, "checksum differs"
	}
	return Answered, ""
}

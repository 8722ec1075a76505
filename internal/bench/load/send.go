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

// answerGrace is how long a caller waits beyond its own deadline for the answer
// that tells what became of the call.
const answerGrace = 3 * time.Second

// Limits of the connections of NewTransport.
const (
	idleConnections = 4096
	dialTimeout     = 2 * time.Second
)

// NewTransport returns a transport for callers. It keeps connections, as callers
// do, and neither compresses nor takes a proxy from the environment.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
}

// Send sends one call, reads its whole answer and classifies the outcome.
// Latency counts from intended.
func Send(transport http.RoundTripper, entry string, call Call, intended time.Time) Result {
	ctx, cancel := context.WithDeadline(context.Background(), intended.Add(call.Timeout+answerGrace))
	defer cancel()
	result := Result{Call: call}
	result.Class, result.Status, result.Reason = exchange(ctx, transport, entry, call)
	result.Ended = time.Now()
	result.Latency = result.Ended.Sub(intended)
	if result.Class == Answered && result.Latency > call.Timeout {
		result.Class = Late
	}
	return result
}

// exchange does one round trip and returns its class, status and reason.
func exchange(ctx context.Context, transport http.RoundTripper, entry string, call Call) (Class, int, string) {
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
		return Unknown, 0, failure(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	class, reason := classify(call, response, body, err)
	return class, response.StatusCode, reason
}

// failure names an error without addresses, so that equal causes count together.
func failure(err error) string {
	if isTimeout(err) {
		return "no answer in time"
	}
	return "connection broken before the answer"
}

func isTimeout(err error) bool {
	timeout, ok := err.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}

// classify sorts an answer whose header arrived.
func classify(call Call, response *http.Response, body []byte, readError error) (Class, string) {
	switch outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)) {
	case outcome.NotRun:
		return NotRun, response.Header.Get(outcome.HeaderReason)
	case outcome.Unknown:
		return Unknown, response.Header.Get(outcome.HeaderReason)
	}
	if readError != nil {
		return Cut, "cut after the header"
	}
	if response.StatusCode != http.StatusOK {
		return Rejected, fmt.Sprintf("status %d", response.StatusCode)
	}
	return check(call, response.Header, body)
}

// check compares an answer that arrived whole with the right one.
func check(call Call, header http.Header, body []byte) (Class, string) {
	if got := header.Get(backend.HeaderRequest); got != call.ID {
		return Wrong, fmt.Sprintf("answer to %q", got)
	}
	if !bytes.Equal(body, call.answer()) {
		return Wrong, fmt.Sprintf("%d bytes, want %d", len(body), len(call.answer()))
	}
	if sum := header.Get(backend.HeaderChecksum); sum != backend.Checksum(body) {
		return Wrong, "checksum differs"
	}
	return Answered, ""
}

package source

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// connectError wraps the reason why a connection could not be established.
type connectError struct{ reason error }

// Error implements error.
func (e *connectError) Error() string { return "connect: " + e.reason.Error() }

// Unwrap returns the reason.
func (e *connectError) Unwrap() error { return e.reason }

// transportFailure distinguishes a failed connection from an answer that is not
// valid HTTP. It passes on only the network errors of net/http: others quote what
// was received, which may hold a secret.
func transportFailure(ctx context.Context, err error) answer {
	if reason := context.Cause(ctx); reason != nil {
		return failure(StatusUnreachable, reason)
	}
	if reason := networkFailure(err); reason != nil {
		return failure(StatusUnreachable, reason)
	}
	return failure(StatusInvalid, eris.New("the answer is not valid HTTP"))
}

// networkFailure returns the part of err that concerns the connection, or nil.
func networkFailure(err error) error {
	var connect *connectError
	var operation *net.OpError
	var certificate *tls.CertificateVerificationError
	switch {
	case errors.As(err, &connect):
		return connect
	case errors.As(err, &operation):
		return operation
	case errors.As(err, &certificate):
		return certificate
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return eris.New("the connection was closed before the end of the answer")
	case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		return eris.New("the connection was closed")
	default:
		return nil
	}
}

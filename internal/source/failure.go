package source

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// errConnect wraps the reason why no connection was made.
type errConnect struct{ reason error }

// Error tells the reason.
func (e *errConnect) Error() string { return "connect: " + e.reason.Error() }

// Unwrap returns the reason.
func (e *errConnect) Unwrap() error { return e.reason }

// transportFailure tells a connection that failed from an answer that is not
// valid HTTP. Of the errors of net/http it keeps those of the network only:
// others quote what was received, which may hold a secret.
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
	var connect *errConnect
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

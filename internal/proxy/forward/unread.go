package forward

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// A server of net/http that answers before the request's body was read to its end
// must close the connection. Otherwise it may take the rest of the body for the
// next request or, with full duplex, meet the body's end beside the next request
// and panic, in whatever goroutine reads it.

const (
	// unreadGrace is how long the rest of a request's body is still taken in after
	// the answer: closing at once could destroy the answer on its way.
	unreadGrace = 500 * time.Millisecond
	// settleBytes and settleTime bound the rest that is read before an answer to
	// keep the connection: what has most likely arrived already.
	settleBytes = 64 << 10
	settleTime  = 20 * time.Millisecond
)

// SettleUnread prepares an answer to a request nothing more of whose body is
// wanted and that was not read to its end: it reads a short rest that is there
// already, and otherwise makes net/http close the connection after the answer.
// Nothing else may use the body any more. It reports whether the body came to its
// end. Call it before the answer's header is written.
func SettleUnread(w http.ResponseWriter, r *http.Request) (ended bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	if endsSoon(w, r) {
		return true
	}
	CloseAfterAnswer(w)
	BoundUnread(w)
	return false
}

// endsSoon reads the rest of a body if it comes at once. A body that waits for
// "100 Continue" does not, and must not be asked for.
func endsSoon(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("Expect") != "" || r.ContentLength > settleBytes {
		return false
	}
	err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(settleTime))
	if err != nil {
		return false
	}
	_, err = io.CopyN(io.Discard, r.Body, settleBytes)
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	// A read that failed before has cancelled the context of the connection.
	return errors.Is(err, io.EOF) && r.Context().Err() == nil
}

// CloseAfterAnswer makes net/http close the connection after the answer. Call it
// before the answer's header is written when the request's body was not read to
// its end.
func CloseAfterAnswer(w http.ResponseWriter) { w.Header().Set(HeaderConnection, "close") }

// BoundUnread bounds the time for which net/http reads the rest of a request's body
// after the answer. Call it after CloseAfterAnswer, when nothing more of the body is
// wanted: a connection with its reading cut short cannot carry another request.
func BoundUnread(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	// A deadline set now would not last: net/http resets it at the handler's end.
	time.AfterFunc(unreadGrace, func() { _ = control.SetReadDeadline(LongAgo) })
}

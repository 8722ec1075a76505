package forward

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// A net/http server that responds before the request body was read to its end must
// close the connection. Otherwise it may take the rest of the body for the next
// request. With full duplex, it may also reach the end of the body concurrently with
// the next request and panic, in whichever goroutine reads the body.

const (
	// unreadBodyGrace is how long the rest of a request body is still read after the
	// response: closing at once could discard a response that is on its way.
	unreadBodyGrace = 500 * time.Millisecond
	// maxDiscardBytes and maxDiscardTime bound the rest of a body that is read before
	// a response to keep the connection: the part that has most likely arrived
	// already.
	maxDiscardBytes = 64 << 10
	maxDiscardTime  = 20 * time.Millisecond
)

// DiscardUnreadBody prepares a response to a request whose remaining body is not needed: it
// reads a short rest that has already arrived, and otherwise makes net/http close the
// connection after the response. Nothing else may use the body afterwards. It reports
// whether the body was read to its end. Call it before the response header is written.
func DiscardUnreadBody(w http.ResponseWriter, r *http.Request) (ended bool) {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	if discardRest(w, r) {
		return true
	}
	CloseAfterResponse(w)
	LimitUnreadBody(w)
	return false
}

// discardRest reads the rest of a body if it arrives at once, and reports whether it
// did. A body that waits for "100 Continue" does not arrive, and must not be asked
// for.
func discardRest(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("Expect") != "" || r.ContentLength > maxDiscardBytes {
		return false
	}
	err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxDiscardTime))
	if err != nil {
		return false
	}
	_, err = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	// An earlier failed read has cancelled the context of the connection.
	return errors.Is(err, io.EOF) && r.Context().Err() == nil
}

// CloseAfterResponse makes net/http close the connection after the response. Call it
// before the response header is written if the request body was not read to its end.
func CloseAfterResponse(w http.ResponseWriter) { w.Header().Set(HeaderConnection, "close") }

// LimitUnreadBody limits how long net/http reads the rest of a request body after the
// response. Call it after CloseAfterResponse, when the rest of the body is not needed:
// the connection cannot carry another request afterwards.
func LimitUnreadBody(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	// A deadline set now would be lost: net/http resets it when the handler returns.
	time.AfterFunc(unreadBodyGrace, func() { _ = control.SetReadDeadline(LongAgo) })
}

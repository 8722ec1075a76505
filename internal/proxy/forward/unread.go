package forward

import (
	"net/http"
	"time"
)

// unreadGrace is how long the rest of a request's body is still taken in after
// the answer: closing at once could destroy the answer on its way.
const unreadGrace = 500 * time.Millisecond

// CloseAfterAnswer makes net/http close the connection after the answer. Call it
// before the answer's header is written when the request's body was not read to
// its end: what is left of it must not be taken for the next request.
func CloseAfterAnswer(w http.ResponseWriter) { w.Header().Set(HeaderConnection, "close") }

// BoundUnread bounds the time for which net/http reads the rest of a request's body
// after the answer. Call it when nothing more of the body is wanted, and after
// CloseAfterAnswer: a connection with its reading cut short cannot carry another
// request.
func BoundUnread(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	// A deadline set now would not last: net/http resets it at the handler's end.
	time.AfterFunc(unreadGrace, func() { _ = control.SetReadDeadline(longAgo) })
}

// longAgo as a deadline ends a read that waits.
var longAgo = time.Unix(1, 0)

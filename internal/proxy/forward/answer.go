package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// copyBytes is the largest piece of a body that is passed on at once.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// PassResponseHeader does what PassAnswerHeader does for a final answer, and
// announces the trailer fields that go on.
func PassResponseHeader(to http.Header, response *http.Response) {
	PassAnswerHeader(to, response.Header)
	if _, present := to[HeaderContentType]; !present {
		to[HeaderContentType] = nil // keeps net/http from guessing one
	}
	for name := range response.Trailer {
		if !outcome.IsInternal(name) {
			to.Add(HeaderTrailer, name)
		}
	}
}

// PassTrailer adds the trailer fields that came after a body, those not announced
// too, to the header of the next hop. Call it after the body was passed on.
func PassTrailer(to, trailer http.Header) {
	announced := to[HeaderTrailer]
	for name, values := range trailer {
		switch {
		case outcome.IsInternal(name):
		case HasToken(announced, name):
			to[name] = values
		default:
			to[http.TrailerPrefix+name] = values
		}
	}
}

// Flush sends at once what was written of an answer.
func Flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// CopyEnd is how the passing on of a body ended.
type CopyEnd uint8

// The ends of a copy.
const (
	CopyWhole   CopyEnd = iota + 1 // the body came to its end and was passed on
	CopyRefused                    // a piece was not taken
	CopyBroken                     // the body broke off
)

// CopyBody passes the body of an answer on, each piece at once; the last piece of
// a known length leaves with the end of the answer. pass takes a piece and reports
// whether to go on; whole, which may be nil, is called when the end of the body was
// read, before the last piece is passed.
func CopyBody(w http.ResponseWriter, response *http.Response, whole func(), pass func(piece []byte) bool) CopyEnd {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	var passed int64
	for {
		count, err := response.Body.Read(buffer[:])
		ended := errors.Is(err, io.EOF)
		if ended && whole != nil {
			whole()
		}
		if count > 0 && !pass(buffer[:count]) {
			return CopyRefused
		}
		passed += int64(count)
		switch {
		case ended:
			return CopyWhole
		case err != nil:
			return CopyBroken
		case passed != response.ContentLength:
			Flush(w)
		}
	}
}

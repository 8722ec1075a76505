package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// copyBufferBytes is the largest chunk of a body that is forwarded at once.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// PassResponseHeader adds the header of a final response to that of the next hop, as
// CopyForwardableHeader does, and announces the trailer fields that will follow.
func PassResponseHeader(to http.Header, response *http.Response) {
	CopyForwardableHeader(to, response.Header)
	if _, present := to[HeaderContentType]; !present {
		to[HeaderContentType] = nil // prevents net/http from guessing one
	}
	for name := range response.Trailer {
		if !outcome.IsInternal(name) {
			to.Add(HeaderTrailer, name)
		}
	}
}

// PassTrailer adds the trailer fields received after a body, announced or not, to the
// header of the next hop. Call it after the body was forwarded.
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

// Flush sends what has been written of a response.
func Flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// CopyResult is how the forwarding of a body ended.
type CopyResult uint8

// The results of CopyBody.
const (
	CopyComplete CopyResult = iota + 1 // the whole body was forwarded
	CopyRefused                        // write returned false
	CopyBroken                         // reading the body failed
)

// CopyBody forwards the body of a response, each chunk at once; with a known length,
// the last chunk is sent together with the end of the response. write forwards a chunk
// and reports whether to continue. onEnd, which may be nil, is called when the end of
// the body was read, before the last chunk is written.
func CopyBody(w http.ResponseWriter, response *http.Response, onEnd func(), write func(chunk []byte) bool) CopyResult {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var copied int64
	for {
		count, err := response.Body.Read(buffer[:])
		ended := errors.Is(err, io.EOF)
		if ended && onEnd != nil {
			onEnd()
		}
		if count > 0 && !write(buffer[:count]) {
			return CopyRefused
		}
		copied += int64(count)
		switch {
		case ended:
			return CopyComplete
		case err != nil:
			return CopyBroken
		case copied != response.ContentLength:
			Flush(w)
		}
	}
}

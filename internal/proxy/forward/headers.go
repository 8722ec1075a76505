// Package forward owns what a proxy does with each HTTP message that it passes
// on: the headers of one connection, 1xx answers, the two directions of a session,
// and the proof of whether anything of a request was sent.
package forward

import (
	"mime"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// Names of headers that a proxy handles itself.
const (
	HeaderConnection       = "Connection"
	HeaderContentType      = "Content-Type"
	HeaderTE               = "Te"
	HeaderTrailer          = "Trailer"
	HeaderTransferEncoding = "Transfer-Encoding"
	HeaderUpgrade          = "Upgrade"
	HeaderUserAgent        = "User-Agent"
)

const (
	tokenTrailers    = "trailers"
	mediaEventStream = "text/event-stream"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	HeaderConnection, "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	HeaderTE, HeaderTrailer, HeaderTransferEncoding, HeaderUpgrade,
}

// RemoveHopByHop removes the headers of one connection, those that the
// Connection header lists included.
func RemoveHopByHop(header http.Header) {
	for _, line := range header[HeaderConnection] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// HasToken reports whether a comma-separated header holds the token, without
// regard to case.
func HasToken(values []string, token string) bool {
	for _, line := range values {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}

// UpgradeProtocol returns the protocol that a message asks to switch to, or "".
func UpgradeProtocol(header http.Header) string {
	if !HasToken(header[HeaderConnection], HeaderUpgrade) {
		return ""
	}
	return header.Get(HeaderUpgrade)
}

// IsEventStream reports whether an answer with this header is a stream of
// server-sent events.
func IsEventStream(header http.Header) bool {
	media, _, err := mime.ParseMediaType(header.Get(HeaderContentType))
	return err == nil && media == mediaEventStream
}

// RequestHeader returns what of a received request's header goes on to the next
// hop: nothing of the connection but an Upgrade, and nothing internal. The values
// are shared with the received header.
func RequestHeader(received http.Header) http.Header {
	const added = 6 // room for what the proxy adds
	header := make(http.Header, len(received)+added)
	for name, values := range received {
		if !outcome.IsInternal(name) {
			header[name] = values
		}
	}
	protocol := UpgradeProtocol(received)
	acceptsTrailers := HasToken(received[HeaderTE], tokenTrailers)
	RemoveHopByHop(header)
	if protocol != "" {
		header[HeaderConnection] = []string{HeaderUpgrade}
		header[HeaderUpgrade] = []string{protocol}
	}
	if acceptsTrailers {
		header[HeaderTE] = []string{tokenTrailers}
	}
	if _, present := header[HeaderUserAgent]; !present {
		header[HeaderUserAgent] = []string{""} // keeps net/http from adding its own
	}
	return header
}

// PassAnswerHeader adds an answer's header to that of the next hop, without what
// concerns the connection or only nodes. from is changed. Internal headers and a
// Connection header that the next hop has already stay.
func PassAnswerHeader(to, from http.Header) {
	RemoveHopByHop(from)
	outcome.StripInternal(from)
	for name, values := range from {
		to[name] = values
	}
}

// Package forward implements what both proxies do with each HTTP message that they
// forward: hop-by-hop headers, 1xx responses, the two directions of a session, and the
// proof whether any byte of a request was sent.
package forward

import (
	"mime"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// Names of headers that the proxies handle themselves.
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

// hopByHop are the headers that apply to a single connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	HeaderConnection, "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	HeaderTE, HeaderTrailer, HeaderTransferEncoding, HeaderUpgrade,
}

// RemoveHopByHop removes the hop-by-hop headers, including those that the Connection
// header lists.
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

// HasToken reports whether a comma-separated header contains the token, ignoring case.
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

// IsEventStream reports whether a response with this header is a stream of server-sent
// events.
func IsEventStream(header http.Header) bool {
	media, _, err := mime.ParseMediaType(header.Get(HeaderContentType))
	return err == nil && media == mediaEventStream
}

// RequestHeader returns the part of a received request header that is forwarded to the
// next hop: without internal headers and without hop-by-hop headers other than an
// Upgrade and "TE: trailers". The values are shared with the received header.
func RequestHeader(received http.Header) http.Header {
	const added = 6 // capacity for the headers that the proxy adds
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
		header[HeaderUserAgent] = []string{""} // prevents net/http from adding its own
	}
	return header
}

// CopyForwardableHeader adds a response header to that of the next hop, without
// hop-by-hop and internal headers. It modifies from. Internal headers and a Connection
// header that are already set for the next hop stay.
func CopyForwardableHeader(to, from http.Header) {
	RemoveHopByHop(from)
	outcome.StripInternal(from)
	for name, values := range from {
		to[name] = values
	}
}

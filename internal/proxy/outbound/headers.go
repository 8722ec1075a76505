package outbound

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

const (
	headerConnection       = "Connection"
	headerContentType      = "Content-Type"
	headerTE               = "Te"
	headerTrailer          = "Trailer"
	headerTransferEncoding = "Transfer-Encoding"
	headerUpgrade          = "Upgrade"
	headerUserAgent        = "User-Agent"
	tokenTrailers          = "trailers"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	headerConnection, "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	headerTE, headerTrailer, headerTransferEncoding, headerUpgrade,
}

// removeHopByHop removes the headers of one connection, those that the
// Connection header lists included.
func removeHopByHop(header http.Header) {
	for _, line := range header[headerConnection] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// hasToken reports whether a comma-separated header holds the token, without
// regard to case.
func hasToken(values []string, token string) bool {
	for _, line := range values {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(part), token) {
				return true
			}
		}
	}
	return false
}

// upgradeProtocol returns the protocol that a message asks to switch to, or "".
func upgradeProtocol(header http.Header) string {
	if !hasToken(header[headerConnection], headerUpgrade) {
		return ""
	}
	return header.Get(headerUpgrade)
}

// forwardedHeader returns what of a caller's header goes on to the instance.
func forwardedHeader(r *http.Request) http.Header {
	header := make(http.Header, len(r.Header)+addedHeaders)
	for name, values := range r.Header {
		if !outcome.IsInternal(name) {
			header[name] = values
		}
	}
	protocol := upgradeProtocol(r.Header)
	acceptsTrailers := hasToken(r.Header[headerTE], tokenTrailers)
	removeHopByHop(header)
	if protocol != "" {
		header[headerConnection] = []string{headerUpgrade}
		header[headerUpgrade] = []string{protocol}
	}
	if acceptsTrailers {
		header[headerTE] = []string{tokenTrailers}
	}
	if _, present := header[headerUserAgent]; !present {
		header[headerUserAgent] = []string{""} // keeps net/http from adding its own
	}
	return header
}

// addedHeaders is room for what the proxy adds to a request.
const addedHeaders = 6

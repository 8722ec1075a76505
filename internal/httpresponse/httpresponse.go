// Package httpresponse decides which HTTP/1.1 responses are valid and complete, for all that read some: net/http
// accepts more than the protocol allows.
package httpresponse

import "net/http"

// IsUnframed reports whether only the end of the connection marks the end of a response's body.
func IsUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.StatusCode != http.StatusSwitchingProtocols
}

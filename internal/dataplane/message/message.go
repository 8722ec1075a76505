// Package message defines the requests and responses that the data plane forwards,
// independent of the connections that carry them.
package message

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Names holds the names of the header fields that callers and instances use. An empty name
// disables the feature of its field.
type Names struct {
	// RequestID holds the ID of one attempt of a caller; instances repeat it in the response.
	RequestID string
	// Deadline holds the time left for the request, in milliseconds.
	Deadline string
	// ExpectInstance holds the name of the instance that the request is for.
	ExpectInstance string
	// CallerService holds the service whose sidecar sent the request.
	CallerService string
	// NotExecuted is set on an instance's response to a request that it did not run.
	NotExecuted string
	// Load holds an instance's numbers of running and waiting requests and of slots.
	Load string
	// Tenant holds the tenant that a request belongs to, by its API key.
	Tenant string
	// Stamp is set on every response that comes from an instance.
	Stamp string
	// Limit holds how many requests per second an instance takes from all nodes together, for as
	// long as its responses have it.
	Limit string
	// Leaving is set on the responses of an instance that leaves.
	Leaving string
	// Instance holds the name of the instance that answers a health check.
	Instance string
	// ColdRemaining holds, in the answer to a health check, how long the instance stays cold, in
	// milliseconds. A warm instance omits it.
	ColdRemaining string
}

// Request is one request with its whole body.
type Request struct {
	ID     string
	Method string
	// Target is the request target as sent; Path is its path without the query.
	Target string
	Path   string
	Host   string
	// Header holds the end-to-end header fields.
	Header http.Header
	Body   []byte
	// Arrived is when the header of the request was read.
	Arrived time.Time
	// ClientGone reports whether the client has closed its connection; nil: unknown.
	ClientGone func() bool
}

// IsClientGone reports whether the client is known to have closed its connection.
func (r *Request) IsClientGone() bool { return r.ClientGone != nil && r.ClientGone() }

// Response is the response to one request.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its start when Stream is set.
	Body []byte
	// Stream is the rest of the body after Body, forwarded as it arrives. Its end without an
	// error is the end of the body.
	Stream io.ReadCloser
	// Length is the total length of Body and Stream, -1 when it is not known.
	Length int64
	// Abort closes the connection without a response.
	Abort bool
	// Urgency says which of several large responses is sent first; nil: it has the lowest priority.
	Urgency *Urgency
}

// Urgency is the priority of a response (0 is the highest) and when it should be sent completely.
type Urgency struct {
	Priority int
	Due      time.Time
}

// Finish closes Stream, if there is one.
func (a *Response) Finish() {
	if a != nil && a.Stream != nil {
		_ = a.Stream.Close()
	}
}

// Whole returns a response with a complete body.
func Whole(status int, header http.Header, body []byte) *Response {
	if header == nil {
		header = make(http.Header)
	}
	return &Response{Status: status, Header: header, Body: body, Length: int64(len(body))}
}

// hopByHop lists the fields that are not forwarded, as they concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// StripHopByHop removes the fields that concern one connection only, including those that
// the Connection field names.
func StripHopByHop(header http.Header) {
	StripListed(header)
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// StripListed removes the fields that the Connection field names.
func StripListed(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
}

// PathOf returns the part of a request target before the query, without scheme
// and host.
func PathOf(target string) string {
	if scheme := strings.Index(target, "://"); scheme > 0 && !strings.HasPrefix(target, "/") {
		target = target[scheme+len("://"):]
		slash := strings.IndexByte(target, '/')
		if slash < 0 {
			return "/"
		}
		target = target[slash:]
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

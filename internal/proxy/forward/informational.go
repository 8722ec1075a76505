package forward

import (
	"maps"
	"net/http"
	"net/textproto"
	"sync"

	"github.com/winchhead/winchhead/internal/httpmessage"
)

// InformationalForwarder forwards 1xx responses until the final response begins. The transport calls
// it from a goroutine of its own.
type InformationalForwarder struct {
	mu      sync.Mutex
	stopped bool
	writer  http.ResponseWriter
}

// NewInformationalForwarder returns an InformationalForwarder for the response to r. It forwards nothing to an
// HTTP/1.0 client, which does not know 1xx responses.
func NewInformationalForwarder(w http.ResponseWriter, r *http.Request) *InformationalForwarder {
	return &InformationalForwarder{writer: w, stopped: !r.ProtoAtLeast(1, 1)}
}

// Pass forwards one 1xx response; it has the signature of
// httptrace.ClientTrace.Got1xxResponse. It does not forward "100 Continue": net/http
// sends that when the transport reads the body, which the next hop has asked for then. The error of a malformed
// response ends the request.
func (i *InformationalForwarder) Pass(status int, from textproto.MIMEHeader) error {
	if err := httpmessage.CheckFields(http.Header(from)); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped || status == http.StatusContinue {
		return nil
	}
	header := i.writer.Header()
	before := maps.Clone(header)
	CopyForwardableHeader(header, http.Header(from))
	i.writer.WriteHeader(status)
	clear(header)
	maps.Copy(header, before)
	return nil
}

// Stop ends the forwarding. Call it before the header of the final response is
// modified.
func (i *InformationalForwarder) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}

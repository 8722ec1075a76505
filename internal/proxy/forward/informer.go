package forward

import (
	"maps"
	"net/http"
	"net/textproto"
	"sync"
)

// Informer passes 1xx answers on until the final answer begins. A transport calls
// it from its own goroutine.
type Informer struct {
	mu      sync.Mutex
	stopped bool
	writer  http.ResponseWriter
}

// NewInformer returns an informer for the answer to r, which passes nothing on to
// a caller of HTTP/1.0.
func NewInformer(w http.ResponseWriter, r *http.Request) *Informer {
	return &Informer{writer: w, stopped: !r.ProtoAtLeast(1, 1)}
}

// Pass sends one 1xx answer on; it has the form of
// httptrace.ClientTrace.Got1xxResponse. "100 Continue" is not passed: net/http
// sends it when the next hop has asked for the body.
func (i *Informer) Pass(status int, from textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped || status == http.StatusContinue {
		return nil
	}
	header := i.writer.Header()
	before := maps.Clone(header)
	PassAnswerHeader(header, http.Header(from))
	i.writer.WriteHeader(status)
	clear(header)
	maps.Copy(header, before)
	return nil
}

// Stop ends the passing on. Call it before the final answer's header is touched.
func (i *Informer) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}

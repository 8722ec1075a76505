package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// Call is one numbered request to an emulated backend.
type Call struct {
	// ID is unique within a run and identifies the call in the backends' journals.
	ID string
	// Method, Host and Path select the route.
	Method, Host string
	// Path starts with a slash. It must be backend.PathCall if Chain is set.
	Path string
	// MayRepeat is set if the call may run more than once.
	MayRepeat bool
	// BodyBytes is the size of the request body.
	BodyBytes int
	// AnswerBytes is the size of the response body; if it is zero, the backend echoes
	// the request body.
	AnswerBytes int
	// Work is how long each backend works; zero uses the backend's default.
	Work time.Duration
	// Chain lists the onward calls ("host/path") in order.
	Chain []string
	// Timeout is the caller's timeout. It is sent in a header and must be set.
	Timeout time.Duration
	// IdempotencyKey is sent in a header if it is set.
	IdempotencyKey string
	// Header holds additional header fields.
	Header http.Header
}

// onwardSuffix is what the emulated backend appends to the ID of each onward call.
const onwardSuffix = "+"

// ChainIDs returns the IDs of the call and of its onward calls.
func (c Call) ChainIDs() []string {
	ids := make([]string, 0, len(c.Chain)+1)
	for depth := 0; depth <= len(c.Chain); depth++ {
		ids = append(ids, c.ID+strings.Repeat(onwardSuffix, depth))
	}
	return ids
}

// body returns the request body, which depends on the ID.
func (c Call) body() []byte { return backend.Pattern("body of "+c.ID, c.BodyBytes) }

// expectedBody returns the body of the correct response.
func (c Call) expectedBody() []byte {
	if c.AnswerBytes > 0 {
		ids := c.ChainIDs()
		return backend.Pattern(ids[len(ids)-1], c.AnswerBytes)
	}
	return c.body()
}

// request builds the HTTP request to an entry (IP:port). GetBody is nil, so that
// net/http never sends a body a second time by itself.
func (c Call) request(ctx context.Context, entry string) (*http.Request, error) {
	var body io.Reader
	if c.BodyBytes > 0 {
		body = bytes.NewReader(c.body())
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+entry+c.Path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Host = c.Host
	for name, values := range c.Header {
		request.Header[name] = values
	}
	c.setHeaders(request.Header)
	return request, nil
}

func (c Call) setHeaders(header http.Header) {
	header.Set(backend.HeaderRequest, c.ID)
	header.Set(outcome.HeaderTimeout, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if c.Work > 0 {
		header.Set(backend.HeaderWork, strconv.FormatFloat(c.Work.Seconds()*1000, 'f', -1, 64))
	}
	if c.AnswerBytes > 0 {
		header.Set(backend.HeaderAnswerBytes, strconv.Itoa(c.AnswerBytes))
	}
	if len(c.Chain) > 0 {
		header.Set(backend.HeaderChain, strings.Join(c.Chain, ","))
	}
	if c.IdempotencyKey != "" {
		header.Set(outcome.HeaderIdempotencyKey, c.IdempotencyKey)
	}
}

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

// Call is one numbered request to an emulated back end.
type Call struct {
	// ID is unique in a run; the back ends' journals name it.
	ID string
	// Method and Host pick the route.
	Method, Host string
	// Path starts with a slash. A chain needs backend.PathCall.
	Path string
	// MayRepeat tells that the call may run more than once.
	MayRepeat bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// AnswerBytes is the size of the answer; zero: the request's body comes back.
	AnswerBytes int
	// Work is how long each back end works; zero leaves it to the back end.
	Work time.Duration
	// Chain lists the calls onward ("host/path"), the next first.
	Chain []string
	// Timeout is the time the caller gives; it is sent along and must be set.
	Timeout time.Duration
	// IdempotencyKey is sent when it is set.
	IdempotencyKey string
	// Header is sent besides.
	Header http.Header
}

// onwardMark is what the emulated back end adds to the ID at each call onward.
const onwardMark = "+"

// ChainIDs returns the ID of the call and of each call onward.
func (c Call) ChainIDs() []string {
	ids := make([]string, 0, len(c.Chain)+1)
	for depth := 0; depth <= len(c.Chain); depth++ {
		ids = append(ids, c.ID+strings.Repeat(onwardMark, depth))
	}
	return ids
}

// body returns the bytes that the call sends. They depend on its ID.
func (c Call) body() []byte { return backend.Pattern("body of "+c.ID, c.BodyBytes) }

// answer returns the bytes that the right answer carries.
func (c Call) answer() []byte {
	if c.AnswerBytes > 0 {
		ids := c.ChainIDs()
		return backend.Pattern(ids[len(ids)-1], c.AnswerBytes)
	}
	return c.body()
}

// request builds the HTTP request to an entry (IP:port). It carries no GetBody:
// net/http must not send a call again by itself.
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

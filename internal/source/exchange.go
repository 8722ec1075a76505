package source

import (
	"context"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// MaxRetryAfter limits how long the platform may ask a reader to wait.
const MaxRetryAfter = time.Minute

// jsonMediaType is the only media type of the protocol.
const jsonMediaType = "application/json"

// request is one read of the platform.
type request struct {
	path  string
	query url.Values
	etag  string        // for If-None-Match; empty sends none
	wait  time.Duration // how long the platform may hold the answer
}

// answer is the result of one read; body and etag are set on StatusFresh only.
type answer struct {
	path    string
	outcome Outcome
	etag    string
	body    []byte
}

// invalid returns the outcome of an answer whose body violates the protocol.
func (a answer) invalid(err error) Outcome {
	a.outcome.Status = StatusInvalid
	a.outcome.Err = eris.Wrapf(err, "read %s", a.path)
	return a.outcome
}

// get performs one exchange and counts its bytes.
func (c *Client) get(ctx context.Context, read request) answer {
	var traffic exchangeTraffic
	got := c.exchange(traffic.trace(ctx), read)
	got.path = read.path
	got.outcome.BytesRead, got.outcome.BytesSent = traffic.take()
	if got.outcome.Err != nil {
		got.outcome.Err = eris.Wrapf(got.outcome.Err, "read %s", read.path)
	}
	return got
}

// exchange sends the request and reads the answer. It ends early if the answer stalls.
func (c *Client) exchange(parent context.Context, read request) answer {
	ctx, end := WithStallTimeout(parent, read.wait+c.options.Timeout, c.options.Timeout)
	defer end()
	outgoing, err := c.newRequest(ctx, read)
	if err != nil {
		return failure(StatusInvalid, err)
	}
	response, err := c.http.Do(outgoing)
	if err != nil {
		return transportFailure(ctx, err)
	}
	defer response.Body.Close()
	ReportProgress(ctx, 0)
	return c.evaluate(ctx, read, response)
}

func (c *Client) newRequest(ctx context.Context, read request) (*http.Request, error) {
	address := c.options.BaseURL + read.path
	if len(read.query) > 0 {
		address += "?" + read.query.Encode()
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, eris.New("the platform's URL is not valid")
	}
	outgoing.Header.Set("Accept", jsonMediaType)
	if read.etag != "" {
		outgoing.Header.Set("If-None-Match", read.etag)
	}
	if c.options.Node != "" {
		outgoing.Header.Set(NodeHeader, string(c.options.Node))
	}
	return outgoing, nil
}

// evaluate derives the outcome from the status and header of a response, and reads
// the body of a successful one.
func (c *Client) evaluate(ctx context.Context, read request, response *http.Response) answer {
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		return c.readBody(ctx, response)
	case status == http.StatusNotModified && read.etag != "":
		return answer{outcome: Outcome{Status: StatusNotModified}}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		busy := failure(StatusBusy, nil)
		busy.outcome.RetryAfter = retryAfter(response.Header, time.Now())
		return busy
	case status >= http.StatusInternalServerError:
		return failure(StatusUnreachable, eris.Errorf("the platform returned HTTP status %d", status))
	default:
		return failure(StatusInvalid, eris.Errorf("unexpected HTTP status %d", status))
	}
}

func (c *Client) readBody(ctx context.Context, response *http.Response) answer {
	if err := checkHeader(response.Header); err != nil {
		return failure(StatusInvalid, err)
	}
	limit := c.options.MaxBodyBytes
	if response.ContentLength > limit {
		return failure(StatusInvalid, bodyTooLarge(limit))
	}
	body, err := io.ReadAll(io.LimitReader(ReadWithProgress(ctx, response.Body), limit+1))
	if int64(len(body)) > limit {
		return failure(StatusInvalid, bodyTooLarge(limit))
	}
	if err != nil {
		return transportFailure(ctx, err)
	}
	return answer{outcome: Outcome{Status: StatusFresh}, etag: response.Header.Get("ETag"), body: body}
}

func bodyTooLarge(limit int64) error {
	return eris.Errorf("the body is larger than %d bytes", limit)
}

func checkHeader(header http.Header) error {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil || mediaType != jsonMediaType {
		return eris.Errorf("the content type is not %s", jsonMediaType)
	}
	if encoding := header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return eris.New("the body has a content encoding that was not requested")
	}
	return nil
}

// retryAfter parses the Retry-After header, in seconds or as an HTTP date. A date
// is relative to the platform's own Date header, so that the clocks need not agree.
// The result is zero if the header is absent, malformed or in the past.
func retryAfter(header http.Header, now time.Time) time.Duration {
	value := header.Get("Retry-After")
	if seconds, err := strconv.ParseUint(value, 10, 32); err == nil {
		return min(time.Duration(seconds)*time.Second, MaxRetryAfter)
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	if date, err := http.ParseTime(header.Get("Date")); err == nil {
		now = date
	}
	return min(max(until.Sub(now), 0), MaxRetryAfter)
}

func failure(status Status, err error) answer {
	return answer{outcome: Outcome{Status: status, Err: err}}
}

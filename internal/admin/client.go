package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// Query parameters of /v1/explain.
const (
	queryMethod = "method"
	queryHost   = "host"
	queryPath   = "path"
	queryHeader = "header"
)

const (
	clientTimeout = 20 * time.Second
	// maxResponseBytes limits how much of a response the client reads. It is well above
	// the size of the largest configuration.
	maxResponseBytes = 64 << 20
)

// UnreachableError is returned if no complete and valid response came from a node.
type UnreachableError struct {
	Address string
	Err     error
}

// Error names the node's address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no valid response from the node at %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// ResponseError is returned if a node responded with an error status.
type ResponseError struct {
	Code    int // HTTP status
	Problem string
}

// Error returns the status and the problem that the node reported.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("the node answered %d: %s", e.Code, e.Problem)
}

// Client queries the admin API of one node. Its errors are *UnreachableError or
// *ResponseError.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the node whose admin API listens on address
// (IP:port).
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns what the node holds.
func (c *Client) Status(ctx context.Context) (NodeStatus, error) {
	return get[NodeStatus](ctx, c, pathStatus, nil)
}

// Fleet returns what each live member holds, as queried by the node.
func (c *Client) Fleet(ctx context.Context) (FleetStatus, error) {
	return get[FleetStatus](ctx, c, pathFleet, nil)
}

// Members returns the node's view of the fleet.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	return get[MemberList](ctx, c, pathMembers, nil)
}

// Configuration returns the configuration in force on the node.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return get[Configuration](ctx, c, pathConfiguration, nil)
}

// Explain returns what the node would do with a request.
func (c *Client) Explain(ctx context.Context, request ExplainRequest) (Explanation, error) {
	query := url.Values{}
	query.Set(queryMethod, request.Method)
	query.Set(queryHost, request.Host)
	query.Set(queryPath, request.Path)
	for name, values := range request.Header {
		for _, value := range values {
			query.Add(queryHeader, name+":"+value)
		}
	}
	return get[Explanation](ctx, c, pathExplain, query)
}

func get[T any](ctx context.Context, client *Client, path string, query url.Values) (T, error) {
	return sendRequest[T](ctx, client, http.MethodGet, path, query)
}

func sendRequest[T any](ctx context.Context, client *Client, method, path string, query url.Values) (T, error) {
	var decoded T
	target := url.URL{Scheme: "http", Host: client.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return decoded, eris.Wrap(err, "create the request")
	}
	response, err := client.http.Do(request)
	if err != nil {
		return decoded, &UnreachableError{Address: client.address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return decoded, &UnreachableError{Address: client.address, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return decoded, newResponseError(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return decoded, &UnreachableError{Address: client.address, Err: eris.Wrap(err, "not a response of the admin API")}
	}
	return decoded, nil
}

func newResponseError(code int, body []byte) error {
	var parsed ErrorResponse
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Error == "" {
		parsed.Error = http.StatusText(code)
	}
	return &ResponseError{Code: code, Problem: parsed.Error}
}

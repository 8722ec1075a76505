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

// Names in the query of /v1/explain.
const (
	queryMethod = "method"
	queryHost   = "host"
	queryPath   = "path"
	queryHeader = "header"
)

const (
	clientTimeout = 20 * time.Second
	// maxAnswerBytes bounds what the client reads: the largest configuration
	// with room to spare.
	maxAnswerBytes = 64 << 20
)

// UnreachableError tells that a node gave no whole answer.
type UnreachableError struct {
	Address string
	Err     error
}

// Error names the node's address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from the node at %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// AnswerError tells that a node answered and refused.
type AnswerError struct {
	Code    int // HTTP status
	Problem string
}

// Error returns what the node said.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("the node answered %d: %s", e.Code, e.Problem)
}

// Client asks the operators' HTTP of one node. Its errors are *UnreachableError
// or *AnswerError.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the node whose operators' HTTP is at address
// (IP:port).
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// Status asks what the node holds.
func (c *Client) Status(ctx context.Context) (NodeStatus, error) {
	return get[NodeStatus](ctx, c, pathStatus, nil)
}

// Fleet asks what each live member holds.
func (c *Client) Fleet(ctx context.Context) (FleetStatus, error) {
	return get[FleetStatus](ctx, c, pathFleet, nil)
}

// Members asks for the node's view of the fleet.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	return get[MemberList](ctx, c, pathMembers, nil)
}

// Configuration asks what is in force on the node.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	return get[Configuration](ctx, c, pathConfiguration, nil)
}

// Explain asks what the node would do with a request.
func (c *Client) Explain(ctx context.Context, question Question) (Explanation, error) {
	query := url.Values{}
	query.Set(queryMethod, question.Method)
	query.Set(queryHost, question.Host)
	query.Set(queryPath, question.Path)
	for name, values := range question.Header {
		for _, value := range values {
			query.Add(queryHeader, name+":"+value)
		}
	}
	return get[Explanation](ctx, c, pathExplain, query)
}

func get[T any](ctx context.Context, client *Client, path string, query url.Values) (T, error) {
	return ask[T](ctx, client, http.MethodGet, path, query)
}

func ask[T any](ctx context.Context, client *Client, method, path string, query url.Values) (T, error) {
	var answer T
	target := url.URL{Scheme: "http", Host: client.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return answer, eris.Wrap(err, "build the request")
	}
	response, err := client.http.Do(request)
	if err != nil {
		return answer, &UnreachableError{Address: client.address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, &UnreachableError{Address: client.address, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return answer, answerError(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &UnreachableError{Address: client.address, Err: eris.Wrap(err, "not the operators' HTTP of a node")}
	}
	return answer, nil
}

func answerError(code int, body []byte) error {
	var failure Failure
	if err := json.Unmarshal(body, &failure); err != nil || failure.Error == "" {
		failure.Error = http.StatusText(code)
	}
	return &AnswerError{Code: code, Problem: failure.Error}
}

package source

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/httpmessage"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/socketbytes"
)

// NodeHeader carries the name of the reading node, so that the platform can count its readers.
const NodeHeader = "Winchhead-Node"

// Paths of the published protocol.
const (
	HeadPath          = "/v1/configuration/head"
	ConfigurationPath = "/v1/configuration"
	MembersPath       = "/v1/members"
)

// Defaults of Options.
const (
	DefaultTimeout      = 5 * time.Second
	DefaultMaxBodyBytes = 8 << 20
)

// Limits of the connections to the platform.
const (
	maxConnectTime         = 3 * time.Second
	idleConnectionTime     = 90 * time.Second
	maxIdleConnections     = 3 // head, configuration and members
	maxResponseHeaderBytes = 16 << 10
)

// Options configures a Client.
type Options struct {
	// BaseURL is the platform's address, such as "http://10.0.0.1:8080".
	BaseURL string
	// MaxBodyBytes limits the body of one answer; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Timeout limits the wait for the header, in addition to the time of a long poll, and how
	// long the body may stall; zero means DefaultTimeout.
	Timeout time.Duration
	// Node is sent in NodeHeader, if not empty.
	Node membership.NodeID
	// Dial replaces the dialer, for tests and simulated nodes; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client reads the platform over HTTP. It is safe for concurrent use. It keeps
// no state between reads except idle connections.
type Client struct {
	options   Options
	http      *http.Client
	transport *httpmessage.Transport
}

var (
	_ ConfigurationReader = (*Client)(nil)
	_ MemberReader        = (*Client)(nil)
)

// NewClient returns a client. With a BaseURL that cannot be parsed, every read
// returns StatusInvalid.
func NewClient(options Options) *Client {
	options.BaseURL = strings.TrimRight(options.BaseURL, "/")
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: min(options.Timeout, maxConnectTime)}
		options.Dial = dialer.DialContext
	}
	transport := newTransport(options)
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{options: options, http: client, transport: transport}
}

// newTransport returns a transport that ignores proxy settings of the environment,
// uses HTTP/1.1 only and counts the bytes of its connections.
func newTransport(options Options) *httpmessage.Transport {
	return &httpmessage.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := options.Dial(ctx, network, address)
			if err != nil {
				return nil, &connectError{reason: err}
			}
			return socketbytes.Wrap(connection, &socketbytes.Counter{}), nil
		},
		TLSHandshakeTimeout:    options.Timeout,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnectionTime,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Close closes the idle connections. Reads in progress end with their context.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// AwaitRevision implements ConfigurationReader. It returns the platform's version
// even if that is below after (StatusNotModified).
func (c *Client) AwaitRevision(ctx context.Context, after snapshot.Revision, wait time.Duration) (snapshot.Version, Outcome) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	got := c.get(ctx, request{path: HeadPath, query: query, wait: wait})
	if got.outcome.Status != StatusFresh {
		return snapshot.Version{}, got.outcome
	}
	version, err := decodeHead(got.body)
	if err != nil {
		return snapshot.Version{}, got.invalid(err)
	}
	if version.Revision <= after {
		got.outcome.Status = StatusNotModified
	}
	return version, got.outcome
}

// Fetch implements ConfigurationReader. A document older than held is StatusFresh
// too: the snapshot store decides which document is used.
func (c *Client) Fetch(ctx context.Context, held snapshot.Version) (*snapshot.Document, Outcome) {
	var etag string
	if !held.IsZero() {
		etag = ETag(held)
	}
	got := c.get(ctx, request{path: ConfigurationPath, etag: etag})
	if got.outcome.Status != StatusFresh {
		return nil, got.outcome
	}
	document, err := decodeDocument(got.body, got.etag)
	if err != nil {
		return nil, got.invalid(err)
	}
	return document, got.outcome
}

// Members implements MemberReader.
func (c *Client) Members(ctx context.Context, etag string, wait time.Duration) (MemberList, Outcome) {
	query := url.Values{}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	got := c.get(ctx, request{path: MembersPath, query: query, etag: etag, wait: wait})
	unchanged := MemberList{ETag: etag}
	if got.outcome.Status != StatusFresh {
		return unchanged, got.outcome
	}
	if got.etag == "" {
		return unchanged, got.invalid(eris.New("the answer has no ETag"))
	}
	list, err := decodeMembers(got.body)
	if err != nil {
		return unchanged, got.invalid(err)
	}
	list.ETag = got.etag
	return list, got.outcome
}

// ETag returns the entity tag of the document with the given version.
func ETag(version snapshot.Version) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%d-%s", version.Revision, version.Hash))
}

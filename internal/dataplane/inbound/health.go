package inbound

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/httpmessage"
)

const (
	// healthTimeout limits the time of a health check.
	healthTimeout = 500 * time.Millisecond
	// maxHealthBodyBytes limits how much of the body of an answer is read, so that its connection can be reused.
	maxHealthBodyBytes = 4 << 10
	// maxHealthHeaderBytes limits the header of an answer.
	maxHealthHeaderBytes = 64 << 10
	// maxColdTime is the longest cold time that is believed.
	maxColdTime = time.Hour
)

// healthChecker asks the local instance for its health, over one connection.
type healthChecker struct {
	names   message.Names
	address string
	client  *http.Client
}

func newHealthChecker(names message.Names, address string) *healthChecker {
	return &healthChecker{names: names, address: address, client: &http.Client{
		Timeout: healthTimeout,
		Transport: &httpmessage.Transport{Transport: &http.Transport{
			MaxConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHealthHeaderBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (h *healthChecker) close() { h.client.CloseIdleConnections() }

// health is what an instance states in the answer to a health check.
type health struct {
	instance string
	// coldFor is how long it stays cold; zero: it is warm.
	coldFor time.Duration
}

// check asks the instance. An unhealthy one states its cold time as well.
func (h *healthChecker) check(ctx context.Context, path string) (health, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+path, nil)
	if err != nil {
		return health{}, eris.Wrap(err, "create a health check")
	}
	response, err := h.client.Do(request)
	if err != nil {
		return health{}, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.CopyN(io.Discard, response.Body, maxHealthBodyBytes)
	return decodeHealth(h.names, response.Header)
}

// errNotHealth is returned for an answer that belongs to another request, as a faulty instance may send.
var errNotHealth = eris.New("the answer to the health check does not name the instance")

func decodeHealth(names message.Names, header http.Header) (health, error) {
	stated := health{instance: header.Get(names.Instance)}
	if names.Instance == "" || stated.instance == "" {
		return health{}, errNotHealth
	}
	text := header.Get(names.ColdRemaining)
	if names.ColdRemaining == "" || text == "" {
		return stated, nil
	}
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(millis) || millis < 0 || millis > float64(maxColdTime/time.Millisecond) {
		return health{}, eris.Errorf("the cold time in the answer to the health check is %.32q, want 0 to %d", text, maxColdTime/time.Millisecond)
	}
	stated.coldFor = time.Duration(millis * float64(time.Millisecond))
	return stated, nil
}

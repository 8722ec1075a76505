package outbound

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// admit validates a request before anything is sent, so a request that it
// refuses has not run. On success the caller must call end on the exchange.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, started time.Time) (*exchange, *outcome.Problem) {
	if problem := p.validateRequest(r); problem != nil {
		return nil, problem
	}
	current := p.snapshots.Current()
	view := p.fleet.View()
	if current == nil || view == nil {
		return nil, refusal(outcome.ReasonNoConfiguration, "")
	}
	route := current.Lookup(r.Method, r.Host, r.URL.Path, r.Header)
	if route == nil {
		return nil, refusal(outcome.ReasonNoRoute, "")
	}
	if route.Unusable {
		return nil, refusal(outcome.ReasonNoInstance, "the configuration of the route cannot be used")
	}
	timeout, problem := requestTimeout(r, route)
	if problem != nil {
		return nil, problem
	}
	header, problem := requestHeader(r, current, route)
	if problem != nil {
		return nil, problem
	}
	return p.newExchange(w, r, current, route, header, started.Add(timeout)), nil
}

func refusal(reason outcome.Reason, detail string) *outcome.Problem {
	problem := outcome.NewProblem(reason, outcome.NotRun, detail)
	return &problem
}

// validateRequest refuses requests that are invalid on every route.
func (p *Proxy) validateRequest(r *http.Request) *outcome.Problem {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		problem := refusal(outcome.ReasonBadRequest, "the method is not supported")
		problem.Status = http.StatusMethodNotAllowed
		return problem
	case !isUnambiguousTarget(r.URL):
		return refusal(outcome.ReasonBadRequest, "the request target must be a path, or an http URL, without dot segments")
	case p.settings.MaxHeaderBytes > 0 && headerBytes(r) > p.settings.MaxHeaderBytes:
		problem := refusal(outcome.ReasonTooLarge, "the header is too large")
		problem.Status = http.StatusRequestHeaderFieldsTooLarge
		return problem
	case p.settings.MaxBodyBytes > 0 && r.ContentLength > p.settings.MaxBodyBytes:
		return refusal(outcome.ReasonTooLarge, "the body is too large")
	default:
		return nil
	}
}

// isUnambiguousTarget reports whether route matching and backends interpret the
// target alike. Targets with dot segments are ambiguous: a backend may resolve
// them to a path outside the prefix that the route matched.
func isUnambiguousTarget(target *url.URL) bool {
	switch target.Scheme {
	case "", "http", "https":
	default:
		return false
	}
	if target.Opaque != "" {
		return false
	}
	for segment := range strings.SplitSeq(target.Path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// headerBytes returns the size of the request line and the header fields as sent.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// requestTimeout returns the timeout of the route, or that of the caller if it is
// shorter.
func requestTimeout(r *http.Request, route *snapshot.Route) (time.Duration, *outcome.Problem) {
	text := r.Header.Get(outcome.HeaderTimeout)
	if text == "" {
		return route.Timeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 {
		return 0, refusal(outcome.ReasonBadRequest, outcome.HeaderTimeout+" must be whole milliseconds")
	}
	if milliseconds > route.Timeout.Milliseconds() {
		return route.Timeout, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// requestHeader returns the header that every attempt sends to an instance. Fields
// that differ between attempts are added later. The secrets of the route replace
// fields of the same name that the caller sent.
func requestHeader(r *http.Request, current *snapshot.Snapshot, route *snapshot.Route) (http.Header, *outcome.Problem) {
	header := forward.RequestHeader(r.Header)
	delete(header, outcome.HeaderTimeout)
	for _, reference := range route.Secrets {
		secret, found := current.Secret(reference.Secret)
		if !found {
			return nil, refusal(outcome.ReasonNoConfiguration, "a secret of the route is missing")
		}
		header.Set(reference.Header, reference.Prefix+secret.Value)
	}
	header[outcome.HeaderRoute] = []string{route.Name}
	return header, nil
}

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

// admit checks a request before anything is sent: whatever it refuses did not
// run. On success the exchange must be ended with end.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request, started time.Time) (*exchange, *outcome.Problem) {
	if problem := p.checkForm(r); problem != nil {
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
	timeout, problem := timeoutOf(r, route)
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
	problem := outcome.New(reason, outcome.NotRun, detail)
	return &problem
}

// checkForm refuses what no route could take.
func (p *Proxy) checkForm(r *http.Request) *outcome.Problem {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		problem := refusal(outcome.ReasonBadRequest, "the method is not supported")
		problem.Status = http.StatusMethodNotAllowed
		return problem
	case !isPlainTarget(r.URL):
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

// isPlainTarget reports whether the target means the same to a route and to a
// back end. Dot segments do not: they would let a request past a path prefix.
func isPlainTarget(target *url.URL) bool {
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

// headerBytes is the size of the request line and the header fields as sent.
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

// timeoutOf is the time of the route, or less when the caller asked for less.
func timeoutOf(r *http.Request, route *snapshot.Route) (time.Duration, *outcome.Problem) {
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

// requestHeader is the header for the instance, except for what differs between
// attempts. The secrets of the route replace what the caller sent.
func requestHeader(r *http.Request, current *snapshot.Snapshot, route *snapshot.Route) (http.Header, *outcome.Problem) {
	header := forward.RequestHeader(r.Header)
	delete(header, outcome.HeaderTimeout)
	for _, wanted := range route.Secrets {
		secret, held := current.Secret(wanted.Secret)
		if !held {
			return nil, refusal(outcome.ReasonNoConfiguration, "a secret of the route is missing")
		}
		header.Set(wanted.Header, wanted.Prefix+secret.Value)
	}
	header[outcome.HeaderRoute] = []string{route.Name}
	return header, nil
}

package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

const (
	headerRetryAfter  = "Retry-After"
	headerContentType = "Content-Type"
	headerLength      = "Content-Length"
	headerCache       = "Cache-Control"

	// problemTypePrefix makes the type URI of a problem from its reason.
	problemTypePrefix = "urn:winchhead:problem:"

	// defaultRetryAfter is told where waiting helps and nothing better is known.
	defaultRetryAfter = time.Second
)

// Problem is an answer that the system makes itself: a problem document
// (RFC 9457) and the headers that state the outcome of the request.
type Problem struct {
	// Type is a URI that names the reason.
	Type string
	// Title is a short sentence about the reason, the same each time.
	Title string
	// Status is the HTTP status.
	Status int
	// Detail is about this one request. It never holds a secret's value.
	Detail  string
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when a repeat is worth trying; zero when waiting does not help.
	RetryAfter time.Duration
}

// document is the JSON form of a Problem.
type document struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
}

// reasonFacts are what all problems of one reason have in common.
type reasonFacts struct {
	status      int
	title       string
	waitingHelp bool
}

var factsByReason = map[Reason]reasonFacts{
	ReasonNoConfiguration:  {http.StatusServiceUnavailable, "The node holds no configuration yet", true},
	ReasonNoRoute:          {http.StatusNotFound, "No route takes the request", false},
	ReasonNoInstance:       {http.StatusServiceUnavailable, "No instance takes work", true},
	ReasonOverloaded:       {http.StatusServiceUnavailable, "The instance has no room for the request", true},
	ReasonRouteLimit:       {http.StatusServiceUnavailable, "The route is at its limit", true},
	ReasonDraining:         {http.StatusServiceUnavailable, "The instance is draining", true},
	ReasonDeadline:         {http.StatusGatewayTimeout, "The time of the request is over", false},
	ReasonConnect:          {http.StatusBadGateway, "The instance cannot be reached", true},
	ReasonBroken:           {http.StatusBadGateway, "The connection broke after the request was sent", false},
	ReasonBadRequest:       {http.StatusBadRequest, "The request is malformed", false},
	ReasonTooLarge:         {http.StatusRequestEntityTooLarge, "The request is too large", false},
	ReasonRepeatInProgress: {http.StatusConflict, "The first request with this key still runs", true},
	ReasonRepeatDone:       {http.StatusConflict, "The first request with this key is done and its answer is not kept", false},
	ReasonRepeatConflict:   {http.StatusUnprocessableEntity, "The key came with another request", false},
	ReasonRepeatLost:       {http.StatusConflict, "It is not known whether the first request with this key ran", false},
	ReasonNoQuorum:         {http.StatusServiceUnavailable, "Too few nodes could remember the key", true},
	ReasonWrongInstance:    {http.StatusMisdirectedRequest, "The address belongs to another process", true},
}

// Reasons returns all reasons, for metrics that resolve their labels at start.
func Reasons() []Reason {
	reasons := make([]Reason, 0, len(factsByReason))
	for reason := range factsByReason {
		reasons = append(reasons, reason)
	}
	return reasons
}

// New returns the problem of that reason with the reason's status and title.
// RetryAfter is set for the reasons where waiting helps. The caller may change
// Status (431 for an oversized header) and RetryAfter. A reason without an entry
// in this package gets status 500.
func New(reason Reason, outcome Outcome, detail string) Problem {
	facts, known := factsByReason[reason]
	if !known {
		facts = reasonFacts{status: http.StatusInternalServerError, title: "Unknown reason"}
	}
	problem := Problem{
		Type:    problemTypePrefix + string(reason),
		Title:   facts.title,
		Status:  facts.status,
		Detail:  detail,
		Outcome: outcome,
		Reason:  reason,
	}
	if facts.waitingHelp {
		problem.RetryAfter = defaultRetryAfter
	}
	return problem
}

// Write sends the problem as the whole answer. It must be the first write to w.
// Headers that the caller set before, such as HeaderLoad, are kept.
func (p Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(document{p.Type, p.Title, p.Status, p.Detail, p.Outcome, p.Reason})
	if err != nil {
		panic("a problem document is always encodable: " + err.Error())
	}
	header := w.Header()
	header.Set(HeaderOutcome, string(p.Outcome))
	header.Set(HeaderReason, string(p.Reason))
	header.Set(headerContentType, ContentType)
	header.Set(headerLength, strconv.Itoa(len(body)))
	header.Set(headerCache, "no-store")
	if p.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatInt(wholeSeconds(p.RetryAfter), 10))
	}
	w.WriteHeader(p.Status)
	// A failed write means that the caller has gone: nobody is left to be told.
	_, _ = w.Write(body)
}

// wholeSeconds rounds up, as Retry-After has no fractions.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// FromResponse returns the problem that another node wrote, read from the
// headers alone: the body is not touched and Detail stays empty. The second
// result is false for an answer that the system did not make.
func FromResponse(response *http.Response) (Problem, bool) {
	outcome := Outcome(response.Header.Get(HeaderOutcome))
	if outcome != NotRun && outcome != Unknown {
		return Problem{}, false
	}
	problem := New(Reason(response.Header.Get(HeaderReason)), outcome, "")
	problem.Status = response.StatusCode
	problem.RetryAfter = 0
	seconds, err := strconv.ParseUint(response.Header.Get(headerRetryAfter), 10, 31)
	if err == nil {
		problem.RetryAfter = time.Duration(seconds) * time.Second
	}
	return problem, true
}

// StripInternal removes the headers that only nodes may set, whatever the case
// of their names.
func StripInternal(header http.Header) {
	for name := range header {
		if IsInternal(name) {
			delete(header, name)
		}
	}
}

// IsInternal reports whether only nodes may set the header of that name.
func IsInternal(name string) bool {
	return len(name) >= len(InternalPrefix) && strings.EqualFold(name[:len(InternalPrefix)], InternalPrefix)
}

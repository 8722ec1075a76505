package snapshot

import "net/http"

// Verdict is the result of matching one route against a request.
type Verdict string

// The verdicts, in the order in which a lookup checks.
const (
	// VerdictChosen marks the route that receives the request.
	VerdictChosen Verdict = "chosen"
	// VerdictShadowed means that the route matches, but an earlier route matches too.
	VerdictShadowed Verdict = "shadowed"
	VerdictHost     Verdict = "other host"
	VerdictPath     Verdict = "other path"
	VerdictMethod   Verdict = "other method"
	VerdictHeader   Verdict = "other header"
)

// RouteVerdict is a route with its verdict for a request.
type RouteVerdict struct {
	Route   *Route  `json:"route"`
	Verdict Verdict `json:"verdict"`
	// Header names the header that does not match; it is set with VerdictHeader.
	Header string `json:"header,omitempty"`
}

// Explain returns all routes in matching order, each with its verdict for the request. The chosen
// route, if any, is the one that Lookup returns. Explain is meant for operators and slower than
// Lookup.
func (s *Snapshot) Explain(method, host, path string, header http.Header) []RouteVerdict {
	considerations := make([]RouteVerdict, 0, len(s.routes))
	chosen := s.Lookup(method, host, path, header)
	for i := range s.routes {
		consideration := evaluate(&s.routes[i], method, host, path, header)
		if consideration.Route == chosen {
			consideration.Verdict = VerdictChosen
		}
		considerations = append(considerations, consideration)
	}
	return considerations
}

// evaluate matches a single route; a match results in VerdictShadowed.
func evaluate(route *Route, method, host, path string, header http.Header) RouteVerdict {
	result := RouteVerdict{Route: route, Verdict: VerdictShadowed}
	switch {
	case !matchesHost(route.Match.Host, host):
		result.Verdict = VerdictHost
	case !route.Match.matchesPath(path):
		result.Verdict = VerdictPath
	case !matchesMethod(route.Match.Methods, method):
		result.Verdict = VerdictMethod
	default:
		for _, wanted := range newTableEntry(route).headers {
			if !matchesHeader(header, wanted.name, wanted.value) {
				result.Verdict = VerdictHeader
				result.Header = wanted.name
				break
			}
		}
	}
	return result
}

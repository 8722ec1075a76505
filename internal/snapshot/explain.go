package snapshot

import "net/http"

// Verdict tells what a lookup makes of one route.
type Verdict string

// The verdicts, in the order in which a lookup checks.
const (
	// VerdictChosen is on the route that the request gets.
	VerdictChosen Verdict = "chosen"
	// VerdictShadowed means that the route matches, but one before it does too.
	VerdictShadowed Verdict = "shadowed"
	VerdictHost     Verdict = "other host"
	VerdictPath     Verdict = "other path"
	VerdictMethod   Verdict = "other method"
	VerdictHeader   Verdict = "other header"
)

// Consideration is one route and why it takes the request or not.
type Consideration struct {
	Route   *Route  `json:"route"`
	Verdict Verdict `json:"verdict"`
	// Header names the header that differs, with VerdictHeader.
	Header string `json:"header,omitempty"`
}

// Explain returns all routes in matching order, each with its verdict for the
// request. The chosen one, if any, is what Lookup returns. It is for operators
// and slower than Lookup.
func (s *Snapshot) Explain(method, host, path string, header http.Header) []Consideration {
	considerations := make([]Consideration, 0, len(s.routes))
	chosen := s.Lookup(method, host, path, header)
	for i := range s.routes {
		consideration := consider(&s.routes[i], method, host, path, header)
		if consideration.Route == chosen {
			consideration.Verdict = VerdictChosen
		}
		considerations = append(considerations, consideration)
	}
	return considerations
}

// consider checks one route by itself; a match is VerdictShadowed.
func consider(route *Route, method, host, path string, header http.Header) Consideration {
	verdict := Consideration{Route: route, Verdict: VerdictShadowed}
	switch {
	case !takesHost(route.Match.Host, host):
		verdict.Verdict = VerdictHost
	case !takesPath(route.Match.PathPrefix, path):
		verdict.Verdict = VerdictPath
	case !takesMethod(route.Match.Methods, method):
		verdict.Verdict = VerdictMethod
	default:
		for _, wanted := range newTableEntry(route).headers {
			if !takesHeader(header, wanted.name, wanted.value) {
				verdict.Verdict = VerdictHeader
				verdict.Header = wanted.name
				break
			}
		}
	}
	return verdict
}

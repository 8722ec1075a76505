package admin

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/winchhead/winchhead/internal/suspects"
)

// Paths about requests that may crash instances.
const (
	pathSuspects     = "/v1/suspects"
	parameterSuspect = "fingerprint"
	clearSuspect     = "/clear"
	pathClearSuspect = pathSuspects + "/{" + parameterSuspect + "}" + clearSuspect
)

// Suspect is the content of requests that may crash the instances which run them.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Standing is "suspected" or "quarantined".
	Standing string `json:"standing"`
	// Crashes counts the crashes at which such a request was in progress, Probes those under
	// a probe.
	Crashes int `json:"crashes"`
	Probes  int `json:"probes"`
	// RefusedUntil is when a quarantined one may be sent again; zero for others.
	RefusedUntil time.Time `json:"refused_until,omitzero"`
}

// SuspectList lists what a node knows, which is what the fleet knows.
type SuspectList struct {
	Suspects []Suspect `json:"suspects"`
}

func (s *Server) suspects(w http.ResponseWriter, _ *http.Request) {
	list := SuspectList{Suspects: []Suspect{}}
	for _, assessed := range s.options.Suspects.Assessed() {
		list.Suspects = append(list.Suspects, Suspect{
			Fingerprint: assessed.Fingerprint.String(), Standing: assessed.Standing.String(),
			Crashes: assessed.Crashes, Probes: assessed.Probes, RefusedUntil: assessed.Until,
		})
	}
	s.write(w, http.StatusOK, list)
}

// clearSuspect lets requests of a content in again, at all nodes.
func (s *Server) clearSuspect(w http.ResponseWriter, r *http.Request) {
	content, err := suspects.ParseFingerprint(chi.URLParam(r, parameterSuspect))
	if err != nil {
		s.write(w, http.StatusBadRequest, Failure{Error: err.Error()})
		return
	}
	if s.options.Suspects.Assess(content).Standing == suspects.Clear {
		s.write(w, http.StatusNotFound, Failure{Error: "nothing stands against requests of that fingerprint"})
		return
	}
	s.options.Suspects.Answered(content)
	s.options.Logger.WithField("fingerprint", content.String()).Warn("an operator cleared the requests of a fingerprint")
	s.suspects(w, r)
}

// Suspects asks which requests may crash instances.
func (c *Client) Suspects(ctx context.Context) (SuspectList, error) {
	return ask[SuspectList](ctx, c, http.MethodGet, pathSuspects, nil)
}

// ClearSuspect lets requests of a fingerprint in again, at all nodes. It returns what is left.
func (c *Client) ClearSuspect(ctx context.Context, fingerprint string) (SuspectList, error) {
	return ask[SuspectList](ctx, c, http.MethodPost, pathSuspects+"/"+url.PathEscape(fingerprint)+clearSuspect, nil)
}

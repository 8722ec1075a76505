package admin

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/winchhead/winchhead/internal/suspects"
)

// Paths for requests that may crash instances.
const (
	pathSuspects         = "/v1/suspects"
	fingerprintParameter = "fingerprint"
	clearSuffix          = "/clear"
	pathClearSuspect     = pathSuspects + "/{" + fingerprintParameter + "}" + clearSuffix
)

// Suspect identifies requests, by the fingerprint of their content, that may crash the
// instances that run them.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Standing is "suspected" or "quarantined".
	Standing string `json:"standing"`
	// Crashes counts the crashes at which such a request was in progress, Probes those of
	// them that happened during a probe.
	Crashes int `json:"crashes"`
	Probes  int `json:"probes"`
	// RefusedUntil is when quarantined requests may be sent again; zero for others.
	RefusedUntil time.Time `json:"refused_until,omitzero"`
}

// SuspectList is the response of /v1/suspects. All nodes share this list.
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

// clearSuspect clears a fingerprint on all nodes, so that its requests are accepted again.
func (s *Server) clearSuspect(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := suspects.ParseFingerprint(chi.URLParam(r, fingerprintParameter))
	if err != nil {
		s.write(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	if s.options.Suspects.Assess(fingerprint).Standing == suspects.Clear {
		s.write(w, http.StatusNotFound, ErrorResponse{Error: "nothing stands against requests of that fingerprint"})
		return
	}
	s.options.Suspects.Clear(fingerprint)
	s.options.Logger.WithField("fingerprint", fingerprint.String()).Warn("an operator cleared a suspected fingerprint")
	s.suspects(w, r)
}

// Suspects returns the requests that may crash instances.
func (c *Client) Suspects(ctx context.Context) (SuspectList, error) {
	return sendRequest[SuspectList](ctx, c, http.MethodGet, pathSuspects, nil)
}

// ClearSuspect clears a fingerprint on all nodes, so that its requests are accepted again. It
// returns the remaining suspects.
func (c *Client) ClearSuspect(ctx context.Context, fingerprint string) (SuspectList, error) {
	return sendRequest[SuspectList](ctx, c, http.MethodPost, pathSuspects+"/"+url.PathEscape(fingerprint)+clearSuffix, nil)
}

package admin

import (
	"context"
	"net/http"

	"github.com/winchhead/winchhead/internal/snapshot"
)

const pathFaults = "/v1/faults"

// Fault is a resource of the configuration in force of whose entry not all was used.
type Fault struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Unusable says that requests for the resource are refused.
	Unusable bool `json:"unusable"`
	// Problem says what was not used.
	Problem string `json:"problem"`
}

// FaultList is the response of /v1/faults.
type FaultList struct {
	Version snapshot.Version `json:"version"`
	Faults  []Fault          `json:"faults"`
}

func (s *Server) faults(w http.ResponseWriter, _ *http.Request) {
	current := s.options.Snapshots.Current()
	if current == nil {
		s.write(w, http.StatusServiceUnavailable, ErrorResponse{Error: "the node holds no configuration yet"})
		return
	}
	list := FaultList{Version: current.Version(), Faults: []Fault{}}
	for _, fault := range current.Faults() {
		list.Faults = append(list.Faults, Fault{Kind: fault.Kind.String(), Name: fault.Name, Unusable: fault.Unusable, Problem: fault.Problem})
	}
	s.write(w, http.StatusOK, list)
}

// Faults returns what is not used of the configuration in force at the node.
func (c *Client) Faults(ctx context.Context) (FaultList, error) {
	return get[FaultList](ctx, c, pathFaults, nil)
}

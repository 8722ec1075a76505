package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/statement"
)

const pathStatements = "/v1/statements"

// InstanceStatement is what an instance stated about itself in its answers, as far as the node knows.
type InstanceStatement struct {
	Instance string `json:"instance"`
	Service  string `json:"service,omitempty"`
	Zone     string `json:"zone,omitempty"`
	// Limit is how many requests per second the instance takes from all nodes together; nil: no limit.
	Limit *float64 `json:"limit_per_second,omitempty"`
	// LimitedFor is how long it has stated a limit, LeavingFor how long it has stated that it leaves; zero
	// if it does not.
	LimitedFor Duration `json:"limited_for,omitzero"`
	LeavingFor Duration `json:"leaving_for,omitzero"`
	// Refused is how many requests this node has refused because of the limit. Only the node beside the
	// instance does.
	Refused int `json:"refused"`
}

// StatementList is the response of /v1/statements: the instances that limit their requests or leave.
type StatementList struct {
	Statements []InstanceStatement `json:"statements"`
}

func (s *Server) statements(w http.ResponseWriter, _ *http.Request) {
	list := StatementList{Statements: []InstanceStatement{}}
	now := time.Now()
	for _, entry := range s.options.Statements.Entries() {
		list.Statements = append(list.Statements, s.newInstanceStatement(entry, now))
	}
	slices.SortFunc(list.Statements, func(a, b InstanceStatement) int { return cmp.Compare(a.Instance, b.Instance) })
	s.write(w, http.StatusOK, list)
}

func (s *Server) newInstanceStatement(entry statement.Entry, now time.Time) InstanceStatement {
	shown := InstanceStatement{Instance: entry.Process.Name, Refused: entry.Record.Refused()}
	if current := s.options.Snapshots.Current(); current != nil {
		if instance, listed := current.Instance(entry.Process.Name); listed {
			shown.Service, shown.Zone = instance.Service, instance.Zone
		}
	}
	if limit := entry.Record.Limit(); limit.Stated {
		shown.Limit, shown.LimitedFor = &limit.PerSecond, elapsed(entry.Record.LimitedSince(), now)
	}
	if entry.Record.IsLeaving() {
		shown.LeavingFor = elapsed(entry.Record.LeavingSince(), now)
	}
	return shown
}

func elapsed(since, now time.Time) Duration { return Duration(now.Sub(since).Round(time.Millisecond)) }

// Statements returns what instances stated about themselves, as far as the node knows.
func (c *Client) Statements(ctx context.Context) (StatementList, error) {
	return get[StatementList](ctx, c, pathStatements, nil)
}

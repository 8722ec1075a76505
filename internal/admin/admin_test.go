package admin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

const secretValue = "s3cr3t-value-of-the-token"

// fakeNode fakes the parts of a node that the admin API shows.
type fakeNode struct {
	current *snapshot.Snapshot
	status  wire.StatusReply
	view    *membership.View
}

func (n *fakeNode) Current() *snapshot.Snapshot { return n.current }
func (n *fakeNode) View() *membership.View      { return n.view }
func (n *fakeNode) SetState(membership.State)   {}
func (n *fakeNode) Status() wire.StatusReply    { return n.status }
func (n *fakeNode) QueryAll(context.Context) []distribution.MemberStatus {
	return []distribution.MemberStatus{{Node: n.status.Node, Reply: &n.status}, {Node: "b", Error: "refused"}}
}

// newFakeNode returns a node that holds one route, with a secret, to a service with one
// ready instance.
func newFakeNode(c *qt.C) *fakeNode {
	version := snapshot.Version{Revision: 7, Hash: snapshot.ContentHash{1}}
	route := snapshot.Route{
		Name:          "trips/read",
		Match:         snapshot.Match{PathPrefix: "/trips"},
		Targets:       []snapshot.WeightedService{{Service: "seguimiento", Weight: 1}},
		Timeout:       1500 * time.Millisecond,
		RepeatMethods: []string{http.MethodGet},
		MaxAttempts:   2,
		Secrets:       []snapshot.SecretHeader{{Header: "Authorization", Secret: "trips-token", Prefix: "Bearer "}},
	}
	current, err := snapshot.New(version, []snapshot.Route{route},
		[]snapshot.Service{{Name: "seguimiento"}}, []snapshot.Secret{{Name: "trips-token", Value: secretValue}})
	c.Assert(err, qt.IsNil)
	record := membership.Record{Node: "a", Incarnation: 1, Sequence: 1, State: membership.StateReady, Zone: "centro",
		PeerAddress: "127.0.0.1:1", DataAddress: "127.0.0.1:2", Service: "seguimiento", Slots: 20}
	return &fakeNode{
		current: current,
		status:  wire.StatusReply{Node: "a", Zone: "centro", State: membership.StateReady, Held: version, SourceAge: 1200},
		view:    membership.NewTable(record).View(),
	}
}

func startServer(c *qt.C, node *fakeNode) (*httptest.Server, *admin.Client) {
	server := httptest.NewServer(admin.New(admin.Options{Zone: "centro", Snapshots: node, Fleet: node, Status: node,
		Gatherer: prometheus.NewRegistry(), Logger: logging.Discard()}))
	c.Cleanup(server.Close)
	return server, admin.NewClient(server.Listener.Addr().String())
}

func TestSecretValuesNeverAppear(t *testing.T) {
	c := qt.New(t)
	server, _ := startServer(c, newFakeNode(c))
	for _, path := range []string{"/healthz", "/readyz", "/metrics", "/v1/status", "/v1/fleet", "/v1/configuration", "/v1/tenants", "/v1/faults",
		"/v1/members", "/v1/explain?method=GET&path=/trips/7", "/v1/explain?method=GET&path=/none"} {
		response, err := http.Get(server.URL + path)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf(path))
		c.Assert(strings.Contains(string(body), secretValue), qt.IsFalse, qt.Commentf(path))
	}
}

func TestClientDecodesResponses(t *testing.T) {
	c := qt.New(t)
	_, client := startServer(c, newFakeNode(c))

	configuration, err := client.Configuration(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(configuration.Version.Revision, qt.Equals, snapshot.Revision(7))
	c.Assert(configuration.Routes[0].Timeout.String(), qt.Equals, "1.5s")
	c.Assert(configuration.Secrets, qt.DeepEquals, []string{"trips-token"})

	explanation, err := client.Explain(c.Context(), admin.ExplainRequest{Method: http.MethodGet, Path: "/trips/7"})
	c.Assert(err, qt.IsNil)
	c.Assert(explanation.Route.Name, qt.Equals, "trips/read")
	c.Assert(explanation.MayRepeat, qt.IsTrue)
	c.Assert(explanation.Targets, qt.HasLen, 1)
	c.Assert(explanation.Targets[0].Instances, qt.DeepEquals, []admin.TargetInstance{
		{Node: "a", Zone: "centro", SameZone: true, DataAddress: "127.0.0.1:2", Slots: 20}})

	explanation, err = client.Explain(c.Context(), admin.ExplainRequest{Method: http.MethodGet, Path: "/other"})
	c.Assert(err, qt.IsNil)
	c.Assert(explanation.Route, qt.IsNil)
	c.Assert(explanation.Considered, qt.DeepEquals, []admin.RouteVerdict{{Route: "trips/read", Verdict: snapshot.VerdictPath}})

	fleet, err := client.Fleet(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(fleet.Members, qt.HasLen, 2)
	c.Assert(fleet.Members[0].Status.SourceAge.String(), qt.Equals, "1.2s")
	c.Assert(fleet.Members[1].Error, qt.Equals, "refused")

	members, err := client.Members(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(members.Members[0].State, qt.Equals, "ready")
}

func TestReadiness(t *testing.T) {
	rows := []struct {
		name string
		edit func(node *fakeNode)
		code int
	}{
		{"holds a version and is ready", func(*fakeNode) {}, http.StatusOK},
		{"holds nothing", func(n *fakeNode) { n.status.Held = snapshot.Version{} }, http.StatusServiceUnavailable},
		{"draining", func(n *fakeNode) { n.status.State = membership.StateDraining }, http.StatusServiceUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			node := newFakeNode(c)
			row.edit(node)
			server, _ := startServer(c, node)
			response, err := http.Get(server.URL + "/readyz")
			c.Assert(err, qt.IsNil)
			c.Assert(response.Body.Close(), qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, row.code)
		})
	}
}

func TestClientErrors(t *testing.T) {
	c := qt.New(t)
	node := newFakeNode(c)
	node.current = nil
	server, client := startServer(c, node)
	var refused *admin.ResponseError
	_, err := client.Explain(c.Context(), admin.ExplainRequest{Method: http.MethodGet, Path: "/trips"})
	c.Assert(err, qt.ErrorAs, &refused)
	c.Assert(refused.Problem, qt.Equals, "the node holds no configuration version yet")
	_, err = client.Explain(c.Context(), admin.ExplainRequest{Method: http.MethodGet, Path: "trips"})
	c.Assert(err, qt.ErrorAs, &refused)
	c.Assert(refused.Code, qt.Equals, http.StatusBadRequest)
	server.Close()
	var unreachable *admin.UnreachableError
	_, err = client.Status(c.Context())
	c.Assert(err, qt.ErrorAs, &unreachable)
}

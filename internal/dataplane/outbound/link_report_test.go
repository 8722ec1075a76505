package outbound

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// newTestPools returns pools whose sidecars are all the given handler, and an instance beside one.
func newTestPools(t *testing.T, handler http.HandlerFunc) (*sidecarPools, snapshot.Instance) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	pools := newSidecarPools(Options{NodePort: int(netip.MustParseAddrPort(address).Port()), Mechanisms: mechanism.All()})
	t.Cleanup(pools.close)
	return pools, snapshot.Instance{Name: "i-1", Address: address}
}

// TestLinkIsRemovedFromAnswers checks that the link of a node is read, and that no caller sees its field.
func TestLinkIsRemovedFromAnswers(t *testing.T) {
	c := qt.New(t)
	pools, instance := newTestPools(t, func(writer http.ResponseWriter, _ *http.Request) {
		hop.Report{Outcome: hop.Answered, Link: hop.Link{Backlog: time.Minute, Rate: 1000}}.AddTo(writer.Header())
	})
	sent := pools.send(context.Background(), testRequest(http.MethodGet), instance, hop.Order{Instance: "i-1"}, nil)
	c.Assert(sent.err, qt.IsNil)
	c.Check(sent.report.Link.Rate, qt.Equals, 1000)
	c.Check(sent.report.Link.Backlog <= time.Minute && sent.report.Link.Backlog > 0, qt.IsTrue)
	for _, name := range []string{hop.Header, hop.HeaderLink, "Connection"} {
		c.Check(sent.answer.Header[name], qt.IsNil)
	}
}

// TestSlowResponseDoesNotEject guards against the ejection of a healthy instance whose response was still
// being received at the deadline, because the link is busy.
func TestSlowResponseDoesNotEject(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	pools, instance := newTestPools(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header()["Content-Length"] = []string{"100000"}
		_, _ = writer.Write([]byte(strings.Repeat("x", 10_000)))
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	})
	response, err := pools.poolOf(pools.nodeAddress(instance)).Do(ctx, &client.Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
	})
	c.Assert(err, qt.IsNil)
	cancel() // as the deadline does
	sent := takeAnswer(response, hop.Report{Outcome: hop.Answered})
	c.Assert(sent.err, qt.IsNotNil)
	c.Check(sent.report.Outcome, qt.Equals, hop.Unknown)
	c.Check((&exchange{ctx: ctx}).balanceResult(balance.Choice{}, sent), qt.Equals, balance.Abandoned)
}

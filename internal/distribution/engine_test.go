package distribution_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wire"
)

// driver passes events to one engine and keeps its last action of each type.
type driver struct {
	engine *distribution.Engine
	now    time.Time
	dial   distribution.Dial
	await  distribution.AwaitSource
	fetch  distribution.FetchSource
	list   distribution.FetchMembers
	logs   []string
}

func newDriver() *driver {
	d := &driver{now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	d.engine = distribution.NewEngine(distribution.EngineOptions{
		Self: membership.Record{Node: "self", Incarnation: 1, State: membership.StateReady, Region: "south",
			Zone: "zone", PeerAddress: "self"},
		Seed: 1, Timing: distribution.DefaultTiming(),
	})
	return d
}

func (d *driver) handle(event distribution.Event) {
	for _, action := range d.engine.Handle(d.now, event) {
		switch action := action.(type) {
		case distribution.Dial:
			d.dial = action
		case distribution.AwaitSource:
			d.await = action
		case distribution.FetchSource:
			d.fetch = action
		case distribution.FetchMembers:
			d.list = action
		case distribution.Log:
			d.logs = append(d.logs, action.Text)
		}
	}
}

// run delivers a Tick whenever the engine asks for one.
func (d *driver) run(duration time.Duration) {
	end := d.now.Add(duration)
	for d.engine.NextWake().Before(end) {
		d.now = d.engine.NextWake()
		d.handle(distribution.Tick{})
	}
	d.now = end
}

var okOutcome = source.Outcome{Status: source.StatusFresh}

func listed(nodes ...membership.NodeID) (members []membership.ListedMember) {
	for _, node := range nodes {
		members = append(members, membership.ListedMember{Node: node, PeerAddress: string(node), Region: "south",
			Zone: "zone", State: membership.ListedLive})
	}
	return members
}

// TestCancelledFetchIsRepeated checks that a fetch which was cancelled is repeated. A node that
// holds nothing stops reading when it learns of a peer, and has to fetch again once the peer
// turns out to be unreachable.
func TestCancelledFetchIsRepeated(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	d.handle(distribution.Tick{})
	d.handle(distribution.MembersListed{Request: d.list.Request, Members: listed("self"), ETag: "1", Outcome: okOutcome})
	d.run(2 * time.Second)
	c.Assert(d.await.Request, qt.Not(qt.Equals), distribution.RequestID(0))
	version := document(2).Version()
	d.handle(distribution.SourceRevision{Request: d.await.Request, Version: version, Outcome: okOutcome})
	c.Assert(d.fetch.Request, qt.Not(qt.Equals), distribution.RequestID(0))
	d.handle(distribution.MembersListed{Request: d.list.Request, Members: listed("self", "peer"), ETag: "2", Outcome: okOutcome})
	d.run(time.Second)
	c.Assert(d.dial.Node, qt.Equals, membership.NodeID("peer"))
	d.handle(distribution.DialFailed{Link: d.dial.Link})
	d.run(5 * time.Second)
	d.handle(distribution.SourceRevision{Request: d.await.Request, Version: version, Outcome: okOutcome})
	d.run(time.Second)
	d.handle(distribution.SourceDocument{Request: d.fetch.Request, Document: document(2), Outcome: okOutcome})
	d.handle(distribution.AdoptResult{Version: version})
	c.Assert(d.engine.Held(), qt.Equals, version)
}

// TestSuspicionNeedsEvidence checks which failed dials make a member suspected. A single
// unanswered dial may be due to a lack of CPU time at either end, and no unanswered dial counts
// while this process is late.
func TestSuspicionNeedsEvidence(t *testing.T) {
	const late = 500 * time.Millisecond
	cases := []struct {
		name      string
		refused   bool
		late      time.Duration
		failures  int
		suspected bool
	}{
		{name: "one dial is refused", refused: true, failures: 1, suspected: true},
		{name: "one dial is not answered", failures: 1},
		{name: "two dials are not answered", failures: 2, suspected: true},
		{name: "two dials are not answered while the process is late", late: late, failures: 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver()
			d.handle(distribution.Tick{})
			d.handle(distribution.Accepted{Link: 2, Hello: &wire.Hello{Protocol: wire.ProtocolVersion,
				Purpose: wire.PurposeLink, Self: membership.Record{Node: "peer", Incarnation: 1, Sequence: 1,
					State: membership.StateReady, Region: "south", Zone: "zone", PeerAddress: "peer"}}})
			d.run(time.Second)
			d.handle(distribution.LinkDown{Link: 2, Cause: distribution.DownBroken})
			var dialled distribution.LinkID
			for range test.failures {
				for d.dial.Link == dialled {
					d.now = d.engine.NextWake()
					d.handle(distribution.Tick{})
				}
				dialled = d.dial.Link
				if test.late > 0 { // later than the engine asked to be woken
					d.now = d.engine.NextWake().Add(test.late)
				}
				d.handle(distribution.DialFailed{Link: dialled, Refused: test.refused})
			}
			d.run(time.Second)
			member, _ := d.engine.View().Member("peer")
			c.Assert(member.Suspected, qt.Equals, test.suspected)
		})
	}
}

// TestRefusedReaderResigns checks that a reader that is only refused for two seconds resigns, so
// that another node reads: the platform may refuse one node and serve the others.
func TestRefusedReaderResigns(t *testing.T) {
	c := qt.New(t)
	d := newDriver()
	d.handle(distribution.Tick{})
	d.handle(distribution.MembersListed{Request: d.list.Request, Members: listed("self"), ETag: "1", Outcome: okOutcome})
	d.run(2 * time.Second)
	c.Assert(d.await.Request, qt.Not(qt.Equals), distribution.RequestID(0))
	answered := distribution.RequestID(0)
	for range 40 {
		if d.await.Request != answered {
			answered = d.await.Request
			d.handle(distribution.SourceRevision{Request: answered, Outcome: source.Outcome{Status: source.StatusBusy, Err: errRefused}})
		}
		d.run(50 * time.Millisecond)
	}
	c.Check(d.logs, qt.Contains, "cannot read the source: "+errRefused.Error())
}

package inbound

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// TestLinkAdmission: a request is refused if its response would wait for the link for longer than the request
// may wait, or be sent after its deadline. Figures that are not known or not valid refuse nothing.
func TestLinkAdmission(t *testing.T) {
	const ms = time.Millisecond
	usual := linkDemand{rate: 1e6, bytes: 100_000, serviceTime: 200 * ms, maxWait: 500 * ms, remaining: 4000 * ms}
	for name, row := range map[string]struct {
		change func(*linkDemand)
		want   time.Duration
	}{
		"idle":                          {func(*linkDemand) {}, 0},
		"sent while the instance works": {func(d *linkDemand) { d.backlog = 200 * ms }, 0},
		"as long as it may wait":        {func(d *linkDemand) { d.backlog = 700 * ms }, 0},
		"longer than it may wait":       {func(d *linkDemand) { d.backlog = 800 * ms }, 100 * ms},
		"sent while it waits for a slot": {func(d *linkDemand) {
			d.backlog, d.slotWait = 800*ms, 100*ms
		}, 100 * ms}, // the slot and the link together take 700 ms of waiting in either case
		"a wait for a slot alone is left to the queue": {func(d *linkDemand) { d.slotWait = time.Second }, 0},
		"after the deadline":                           {func(d *linkDemand) { d.maxWait, d.backlog = time.Hour, 4000*ms }, 100 * ms},
		"not sent by the deadline on an idle link":     {func(d *linkDemand) { d.remaining = 250 * ms }, 50 * ms},
		"rate not known":                               {func(d *linkDemand) { d.rate, d.backlog = 0, time.Hour }, 0},
		"negative rate":                                {func(d *linkDemand) { d.rate, d.backlog = -1, time.Hour }, 0},
		"infinite rate":                                {func(d *linkDemand) { d.rate, d.backlog = math.Inf(1), time.Hour }, 0},
		"rate is not a number":                         {func(d *linkDemand) { d.rate, d.backlog = math.NaN(), time.Hour }, 0},
		"negative backlog":                             {func(d *linkDemand) { d.backlog = -time.Hour }, 0},
		"size not known":                               {func(d *linkDemand) { d.bytes, d.backlog = 0, time.Hour }, 0},
		"negative slot wait":                           {func(d *linkDemand) { d.slotWait = -ms }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			demand := usual
			row.change(&demand)
			qt.Check(t, demand.excess(), qt.Equals, row.want)
		})
	}
}

// TestResponseSizes checks that sizes are learned per route from valid responses, and that the number of
// routes is bounded.
func TestResponseSizes(t *testing.T) {
	c := qt.New(t)
	var sizes responseSizes
	c.Check(sizes.mean("large"), qt.Equals, int64(0))
	sizes.record("large", 60_000)
	sizes.record("large", 120_000)
	sizes.record("large", -1) // the length of the response is not known
	sizes.record("small", 500)
	c.Check(sizes.mean("large"), qt.Equals, int64(90_000))
	c.Check(sizes.countFrom(transfer.MinQueuedBytes), qt.Equals, 1)
	for range 500 {
		sizes.record("large", 1000)
	}
	c.Check(sizes.countFrom(transfer.MinQueuedBytes), qt.Equals, 0)
	for i := range 10 * maxSizedRoutes {
		sizes.record(fmt.Sprint(i), 1)
	}
	c.Check(len(sizes.routes) <= maxSizedRoutes, qt.IsTrue)
}

// fakeEgress is an idle link with a rate of 1 MB per second.
type fakeEgress struct{ expected int64 }

func (f *fakeEgress) Expect(bytes int64) func() {
	f.expected += bytes
	return func() { f.expected -= bytes }
}
func (f *fakeEgress) Owed() time.Duration { return time.Duration(f.expected) * time.Microsecond }
func (f *fakeEgress) Rate() float64       { return 1e6 }

// TestAdmittedResponsesAreExpected checks that requests with large responses are admitted until their
// responses fill the time that each may wait, and again when one has ended; a request of the node itself
// is always admitted. Small responses are neither expected nor refused.
func TestAdmittedResponsesAreExpected(t *testing.T) {
	c := qt.New(t)
	egress := &fakeEgress{}
	link, err := newResponseLink(Options{Egress: egress, Mechanisms: mechanism.All()})
	c.Assert(err, qt.IsNil)
	c.Check(link.report().IsKnown(), qt.IsFalse)
	link.learn("r", &message.Response{Status: 200, Length: 100_000})
	link.learn("r", &message.Response{Status: 404, Length: 10})
	link.learn("r", nil)
	c.Check(link.sizes.mean("r"), qt.Equals, int64(100_000))
	demand := linkDemand{bytes: link.sizes.mean("r"), serviceTime: 100 * time.Millisecond, maxWait: 200 * time.Millisecond, remaining: time.Minute}
	var admitted []func()
	for {
		done, retryAfter := link.admit(demand, true)
		if done == nil {
			c.Check(retryAfter, qt.Equals, 100*time.Millisecond)
			break
		}
		admitted = append(admitted, done)
	}
	c.Check(admitted, qt.HasLen, 4) // 100 ms while the instance works, 200 ms of waiting, and its own
	c.Check(link.report().Backlog, qt.Equals, 400*time.Millisecond)
	small, _ := link.admit(linkDemand{bytes: 1000}, true)
	c.Assert(small, qt.IsNotNil)
	small()
	local, _ := link.admit(demand, false)
	c.Assert(local, qt.IsNotNil)
	local()
	admitted[0]()
	done, _ := link.admit(demand, true)
	c.Assert(done, qt.IsNotNil)
	c.Check(egress.expected, qt.Equals, int64(400_000))
}

// TestSizesAreLearnedAgain guards against a route of which no request is ever admitted again after a response that
// is too large for the time of the next ones: while the link is idle, one is admitted and shows the size.
func TestSizesAreLearnedAgain(t *testing.T) {
	c := qt.New(t)
	link, err := newResponseLink(Options{Egress: &fakeEgress{}, Mechanisms: mechanism.All()})
	c.Assert(err, qt.IsNil)
	admit := func() func() {
		done, _ := link.admit(linkDemand{bytes: link.sizes.mean("r"), maxWait: time.Second, remaining: 4 * time.Second}, true)
		return done
	}
	link.learn("r", &message.Response{Status: 200, Length: 100_000_000})
	for range 40 {
		done := admit()
		c.Assert(done, qt.IsNotNil)
		if link.sizes.mean("r") >= 4_000_000 { // of a link with 1 MB per second
			c.Check(admit(), qt.IsNil)
		}
		link.learn("r", &message.Response{Status: 200, Length: 100_000})
		done()
	}
}

// TestNoAdmissionWithoutLink checks that nothing changes if the link is not known or the mechanism is
// disabled.
func TestNoAdmissionWithoutLink(t *testing.T) {
	for name, options := range map[string]Options{
		"no link":        {Mechanisms: mechanism.All()},
		"disabled":       {Egress: &fakeEgress{}},
		"rate not known": {Egress: unknownRate{}, Mechanisms: mechanism.All()},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			link, err := newResponseLink(options)
			c.Assert(err, qt.IsNil)
			c.Check(link, qt.IsNil)
			c.Check(link.report().IsKnown(), qt.IsFalse)
		})
	}
}

type unknownRate struct{}

func (unknownRate) Expect(int64) func() { return func() {} }
func (unknownRate) Owed() time.Duration { return time.Hour }
func (unknownRate) Rate() float64       { return 0 }

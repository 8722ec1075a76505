package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const largeBytes = 100 << 10

// linkFixture is a balancer that knows a route with large responses.
type linkFixture struct {
	*Balancer
	now time.Time
}

func newLinkFixture(mechanisms mechanism.Set) *linkFixture {
	fixture := &linkFixture{New(Options{Zone: "z", Mechanisms: mechanisms, LinkKnown: true}), time.Unix(1000, 0)}
	stats := fixture.routeStatsOf("large")
	stats.answerBytes = largeBytes
	return fixture
}

func linkInstance(name string) snapshot.Instance {
	return snapshot.Instance{Name: name, Service: "s", Zone: "z", Address: name, Slots: 4, State: snapshot.InstanceReady}
}

func (f *linkFixture) pick(c *qt.C, route string, names ...string) Choice {
	request := Request{Route: route, Target: time.Second, Now: f.now, Avoid: func(string) bool { return false }}
	for _, name := range names {
		request.Instances = append(request.Instances, linkInstance(name))
	}
	choice, found := f.Pick(request)
	c.Assert(found, qt.IsTrue)
	return choice
}

// report records a report of an instance that comes with the response to a small request.
func (f *linkFixture) report(c *qt.C, name string, link hop.Link) {
	f.pick(c, "small", name).Done(Served, &hop.Report{Outcome: hop.Answered, Slots: 4, Link: link}, 500, f.now)
}

// TestResponseTimeOfLinks checks what a reported backlog adds for large responses: the part that is not sent
// by the time at which the response is ready, less the age of the report, and the transmission. A report that
// is missing or older than 2 s adds no backlog.
func TestResponseTimeOfLinks(t *testing.T) {
	const ms = time.Millisecond
	link := hop.Link{Backlog: time.Second, Rate: 1000}
	for name, row := range map[string]struct {
		reported   hop.Link
		age, ready time.Duration
		bytes      float64
		want       time.Duration
	}{
		"just reported":          {link, 0, 0, largeBytes, 1100 * ms},
		"aged":                   {link, 300 * ms, 0, largeBytes, 800 * ms},
		"drained until ready":    {link, 300 * ms, 500 * ms, largeBytes, 300 * ms},
		"drained":                {link, 1500 * ms, 0, largeBytes, 100 * ms},
		"too old":                {hop.Link{Backlog: time.Minute, Rate: 1000}, 2001 * ms, 0, largeBytes, 100 * ms},
		"reported in the future": {link, -time.Second, 0, largeBytes, 1100 * ms},
		"small response":         {link, 0, 0, 1000, 0},
		"no report":              {hop.Link{}, 0, 0, largeBytes, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var known linkState
			now := time.Unix(1000, 0)
			known.report(row.reported, now)
			qt.Check(t, known.responseTime(row.bytes, row.ready, now.Add(row.age)), qt.Equals, row.want)
		})
	}
}

// TestBusyLinkIsAvoided checks that an instance with a busy link gets no request with a large response while
// another one is idle, but small ones as before, and large ones again when the backlog is drained.
func TestBusyLinkIsAvoided(t *testing.T) {
	c := qt.New(t)
	fixture := newLinkFixture(mechanism.All())
	choices := func(route string) (busy int) {
		for range 40 {
			choice := fixture.pick(c, route, "busy", "idle")
			if choice.Instance.Name == "busy" {
				busy++
			}
			choice.Done(Abandoned, nil, 0, fixture.now)
			fixture.instances["busy"].link.own, fixture.instances["idle"].link.own = 0, 0
		}
		return busy
	}
	fixture.report(c, "idle", hop.Link{Rate: 1000})
	fixture.report(c, "busy", hop.Link{Backlog: 1200 * time.Millisecond, Rate: 1000})
	c.Check(choices("large"), qt.Equals, 0)
	c.Check(choices("small") > 5, qt.IsTrue)
	fixture.now = fixture.now.Add(1300 * time.Millisecond)
	c.Check(choices("large") > 5, qt.IsTrue)
}

// TestConnectTimeoutAtBusyLink checks which attempts to connect that time out eject an instance. It guards
// against ejections of healthy instances whose links are saturated, and against dead ones that are not
// ejected because requests to them count as bodies in transit, or although nothing says that links are narrow.
func TestConnectTimeoutAtBusyLink(t *testing.T) {
	busy := hop.Link{Backlog: 300 * time.Millisecond, Rate: 1000}
	off := mechanism.All()
	off.LinkBacklog = false
	for name, row := range map[string]struct {
		mechanisms mechanism.Set
		before     func(c *qt.C, f *linkFixture)
		result     Result
		want       Transition
	}{
		"nothing is known": {mechanism.All(), func(*qt.C, *linkFixture) {}, ConnectTimedOut, Ejected},
		"link reported busy": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.report(c, "a", busy)
		}, ConnectTimedOut, LinkBusy},
		"link reported busy long ago": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.report(c, "a", busy)
			f.now = f.now.Add(maxReportAge + time.Millisecond)
		}, ConnectTimedOut, Ejected},
		"link reported idle": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.report(c, "a", hop.Link{Rate: 1000})
		}, ConnectTimedOut, Ejected},
		"connection refused at a busy link": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.report(c, "a", busy)
		}, DeliveryFailed, Ejected},
		"large response in transit": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.pick(c, "large", "a")
			f.now = f.now.Add(connectedAfter)
		}, ConnectTimedOut, LinkBusy},
		"large response that may still be connecting": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.pick(c, "large", "a")
		}, ConnectTimedOut, Ejected},
		"large response received just now": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.pick(c, "large", "a").Done(Served, &hop.Report{Outcome: hop.Answered}, largeBytes, f.now)
			f.now = f.now.Add(largeBodyPeriod)
		}, ConnectTimedOut, LinkBusy},
		"large response received a while ago": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.pick(c, "large", "a").Done(Served, &hop.Report{Outcome: hop.Answered}, largeBytes, f.now)
			f.now = f.now.Add(largeBodyPeriod + time.Millisecond)
		}, ConnectTimedOut, Ejected},
		"large request that did not connect": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.pick(c, "large", "a").Done(ConnectTimedOut, nil, 0, f.now)
			f.instances["a"].ejected = false
		}, ConnectTimedOut, Ejected},
		"large response received just now, links not known": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.options.LinkKnown = false
			f.pick(c, "large", "a").Done(Served, &hop.Report{Outcome: hop.Answered}, largeBytes, f.now)
		}, ConnectTimedOut, Ejected},
		"large response received just now, links of others known": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.options.LinkKnown = false
			f.report(c, "b", hop.Link{Rate: 1000})
			f.pick(c, "large", "a").Done(Served, &hop.Report{Outcome: hop.Answered}, largeBytes, f.now)
		}, ConnectTimedOut, LinkBusy},
		"small response in transit": {mechanism.All(), func(c *qt.C, f *linkFixture) {
			f.pick(c, "small", "a")
			f.now = f.now.Add(connectedAfter)
		}, ConnectTimedOut, Ejected},
		"disabled": {off, func(c *qt.C, f *linkFixture) { f.report(c, "a", busy) }, ConnectTimedOut, Ejected},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			fixture := newLinkFixture(row.mechanisms)
			row.before(c, fixture)
			choice := fixture.pick(c, "large", "a")
			c.Check(choice.Done(row.result, nil, 0, fixture.now), qt.Equals, row.want)
			c.Check(fixture.instances["a"].ejectedUntil.After(fixture.now), qt.Equals, row.want == Ejected)
		})
	}
}

// TestLargeBodiesAreBounded checks that exchanges beyond the bound are not tracked, and that ends in any order
// leave none behind.
func TestLargeBodiesAreBounded(t *testing.T) {
	c := qt.New(t)
	fixture := newLinkFixture(mechanism.All())
	var choices []Choice
	for range 2 * maxLargeBodies {
		choices = append(choices, fixture.pick(c, "large", "a"))
	}
	c.Check(fixture.instances["a"].link.largeBodies, qt.HasLen, maxLargeBodies)
	for i := range choices {
		choices[len(choices)-1-i].Done(Abandoned, nil, 0, fixture.now)
	}
	c.Check(fixture.instances["a"].link.largeBodies, qt.HasLen, 0)
}

// TestLargeResponsesSpreadOverLinks checks that a node asks instances for large responses in proportion to the
// rates of their links although one of them is faster, and that the rate that is not known counts as average.
func TestLargeResponsesSpreadOverLinks(t *testing.T) {
	c := qt.New(t)
	fixture := newLinkFixture(mechanism.All())
	fixture.report(c, "fast", hop.Link{Rate: 1000})
	fixture.report(c, "slow", hop.Link{Rate: 1000})
	fixture.report(c, "wide", hop.Link{Rate: 2000})
	fixture.instances["fast"].setReportedSlowdown(60, fixture.now)
	counts := map[string]int{}
	for range 400 {
		choice := fixture.pick(c, "large", "fast", "slow", "wide", "unknown")
		counts[choice.Instance.Name]++
		choice.Done(Abandoned, nil, 0, fixture.now)
		for _, known := range fixture.instances {
			known.link.own = 0 // as if it were sent
		}
	}
	c.Check(float64(counts["fast"]) < 1.4*float64(counts["slow"]), qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(float64(counts["wide"]) > 1.5*float64(counts["slow"]), qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["unknown"] > counts["slow"]/2 && counts["unknown"] < 2*counts["wide"], qt.IsTrue, qt.Commentf("%v", counts))
}

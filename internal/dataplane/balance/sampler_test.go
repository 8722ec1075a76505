package balance_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// report is a report of an instance with four slots.
func report(running int) *hop.Report {
	return &hop.Report{Outcome: hop.Answered, Running: running, Slots: 4, Execution: 100 * time.Millisecond}
}

// TestSendersWithStaleReportsSpread: many senders have an old report that one instance is
// idle and fast. The report is too old to be used, so they do not all choose that instance.
func TestSendersWithStaleReportsSpread(t *testing.T) {
	const (
		senders   = 200
		instances = 100
		maxAtOne  = senders / 8 // 4 of 100 instances are sampled: 8 senders expected
		reportAge = 5 * time.Second
	)
	c := qt.New(t)
	now := time.Now()
	var all []snapshot.Instance
	for i := range instances {
		all = append(all, instance(fmt.Sprint("i", i), "near"))
	}
	chosen := make(map[string]int)
	for range senders {
		b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
		choice, _ := pick(b, now, "", all[0])
		fast := report(0)
		fast.SlowdownPercent = 50
		choice.Done(balance.Served, fast, 0, now)
		choice, found := pick(b, now.Add(reportAge), "", all...)
		c.Assert(found, qt.IsTrue)
		chosen[choice.Instance.Name]++
	}
	for name, count := range chosen {
		c.Check(count <= maxAtOne, qt.IsTrue, qt.Commentf("%s was chosen by %d of %d", name, count, senders))
	}
}

// TestInstanceWithoutReportIsNotAssumedIdle: while the instances that report are busy, one
// without a recent report is expected to be as busy.
func TestInstanceWithoutReportIsNotAssumedIdle(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	for range 40 { // enough for the average occupancy to settle
		choice, _ := pick(b, now, "", instance("full", "near"))
		choice.Done(balance.Served, report(8), 0, now)
	}
	choice, _ := pick(b, now, "", instance("free", "near"))
	choice.Done(balance.Served, report(2), 0, now)
	choice, found := pick(b, now, "", instance("silent", "near"), instance("free", "near"), instance("full", "near"))
	c.Assert(found, qt.IsTrue)
	c.Check(choice.Instance.Name, qt.Equals, "free")
}

// TestHealthyInstanceAmongEjectedOnes: after a power failure most listed instances are gone.
// The few that are left are considered for each request, however many are ejected.
func TestHealthyInstanceAmongEjectedOnes(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	all := []snapshot.Instance{instance("sound", "near")}
	for i := range 60 {
		gone := instance(fmt.Sprint("gone", i), "near")
		all = append(all, gone)
		choice, _ := pick(b, now, "", gone)
		choice.Done(balance.NotAccepting, nil, 0, now)
	}
	for range 50 {
		choice, found := pick(b, now, "", all...)
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Instance.Name, qt.Equals, "sound")
		choice.Done(balance.Abandoned, nil, 0, now)
	}
}

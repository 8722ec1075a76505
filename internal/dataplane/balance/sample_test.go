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

// report is one of an instance with four slots.
func report(running int) *hop.Report {
	return &hop.Report{Outcome: hop.Answered, Running: running, Slots: 4, Execution: 100 * time.Millisecond}
}

// TestSendersWithOldInformationSpread: many senders once heard that one instance is idle
// and fast. That is too old to count, so they do not all choose it.
func TestSendersWithOldInformationSpread(t *testing.T) {
	const (
		senders     = 200
		instances   = 100
		mostAtOne   = senders / 8 // 4 of 100 instances are drawn: 8 senders expected
		informedAgo = 5 * time.Second
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
		fast.Speed = 50
		choice.Done(balance.Served, fast, 0, now)
		choice, found := pick(b, now.Add(informedAgo), "", all...)
		c.Assert(found, qt.IsTrue)
		chosen[choice.Instance.Name]++
	}
	for name, count := range chosen {
		c.Check(count <= mostAtOne, qt.IsTrue, qt.Commentf("%s was chosen by %d of %d", name, count, senders))
	}
}

// TestSilentInstanceIsNotTakenForIdle: while the instances that report are busy, one that
// did not report lately is expected to be as busy.
func TestSilentInstanceIsNotTakenForIdle(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	for range 40 { // long enough for the usual load to be known
		choice, _ := pick(b, now, "", instance("full", "near"))
		choice.Done(balance.Served, report(8), 0, now)
	}
	choice, _ := pick(b, now, "", instance("free", "near"))
	choice.Done(balance.Served, report(2), 0, now)
	choice, found := pick(b, now, "", instance("silent", "near"), instance("free", "near"), instance("full", "near"))
	c.Assert(found, qt.IsTrue)
	c.Check(choice.Instance.Name, qt.Equals, "free")
}

// TestSoundInstanceAmongLostOnes: after a loss of power most instances of the list are
// gone. The few that are left are considered each time, however many are ejected.
func TestSoundInstanceAmongLostOnes(t *testing.T) {
	c := qt.New(t)
	b := balance.New(balance.Options{Zone: "near", Mechanisms: mechanism.All()})
	now := time.Now()
	all := []snapshot.Instance{instance("sound", "near")}
	for i := range 60 {
		gone := instance(fmt.Sprint("gone", i), "near")
		all = append(all, gone)
		choice, _ := pick(b, now, "", gone)
		choice.Done(balance.Leaving, nil, 0, now)
	}
	for range 50 {
		choice, found := pick(b, now, "", all...)
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Instance.Name, qt.Equals, "sound")
		choice.Done(balance.Abandoned, nil, 0, now)
	}
}

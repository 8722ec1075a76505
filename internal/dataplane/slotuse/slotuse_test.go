package slotuse_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/dataplane/slotuse"
)

// TestSlotsOfASecond guards against refusals that do not tell who held the slots: a line is written for a second
// with refusals, and for no other.
func TestSlotsOfASecond(t *testing.T) {
	c := qt.New(t)
	logger, hook := test.NewNullLogger()
	ledger := slotuse.New(logger)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ledger.Ended(0, slotuse.InTime, time.Second, start)
	ledger.Flush(start.Add(time.Second))
	c.Assert(hook.Entries, qt.HasLen, 0)

	second := start.Add(time.Second)
	ledger.Ended(0, slotuse.Late, 20*time.Millisecond, second)
	ledger.Ended(0, slotuse.Late, 30*time.Millisecond, second)
	ledger.Ended(1, slotuse.InTime, 5*time.Millisecond, second)
	ledger.Refused(slotuse.Refusal{Priority: 1, Running: 6, Usable: 4, Slots: 6}, second)
	ledger.Refused(slotuse.Refusal{Priority: 1, Running: 3, Usable: 2, Slots: 6}, second)
	ledger.Refused(slotuse.Refusal{Priority: 9, Running: 3, Usable: 6, Slots: 6}, second)
	ledger.Flush(start.Add(2 * time.Second))
	c.Assert(hook.Entries, qt.HasLen, 1)
	c.Check(hook.Entries[0].Data, qt.DeepEquals, logrus.Fields{
		slotuse.FieldSecond: "2026-01-01T00:00:01Z", slotuse.FieldHeld: "0/late:50,1/in_time:5",
		slotuse.FieldRefused: "1/full:1,1/reserved:1,7/ahead:1", slotuse.FieldUsable: 2, slotuse.FieldSlots: 6,
	})
	registry := prometheus.NewRegistry()
	registry.MustRegister(ledger.Collectors()...)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	c.Assert(families, qt.HasLen, 2)
	c.Check(families[1].GetMetric(), qt.HasLen, 3)

	ledger.Flush(start.Add(time.Minute))
	c.Check(hook.Entries, qt.HasLen, 1)
}

// TestStateIsBoundedByPriorities guards against metrics that grow with the requests or with the priorities that senders
// state: priorities beyond the last class share its series.
func TestStateIsBoundedByPriorities(t *testing.T) {
	c := qt.New(t)
	logger, _ := test.NewNullLogger()
	ledger := slotuse.New(logger)
	for priority := range 1000 {
		ledger.Ended(priority, slotuse.InTime, time.Millisecond, time.Unix(1, 0))
		ledger.Refused(slotuse.Refusal{Priority: priority, Running: 6, Usable: 6, Slots: 6}, time.Unix(1, 0))
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(ledger.Collectors()...)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		c.Check(family.GetMetric(), qt.HasLen, 8)
	}
}

package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
)

// TestStateDoesNotGrowWithNodes guards against state for each node or instance: that of an instance's node is
// bounded by priorities and values, that of a sender by services.
func TestStateDoesNotGrowWithNodes(t *testing.T) {
	const priorities, values, services = 3, 3, 30
	start := time.Unix(1000, 0)
	for _, nodes := range []int{100, 1000} {
		grants, full := admission.NewGrants(), admission.NewServices()
		for node := range nodes {
			now := start.Add(time.Duration(node) * time.Millisecond)
			grants.Granted(admission.Class{Priority: node % priorities, Value: node / priorities % values}, ms, now)
			full.Reported(fmt.Sprint("service-", node%services), node%priorities, node%2 == 0, now)
		}
		t.Logf("%d nodes: slot time of %d classes in two windows, reports of %d services", nodes, grants.Size(), full.Size())
		qt.Check(t, grants.Size(), qt.Equals, 2*priorities*values)
		qt.Check(t, full.Size(), qt.Equals, services)
	}
}

// BenchmarkForecast measures what a request that finds no slot costs besides the order of the queue.
func BenchmarkForecast(b *testing.B) {
	const priorities = 3
	grants, now := admission.NewGrants(), time.Unix(1000, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		class := admission.Class{Priority: i % priorities}
		grants.Granted(class, ms, now)
		_, _ = admission.Backlog{Slots: 6, Ahead: 100 * ms, Overtaking: grants.Overtaking(class, now)}.Forecast()
	}
}

package inbound_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/logging"
)

// withoutLoadReports are all mechanisms but the one under test.
func withoutLoadReports() mechanism.Set {
	enabled := mechanism.All()
	enabled.LoadReports = false
	return enabled
}

// workload counts the requests at an emulated instance of 4 slots, which states its load in its answers.
type workload struct {
	emulated *instance.Instance
	// format is the text of the load with the number of running requests.
	format string
	// stays and leave block requests until they are closed.
	stays, leave chan struct{}
	// stops makes the work of a request end when its caller leaves.
	stops bool
	begun chan string

	mutex             sync.Mutex
	running, mostRuns int
}

func newWorkload(format string, stops bool) *workload {
	created := &workload{
		emulated: &instance.Instance{Name: "i-1"}, format: format, stops: stops,
		stays: make(chan struct{}), leave: make(chan struct{}), begun: make(chan string, 100),
	}
	created.emulated.Work = created.work
	return created
}

func (w *workload) work(id string, gone <-chan struct{}) {
	w.count(1)
	w.begun <- id
	switch {
	case id == "stays":
		<-w.stays
	case id[0] == 'l' && w.stops:
		<-gone
	case id[0] == 'l':
		<-w.leave
	}
	w.count(-1)
}

func (w *workload) count(change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running += change
	w.mostRuns = max(w.mostRuns, w.running)
	w.emulated.SetStatement(fmt.Sprintf("%s: "+w.format+"\r\n", instance.HeaderLoad, w.running))
}

func (w *workload) most() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.mostRuns
}

// TestAbandonedWorkKeepsItsSlots lets callers leave at once while an instance of 4 slots goes on with their
// requests. It guards against sending it more requests than its slots: instances were seen to hang then.
func TestAbandonedWorkKeepsItsSlots(t *testing.T) {
	const slots, callers, next = 4, 20, 8
	for name, row := range map[string]struct {
		format     string
		stops      bool
		mechanisms mechanism.Set
		exceeds    bool
	}{
		"instance goes on":               {"%d,0,4,100", false, mechanism.All(), false},
		"instance stops":                 {"%d,0,4,100", true, mechanism.All(), false},
		"mechanism disabled":             {"%d,0,4,100", false, withoutLoadReports(), true},
		"slowdown not stated, as before": {"%d,0,4", false, mechanism.All(), true},
		"malformed, as before":           {"%d,0,4,-100", false, mechanism.All(), true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			work := newWorkload(row.format, row.stops)
			proxy := newServedProxy(t, work.emulated, inbound.Options{Mechanisms: row.mechanisms})
			order := hop.Order{Instance: "i-1", Remaining: time.Hour, MaxWait: time.Hour, MeanServiceTime: time.Minute}
			c.Assert(deliver(proxy, "first", order).Report.Outcome, qt.Equals, hop.Answered)
			<-work.begun
			var stayed, left, served sync.WaitGroup
			stayed.Go(func() { c.Check(deliver(proxy, "stays", order).Report.Outcome, qt.Equals, hop.Answered) })
			c.Assert(<-work.begun, qt.Equals, "stays")

			ctx, leave := context.WithCancel(t.Context())
			for i := range callers {
				left.Go(func() { deliverUntil(ctx, proxy, fmt.Sprint("leaves", i), order) })
			}
			for range slots - 1 {
				<-work.begun
			}
			leave()
			left.Wait()
			for i := range next {
				served.Go(func() {
					c.Check(deliver(proxy, fmt.Sprint("next", i), order).Report.Outcome, qt.Equals, hop.Answered)
				})
			}
			if row.exceeds { // the next requests run although no other has ended
				<-work.begun
				c.Check(work.most() > slots, qt.IsTrue)
			}
			close(work.stays)
			stayed.Wait()
			close(work.leave)
			served.Wait()
			if !row.exceeds {
				c.Check(work.most(), qt.Equals, slots)
			}
		})
	}
}

func deliverUntil(ctx context.Context, proxy *inbound.Proxy, id string, order hop.Order) {
	proxy.Deliver(ctx, &message.Request{
		ID: id, Method: http.MethodGet, Target: "/t", Host: "h.example", Header: http.Header{}, Arrived: time.Now(),
	}, order)
}

// TestLoadIsObserved checks that the load in each kind of answer counts that comes from the instance itself,
// whatever its status, that malformed ones are counted, and that callers see the field as before.
func TestLoadIsObserved(t *testing.T) {
	for name, row := range map[string]struct {
		fault         instance.Fault
		load          string
		wantMalformed float64
		wantSeen      bool
	}{
		"answered":              {instance.None, "1,0,4,100", 0, true},
		"answered, malformed":   {instance.None, "1,0,4,-100", 1, true},
		"failed, malformed":     {instance.Fails, "1,0", 1, true},
		"rejected, malformed":   {instance.Reject, "many", 1, false},
		"cut off, malformed":    {instance.Cut, "1;0;4;100", 1, false},
		"answered by another":   {instance.OtherInstance, "many", 0, false},
		"no answer":             {instance.Lost, "many", 0, false},
		"mangled by line break": {instance.None, "1,0,\r\nX: 4", 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			registry := prometheus.NewRegistry()
			emulated := &instance.Instance{Name: "i-1"}
			emulated.SetStatement(instance.HeaderLoad + ": " + row.load + "\r\n")
			emulated.SetPlan(func(string) instance.Fault { return row.fault })
			proxy := newServedProxy(t, emulated, inbound.Options{Mechanisms: mechanism.All(), Registerer: registry, Logger: logging.Discard()})
			delivery := deliver(proxy, "first", hop.Order{Instance: "i-1", Remaining: time.Minute, MaxWait: time.Minute})
			c.Check(counterOf(c, registry, "winchhead_dataplane_instance_load_malformed_total"), qt.Equals, row.wantMalformed)
			if row.wantSeen {
				c.Check(delivery.Response.Header[instance.HeaderLoad], qt.HasLen, 1)
			}
		})
	}
}

func counterOf(c *qt.C, registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	c.Fatalf("no metric %s", name)
	return 0
}

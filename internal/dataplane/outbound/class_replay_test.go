package outbound

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/classshare"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// earnedFloor is the least share of the credit owed to a class that must be earned.
	earnedFloor = 0.30
	// servedMargin is by how much an urgent class may be served less often than a less urgent one, and
	// earnedMargin by how much its share of the credit may be smaller.
	servedMargin, earnedMargin = 0.05, 0.15
	classInstances             = 6
	classSenders               = 6
	classRetries               = 2
)

// requestClass is a kind of request with its callers.
type requestClass struct {
	host     string
	priority int
	rate     float64 // requests per second and instance
	work     time.Duration
	target   time.Duration
	// lateCredit is the credit for a late response; one in time earns 1.
	lateCredit float64
}

// The classes of the script service: lookups, whose work includes the calls that they make, and activations. The
// work is that on instances half to one and a half times as fast as the average.
var (
	lookups     = requestClass{host: "lookups", priority: 0, rate: 22.4, work: 160 * time.Millisecond, target: 400 * time.Millisecond, lateCredit: 0.11}
	activations = requestClass{host: "activations", priority: 1, rate: 8.6, work: 140 * time.Millisecond, target: 500 * time.Millisecond, lateCredit: 0.31}
)

// classPhase is a load for a time: multiples of the usual rates of both classes, and the share of the lookups that
// the instances fail.
type classPhase struct {
	lookups, activations float64
	failed               float64
	duration             time.Duration
}

// classPhases are 30 s with an evacuation, which brings the load of the instances that are left to 1.5 times the
// usual one, and three bursts of lookups. Half of the lookups fail for a while, as their calls are turned away.
func classPhases() []classPhase {
	return []classPhase{
		{1, 1, 0, 2 * time.Second},
		{1.5, 1.5, 0, 8 * time.Second},
		{1, 1, 0, 3 * time.Second},
		{1.9, 1, 0.5, 3300 * time.Millisecond},
		{1, 1, 0.5, 2700 * time.Millisecond},
		{1.9, 1, 0.5, 2500 * time.Millisecond},
		{1.9, 1, 0, 800 * time.Millisecond},
		{1, 1, 0, 2200 * time.Millisecond},
		{1.9, 1, 0, 3300 * time.Millisecond},
		{1, 1, 0, 2200 * time.Millisecond},
	}
}

// classResult is what became of the callers of a class.
type classResult struct{ callers, inTime, late, refused, failed, attempts atomic.Int64 }

func (r *classResult) served() float64 {
	return float64(r.inTime.Load()+r.late.Load()) / float64(r.callers.Load())
}

func (r *classResult) earned(of requestClass) float64 {
	return (float64(r.inTime.Load()) + of.lateCredit*float64(r.late.Load())) / float64(r.callers.Load())
}

func (r *classResult) String() string {
	callers := float64(r.callers.Load())
	share := func(count *atomic.Int64) float64 { return float64(count.Load()) / callers }
	return fmt.Sprintf("in time %.3f, late %.3f, refused %.3f, failed %.3f, attempts %.2f",
		share(&r.inTime), share(&r.late), share(&r.refused), share(&r.failed), share(&r.attempts))
}

// classedService delivers requests of several classes to queues instead of instances.
type classedService struct {
	replayedService
	classes map[string]requestClass
	// failed is the share of the lookups that fail now, in thousandths.
	failed atomic.Int64
}

// send queues the request for a slot and occupies it for the time of the work of its class.
func (s *classedService) send(ctx context.Context, request *message.Request, _ snapshot.Instance, order hop.Order, _ func() bool) sendResult {
	time.Sleep(replayHop)
	defer time.Sleep(replayHop)
	asked, q, class := time.Now(), s.queues[order.Instance], s.classes[request.Host]
	report := func(outcome hop.Outcome, reason hop.Reason) hop.Report {
		usage := q.Usage()
		return hop.Report{Outcome: outcome, Reason: reason, Running: usage.Running, Waiting: usage.Waiting, Slots: usage.Slots}
	}
	slot, refusal, wait := q.Acquire(ctx, replayTicket(order, asked))
	if refusal != queue.None {
		refused := report(hop.Refused, hop.ReasonOverloaded)
		refused.RetryAfter, refused.Waited = wait, time.Since(asked)
		return resultOf(refused)
	}
	waited := time.Since(asked)
	work := time.Duration((0.5 + rand.Float64()) * float64(class.work))
	time.Sleep(work)
	slot.Release(true)
	if ctx.Err() != nil {
		return resultOf(report(hop.Unknown, hop.ReasonDeadline))
	}
	answered := report(hop.Answered, hop.ReasonNone)
	answered.Execution, answered.Waited = work, waited
	result := resultOf(answered)
	if class.priority == 0 && rand.Int64N(1000) < s.failed.Load() {
		result.answer.Status = http.StatusInternalServerError
	}
	return result
}

// classReplay plays loads of several classes in virtual time.
type classReplay struct {
	service *classedService
	senders []*Proxy
	results map[string]*classResult
	callers sync.WaitGroup
}

// newClassReplay returns a replay whose queues are configured by a function.
func newClassReplay(c *qt.C, configure func(*queue.Queue), classes ...requestClass) *classReplay {
	played := &classReplay{
		service: &classedService{replayedService: replayedService{queues: make(map[string]*queue.Queue)}, classes: make(map[string]requestClass)},
		results: make(map[string]*classResult),
	}
	var routes []snapshot.Route
	for _, class := range classes {
		played.service.classes[class.host], played.results[class.host] = class, &classResult{}
		routes = append(routes, snapshot.Route{
			Name: class.host, Match: snapshot.Match{Host: class.host}, Targets: []snapshot.WeightedService{{Service: "s", Weight: 1}}, Timeout: replayDeadline,
			TargetLatency: class.target, MaxAttempts: 3, Priority: class.priority, RepeatMethods: []string{http.MethodGet},
		})
	}
	var instances []snapshot.Instance
	for i := range classInstances {
		name := "i-" + strconv.Itoa(i)
		q := queue.New(replaySlots)
		configure(q)
		played.service.queues[name] = q
		instances = append(instances, snapshot.Instance{Name: name, Service: "s", Address: name, Slots: replaySlots, State: snapshot.InstanceReady})
	}
	version := snapshot.Version{Revision: 1, Hash: snapshot.ContentHash{1}}
	built, err := snapshot.New(version, routes, []snapshot.Service{{Name: "s"}}, nil)
	c.Assert(err, qt.IsNil)
	for range classSenders {
		sender, err := New(Options{
			Names: message.Names{Deadline: deadlineHeader}, Snapshots: fixedSource{built.WithFleet(version, snapshot.Content{Instances: instances})},
			Mechanisms: mechanism.All(), Logger: logging.Discard(),
			Budget: budget.New(budget.Options{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}),
		})
		c.Assert(err, qt.IsNil)
		sender.sidecars = played.service
		useUrgentRoutes(sender)
		played.senders = append(played.senders, sender)
	}
	return played
}

// generate sends requests of a class at random times for a while.
func (p *classReplay) generate(class requestClass, factor float64, duration time.Duration, random *rand.Rand) {
	for end := time.Now().Add(duration); ; {
		time.Sleep(time.Duration(random.ExpFloat64() / (factor * class.rate * classInstances) * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		sender := p.senders[random.IntN(len(p.senders))]
		p.callers.Go(func() { p.call(sender, class) })
	}
}

// call sends the request of one caller, with its retries after rejections and failures.
func (p *classReplay) call(sender *Proxy, class requestClass) {
	started, result, status := time.Now(), p.results[class.host], 0
	for attempt := 0; attempt <= classRetries; attempt++ {
		result.attempts.Add(1)
		left := replayDeadline - time.Since(started)
		answer := sender.Serve(context.Background(), &message.Request{
			ID: "q", Method: http.MethodGet, Target: "/", Path: "/", Host: class.host, Arrived: time.Now(),
			Header: http.Header{deadlineHeader: {strconv.FormatInt(left.Milliseconds(), 10)}},
		})
		if status = answer.Status; status == http.StatusOK || status == http.StatusGatewayTimeout {
			break
		}
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		left = replayDeadline - time.Since(started)
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), left/3))
	}
	result.callers.Add(1)
	switch {
	case status == http.StatusOK && time.Since(started) <= class.target:
		result.inTime.Add(1)
	case status == http.StatusOK:
		result.late.Add(1)
	case status == http.StatusServiceUnavailable:
		result.refused.Add(1)
	default:
		result.failed.Add(1)
	}
}

// play runs the phases and returns the results of lookups and activations.
func (p *classReplay) play(phases []classPhase, seed uint64) (lookup, activation *classResult) {
	for i, each := range phases {
		p.service.failed.Store(int64(1000 * each.failed))
		var generators sync.WaitGroup
		for j, class := range []requestClass{lookups, activations} {
			factor := []float64{each.lookups, each.activations}[j]
			random := rand.New(rand.NewPCG(seed, uint64(2*i+j)))
			generators.Go(func() { p.generate(class, factor, each.duration, random) })
		}
		generators.Wait()
	}
	p.callers.Wait()
	for _, sender := range p.senders {
		sender.Stop()
	}
	return p.results[lookups.host], p.results[activations.host]
}

// shareSlots makes a queue share its slots between priorities as nodes do.
func shareSlots(q *queue.Queue) {
	q.ReserveByPriority()
	q.GuaranteeShares(classshare.New())
	q.PutLateLast()
}

// TestClassBehindUrgentOneKeepsItsFloor guards against an overload by urgent requests in which the class behind
// them earns next to nothing, although part of the slot time goes to urgent requests that are late or fail.
func TestClassBehindUrgentOneKeepsItsFloor(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				lookup, activation := newClassReplay(c, shareSlots, lookups, activations).play(classPhases(), seed)
				c.Logf("lookups:     %v, earned %.3f\nactivations: %v, earned %.3f", lookup, lookup.earned(lookups), activation, activation.earned(activations))
				c.Check(lookup.earned(lookups) >= earnedFloor, qt.IsTrue)
				c.Check(activation.earned(activations) >= earnedFloor, qt.IsTrue)
				c.Check(lookup.served() >= activation.served()-servedMargin, qt.IsTrue)
				c.Check(lookup.earned(lookups) >= activation.earned(activations)-earnedMargin, qt.IsTrue)
			})
		})
	}
}

// fixedShare guarantees each priority the same part of the slot time while it asks for any.
type fixedShare struct {
	part      float64
	askedAt   map[int]time.Time
	granted   map[int]float64 // seconds, weighted by age
	updatedAt time.Time
}

// fixedShareWindow is the time over which slot time is averaged, and for which a priority counts as asking.
const fixedShareWindow = 2 * time.Second

func newFixedShare(part float64) *fixedShare {
	return &fixedShare{part: part, askedAt: make(map[int]time.Time), granted: make(map[int]float64)}
}

func (s *fixedShare) Arrived(priority int, _ time.Duration, now time.Time) { s.askedAt[priority] = now }

func (s *fixedShare) Granted(priority int, slotTime time.Duration, now time.Time) {
	s.decay(now)
	s.granted[priority] += slotTime.Seconds()
}

func (s *fixedShare) Guaranteed(priority int, now time.Time) float64 {
	if asked, known := s.askedAt[priority]; !known || now.Sub(asked) > fixedShareWindow {
		return 0
	}
	return s.part
}

func (s *fixedShare) Owed(priority int, now time.Time) time.Duration {
	s.decay(now)
	all := 0.0
	for _, granted := range s.granted {
		all += granted
	}
	return time.Duration((s.Guaranteed(priority, now)*all - s.granted[priority]) * float64(time.Second))
}

func (s *fixedShare) decay(now time.Time) {
	factor := math.Exp(-now.Sub(s.updatedAt).Seconds() / fixedShareWindow.Seconds())
	s.updatedAt = now
	for priority := range s.granted {
		s.granted[priority] *= factor
	}
}

// wayToShare is a way to share slots between priorities.
type wayToShare struct {
	name      string
	configure func(*queue.Queue)
	kept      bool
}

// waysToShare are the ways that are compared, the one without any guarantee first.
func waysToShare() []wayToShare {
	return []wayToShare{
		{"by priority alone", (*queue.Queue).ReserveByPriority, false},
		{"late last", func(q *queue.Queue) { q.ReserveByPriority(); q.PutLateLast() }, false},
		{"guarantee alone", func(q *queue.Queue) { q.ReserveByPriority(); q.GuaranteeShares(classshare.New()) }, false},
		{"guarantee, late last", shareSlots, true},
		{"fixed eighth, late last", func(q *queue.Queue) {
			q.ReserveByPriority()
			q.PutLateLast()
			q.GuaranteeShares(newFixedShare(0.125))
		}, false},
	}
}

// TestWaysToShareSlots guards against a guarantee that serves the class behind the urgent one at the cost of the urgent
// one. It compares the ways to share slots under the same loads.
func TestWaysToShareSlots(t *testing.T) {
	// maxUrgentLoss is how much less of its credit the urgent class may earn than by priority alone.
	const maxUrgentLoss = 0.05
	for _, load := range []struct {
		name   string
		phases []classPhase
	}{
		{"bursts and an evacuation", classPhases()},
		{"urgent requests alone ask for more than there is", []classPhase{{1, 1, 0, 4 * time.Second}, {2, 1, 0, 10 * time.Second}, {1, 1, 0, 4 * time.Second}}},
		{"the class behind asks for more than there is", []classPhase{{1, 1, 0, 4 * time.Second}, {1, 5, 0, 10 * time.Second}, {1, 1, 0, 4 * time.Second}}},
		{"usual load", []classPhase{{1, 1, 0, 10 * time.Second}}},
	} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			var strict float64
			for i, way := range waysToShare() {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					lookup, activation := newClassReplay(c, way.configure, lookups, activations).play(load.phases, 1)
					c.Logf("%s\nlookups:     %v, earned %.3f\nactivations: %v, earned %.3f", way.name, lookup, lookup.earned(lookups), activation, activation.earned(activations))
					if i == 0 {
						strict = lookup.earned(lookups)
					}
					if way.kept {
						c.Check(activation.earned(activations) >= earnedFloor, qt.IsTrue)
						c.Check(lookup.earned(lookups) >= strict-maxUrgentLoss, qt.IsTrue)
						c.Check(lookup.served() >= activation.served()-servedMargin, qt.IsTrue)
					}
				})
			}
		})
	}
}

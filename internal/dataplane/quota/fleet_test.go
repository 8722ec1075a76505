package quota_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// The required bound: in each window, a tenant gets no more than its quota and a quarter of it, and
// a few requests.
const (
	window  = 5 * time.Second
	overage = 0.25
	slack   = 20
)

// fleet is a fleet of limiters on a simulated clock. Its nodes reach each other unless they are in
// different parts of a partition.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	tenant   snapshot.Tenant
	current  *snapshot.Snapshot
	names    []string
	limiters map[string]*quota.Limiter
	part     map[string]int
	// admitted and refused are when requests were, since the start.
	admitted, refused []time.Duration
	began             time.Time
	messages          int
}

var errCut = errors.New("cut off")

func newFleet(c testing.TB, nodes int, rate, burst float64, seed uint64) *fleet {
	f := &fleet{
		now: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), tenant: snapshot.Tenant{Name: "t", RequestsPerSecond: rate, Burst: burst},
		limiters: make(map[string]*quota.Limiter), part: make(map[string]int),
	}
	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("10.%d.%d.1", i/250, i%250))
	}
	f.configure(c)
	for _, name := range f.names {
		f.start(name)
	}
	f.began = f.now
	return f
}

// configure publishes the tenant and the instances.
func (f *fleet) configure(c testing.TB) {
	built, err := snapshot.New(snapshot.Version{Revision: 1}, nil, nil, nil)
	qt.Assert(c, err, qt.IsNil)
	built, err = built.WithTenants([]snapshot.Tenant{f.tenant})
	qt.Assert(c, err, qt.IsNil)
	content := snapshot.Content{}
	for i, name := range f.names {
		content.Instances = append(content.Instances, snapshot.Instance{
			Name: fmt.Sprintf("i-%d", i), Service: "s", Address: name + ":80", State: snapshot.InstanceReady,
		})
	}
	f.current = built.WithFleet(snapshot.Version{Revision: 1}, content)
}

// start starts the process of a node, which knows nothing.
func (f *fleet) start(name string) {
	limiter := quota.New(quota.Options{Node: name, Now: func() time.Time { return f.now }})
	limiter.SetTransport(func(_ context.Context, node string, message []byte) ([]byte, error) {
		if f.part[name] != f.part[node] {
			return nil, errCut
		}
		f.messages++
		return f.limiters[node].Serve(f.current, message)
	})
	limiter.Observe(f.current)
	f.limiters[name] = limiter
}

// request sends a request at a node.
func (f *fleet) request(name string) {
	decision := f.limiters[name].Admit(context.Background(), f.current, &f.tenant)
	if decision.Admitted {
		f.admitted = append(f.admitted, f.now.Sub(f.began))
	} else {
		f.refused = append(f.refused, f.now.Sub(f.began))
	}
}

// step is the resolution of the simulated clock.
const step = 5 * time.Millisecond

// run sends requests at a mean rate for a while, each at a node that choose returns.
func (f *fleet) run(length time.Duration, rate float64, choose func() string) {
	next := f.random.ExpFloat64() / rate
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for next -= step.Seconds(); next < 0; next += f.random.ExpFloat64() / rate {
			f.request(choose())
		}
	}
}

func (f *fleet) anywhere() string { return f.names[f.random.IntN(len(f.names))] }

// worstWindow returns the highest share of the bound that was used in any window.
func (f *fleet) worstWindow(rate, burst float64) float64 {
	bound := (rate*window.Seconds()+burst)*(1+overage) + slack
	first, most := 0, 0
	for last, at := range f.admitted {
		for at-f.admitted[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return float64(most) / bound
}

// A tenant whose demand stays below its quota must not be refused, wherever its requests start: 1 in
// 1,000 at most. That does not hold if each node has an equal part of the quota.
func TestRequestsBelowTheQuotaAreAdmitted(t *testing.T) {
	const rate, burst, demand = 50, 50, 30
	for _, nodes := range []int{13, 84, 300} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			f := newFleet(t, nodes, rate, burst, 1)
			f.now = f.now.Add(2 * time.Second)
			f.run(60*time.Second, demand, f.anywhere)
			total := len(f.admitted) + len(f.refused)
			t.Logf("%d of %d refused, %.2f messages a request", len(f.refused), total, float64(f.messages)/float64(total))
			qt.Check(t, len(f.refused)*1000 <= total, qt.IsTrue)
			qt.Check(t, f.messages <= total, qt.IsTrue, qt.Commentf("%d messages: at most one a request, whatever the nodes", f.messages))

			before := len(f.refused)
			other := f.names[nodes-1]
			f.run(time.Second, demand, func() string { return other })
			qt.Check(t, (len(f.refused)-before)*50 <= demand, qt.IsTrue, qt.Commentf("refused after the demand moved"))
			t.Logf("equal parts: %.3f of the requests refused", equalPartsRefuse(nodes, rate, burst, demand))
		})
	}
}

// equalPartsRefuse returns the share of requests that is refused below the quota if each node has an
// equal part of it.
func equalPartsRefuse(nodes int, rate, burst, demand float64) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	capacity := max(burst/float64(nodes), 1)
	levels, updated := make([]float64, nodes), make([]float64, nodes)
	refused, total := 0, 0
	for now := 0.0; now < 60; now += random.ExpFloat64() / demand {
		node := random.IntN(nodes)
		levels[node] = min(levels[node]+(now-updated[node])*rate/float64(nodes), capacity)
		updated[node] = now
		if total++; levels[node] < 1 {
			refused++
			continue
		}
		levels[node]--
	}
	return float64(refused) / float64(total)
}

// A tenant that sends many times its quota gets its quota, and not more than the bound: with requests
// spread over all nodes, at one node, and while nodes restart.
func TestTenantBeyondItsQuota(t *testing.T) {
	const rate, burst, hot = 40, 40, 400
	for _, nodes := range []int{13, 84, 300, 1000} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			f := newFleet(t, nodes, rate, burst, 2)
			f.now = f.now.Add(5 * time.Second)
			f.run(10*time.Second, hot, f.anywhere)
			spreadOut := len(f.admitted)
			qt.Check(t, spreadOut >= rate*10*9/10, qt.IsTrue, qt.Commentf("%d admitted", spreadOut))
			f.run(10*time.Second, hot, func() string { return f.names[0] })
			qt.Check(t, len(f.admitted)-spreadOut >= rate*10*9/10, qt.IsTrue, qt.Commentf("%d admitted at one node", len(f.admitted)-spreadOut))
			f.run(10*time.Second, hot, func() string {
				if f.random.IntN(20) == 0 {
					f.start(f.anywhere())
				}
				return f.anywhere()
			})
			worst := f.worstWindow(rate, burst)
			t.Logf("worst window: %.2f of the bound; %d messages for %d requests", worst, f.messages, len(f.admitted)+len(f.refused))
			qt.Check(t, worst <= 1, qt.IsTrue, qt.Commentf("worst window: %.2f of the bound", worst))
			qt.Check(t, f.messages <= len(f.admitted)+len(f.refused), qt.IsTrue, qt.Commentf("%d messages: at most one a request, whatever the nodes", f.messages))
		})
	}
}

// oneBucketAdmits returns how many of the requests a single bucket would admit that sees all of them.
func oneBucketAdmits(requests []time.Duration, rate, burst float64) (admitted int) {
	level, last := burst, time.Duration(0)
	for _, at := range requests {
		level = min(level+(at-last).Seconds()*rate, burst)
		last = at
		if level >= 1 {
			level--
			admitted++
		}
	}
	return admitted
}

// Near its quota and beyond it, a tenant whose requests start all over the fleet is admitted what one
// bucket for all would admit: no token is lost on the way to a node, or by a node that does not use it.
func TestQuotaIsUsedInFull(t *testing.T) {
	for _, nodes := range []int{13, 84} {
		for _, rate := range []float64{5, 400} {
			for _, demand := range []float64{0.9, 1.1, 3} {
				t.Run(fmt.Sprintf("%d nodes, %.0f a second, demand %.1f", nodes, rate, demand), func(t *testing.T) {
					f := newFleet(t, nodes, rate, rate, 7)
					f.now = f.now.Add(5 * time.Second)
					f.began = f.now
					f.run(20*time.Second, demand*rate, f.anywhere)
					all := slices.Sorted(slices.Values(slices.Concat(f.admitted, f.refused)))
					wanted := oneBucketAdmits(all, rate, rate)
					t.Logf("%d of %d admitted, by one bucket %d", len(f.admitted), len(all), wanted)
					qt.Check(t, float64(len(f.admitted)) >= 0.99*float64(wanted), qt.IsTrue)
				})
			}
		}
	}
}

// Whatever is cut off or restarts and wherever the demand comes from, the sum over all nodes stays
// below the bound in every window.
func TestFleetKeepsTheQuota(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		nodes := rapid.SampledFrom([]int{2, 13, 84}).Draw(drawn, "nodes")
		rate := rapid.SampledFrom([]float64{2, 40, 271}).Draw(drawn, "rate")
		burst := rate * rapid.SampledFrom([]float64{0, 1, 3}).Draw(drawn, "burst")
		f := newFleet(t, nodes, rate, burst, rapid.Uint64().Draw(drawn, "seed"))
		for range rapid.IntRange(1, 6).Draw(drawn, "periods") {
			parts := rapid.IntRange(1, 3).Draw(drawn, "parts")
			for _, name := range f.names {
				f.part[name] = 0
				if f.random.IntN(4) == 0 {
					f.part[name] = f.random.IntN(parts)
				}
			}
			for range rapid.IntRange(0, nodes).Draw(drawn, "restarts") {
				f.start(f.anywhere())
			}
			choose := f.anywhere
			if rapid.Bool().Draw(drawn, "at one node") {
				only := f.anywhere()
				choose = func() string { return only }
			}
			length := time.Duration(rapid.IntRange(100, 6000).Draw(drawn, "milliseconds")) * time.Millisecond
			f.run(length, rate*rapid.SampledFrom([]float64{0.5, 2, 10}).Draw(drawn, "demand"), choose)
		}
		if worst := f.worstWindow(rate, burst); worst > 1 {
			drawn.Fatalf("worst window: %.2f of the bound", worst)
		}
	})
}

// A lower quota binds the next window.
func TestLowerQuotaBindsAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 84, 100, 100, 3)
	f.now = f.now.Add(5 * time.Second)
	f.run(5*time.Second, 500, f.anywhere)
	f.tenant.RequestsPerSecond, f.tenant.Burst = 10, 10
	f.configure(t)
	f.began, f.admitted = f.now, nil
	f.run(15*time.Second, 500, f.anywhere)
	worst := f.worstWindow(10, 10)
	c.Logf("worst window: %.2f of the bound", worst)
	c.Check(worst <= 1, qt.IsTrue)
	c.Check(len(f.admitted) >= 10*15*9/10, qt.IsTrue)
}

// Callers beyond the quota are told to come back when it has room again: the more are refused, the
// later.
func TestRetryAfterGrowsWithTheExcess(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1, 10, 10, 4)
	f.now = f.now.Add(5 * time.Second)
	admit := func() quota.Decision {
		f.now = f.now.Add(time.Millisecond)
		return f.limiters[f.names[0]].Admit(context.Background(), f.current, &f.tenant)
	}
	for range 10 {
		c.Assert(admit().Admitted, qt.IsTrue)
	}
	first := admit()
	c.Assert(first.Admitted, qt.IsFalse)
	var last quota.Decision
	for range 30 {
		f.now = f.now.Add(20 * time.Millisecond)
		if decision := admit(); !decision.Admitted {
			last = decision
		}
	}
	c.Check(last.RetryAfter > first.RetryAfter, qt.IsTrue, qt.Commentf("%s, then %s", first.RetryAfter, last.RetryAfter))
}

// The token of a request that reached no instance serves the next one.
func TestReturnedTokens(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1, 0.1, 1, 5)
	f.now = f.now.Add(time.Minute)
	limiter := f.limiters[f.names[0]]
	admitted := func() bool {
		return limiter.Admit(context.Background(), f.current, &f.tenant).Admitted
	}
	c.Assert(admitted(), qt.IsTrue)
	c.Check(admitted(), qt.IsFalse)
	limiter.Return(&f.tenant)
	c.Check(admitted(), qt.IsTrue)
	c.Check(admitted(), qt.IsFalse)
}

// Messages of other nodes that are malformed grant nothing.
func TestMalformedMessages(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1, 10, 10, 6)
	for _, message := range [][]byte{nil, {0}, {2, 't'}, {2, 't', 0}, {2, 't', 1}, []byte("nonsense")} {
		_, err := f.limiters[f.names[0]].Serve(f.current, message)
		c.Check(err, qt.IsNotNil, qt.Commentf("%v", message))
	}
}

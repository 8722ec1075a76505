package queue_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// tenantLoad is a load of several tenants on one instance, in requests a second by tenant.
type tenantLoad map[string]float64

const (
	sharedSlots  = 8
	sharedTime   = 100 * time.Millisecond
	sharedSpan   = 60 * time.Second
	hotTenant    = "hot"
	hotFactor    = 10
	maxLostShare = 0.05
)

// steadyTenants returns tenants of a usual rate, of which one may be hot, in requests a second.
func steadyTenants(count int, rate float64) tenantLoad {
	load := tenantLoad{hotTenant: rate}
	for i := range count - 1 {
		load[fmt.Sprint("steady-", i)] = rate
	}
	return load
}

// mixedTenants is like steadyTenants, with further tenants that send little.
func mixedTenants(count int, rate float64) tenantLoad {
	load := steadyTenants(count, rate)
	for i := range 100 {
		load[fmt.Sprint("small-", i)] = 0.03
	}
	return load
}

// heated returns the load with the hot tenant at hotFactor times its rate.
func (l tenantLoad) heated() tenantLoad {
	heated := tenantLoad{}
	for tenant, rate := range l {
		heated[tenant] = rate
	}
	heated[hotTenant] *= hotFactor
	return heated
}

// serve plays a load in virtual time and returns the requests that got a slot, by tenant.
func serve(q *queue.Queue, load tenantLoad) map[string]int {
	served := make(chan string, 1)
	counts := make(map[string]int)
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for tenant := range served {
			counts[tenant]++
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), sharedSpan)
	defer cancel()
	ended := make(chan struct{}, len(load))
	number := uint64(0)
	for _, tenant := range slices.Sorted(maps.Keys(load)) {
		number++
		random := rand.New(rand.NewPCG(number, number))
		go func() {
			defer func() { ended <- struct{}{} }()
			sendAtRate(ctx, q, tenant, load[tenant], random, served)
		}()
	}
	for range load {
		<-ended
	}
	time.Sleep(time.Second) // until the last requests have ended
	synctest.Wait()
	close(served)
	<-counted
	return counts
}

// sendAtRate sends requests of a tenant at random times until the context ends.
func sendAtRate(ctx context.Context, q *queue.Queue, tenant string, rate float64, random *rand.Rand, served chan<- string) {
	for {
		timer := time.NewTimer(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		go func() {
			wanted := ticket(1, 300*time.Millisecond)
			wanted.Tenant, wanted.Expected, wanted.LatestStart = tenant, sharedTime, time.Now().Add(time.Second)
			slot, refusal, _ := q.Acquire(context.Background(), wanted)
			if refusal != queue.None {
				return
			}
			time.Sleep(sharedTime)
			slot.Release(true)
			served <- tenant
		}()
	}
}

// lostByOthers returns the largest share that any other tenant loses of what it gets while the hot one
// sends at its usual rate, over tenants with enough requests to tell.
func lostByOthers(usual, heated map[string]int) float64 {
	const enough = 100
	most := 0.0
	for tenant, without := range usual {
		if tenant != hotTenant && without >= enough {
			most = max(most, 1-float64(heated[tenant])/float64(without))
		}
	}
	return most
}

// TestHotTenantDoesNotStarveOthers guards against a tenant that sends ten times its usual load and takes
// the slots of an instance from all others of its priority: the instance is offered 1.5 times what it can
// do, and without shares each tenant loses a third.
func TestHotTenantDoesNotStarveOthers(t *testing.T) {
	const capacity = sharedSlots * float64(time.Second) / float64(sharedTime)
	const tenants, overload = 10, 1.5
	rate := overload * capacity / (hotFactor + tenants - 1)
	loads := map[string]tenantLoad{"ten tenants": steadyTenants(tenants, rate), "and a hundred small ones": mixedTenants(tenants, rate)}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			lost := func(configure func(q *queue.Queue)) (share float64, hot int) {
				play := func(load tenantLoad) (served map[string]int) {
					synctest.Test(t, func(*testing.T) {
						q := queue.New(sharedSlots)
						configure(q)
						served = serve(q, load)
					})
					return served
				}
				heated := play(load.heated())
				return lostByOthers(play(load), heated), heated[hotTenant]
			}
			shared, hot := lost(func(*queue.Queue) {})
			unshared, unsharedHot := lost(func(q *queue.Queue) { q.SetFairness(queue.NoShares{}) })
			equal, equalHot := lost(func(q *queue.Queue) { q.SetFairness(queue.NewEqualShares()) })
			t.Logf("lost by the worst of the others, served of the hot one: max-min %.3f, %d; equal %.3f, %d; none %.3f, %d",
				shared, hot, equal, equalHot, unshared, unsharedHot)
			qt.Check(t, shared <= maxLostShare, qt.IsTrue, qt.Commentf("%.3f", shared))
			qt.Check(t, unshared > maxLostShare, qt.IsTrue, qt.Commentf("the load doesn't show what shares are for: %.3f", unshared))
			qt.Check(t, hot > 0, qt.IsTrue)
		})
	}
}

// BenchmarkAcquire measures a request of one of many tenants that share an instance.
func BenchmarkAcquire(b *testing.B) {
	for _, tenants := range []int{1, 1000} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			q := queue.New(sharedSlots)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				wanted := ticket(1, time.Second)
				wanted.Tenant = tenantNames[i%tenants]
				slot, _, _ := q.Acquire(context.Background(), wanted)
				slot.Release(true)
			}
		})
	}
}

// tenantNames are names of tenants.
var tenantNames = func() (names []string) {
	for i := range 1000 {
		names = append(names, fmt.Sprint("tenant-", i))
	}
	return names
}()

// TestSharesCostTheSameForManyTenants guards against a cost of a request that grows with the tenants that
// share an instance.
func TestSharesCostTheSameForManyTenants(t *testing.T) {
	const requests = 2000
	allocations := func(tenants int) float64 {
		q, i := queue.New(sharedSlots), 0
		return testing.AllocsPerRun(requests, func() {
			wanted := ticket(1, time.Second)
			wanted.Tenant = tenantNames[i%tenants]
			i++
			slot, _, _ := q.Acquire(context.Background(), wanted)
			slot.Release(true)
		})
	}
	few, many := allocations(10), allocations(len(tenantNames))
	t.Logf("allocations a request: %.0f for 10 tenants, %.0f for %d", few, many, len(tenantNames))
	qt.Check(t, many <= few+1, qt.IsTrue)
}

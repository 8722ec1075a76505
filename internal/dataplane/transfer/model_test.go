package transfer_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// sharedLink simulates a link of 10 Mbit/s that transmits data in the order in which it is
// written, on the fake clock of synctest.
type sharedLink struct {
	mutex sync.Mutex
	free  time.Time
	bytes int
}

const linkBytesPerSecond = 10e6 / 8

// Write returns once the data is transmitted.
func (l *sharedLink) Write(data []byte) (int, error) {
	l.mutex.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(len(data)) / linkBytesPerSecond * float64(time.Second)))
	l.bytes += len(data)
	transmitted := l.free
	l.mutex.Unlock()
	time.Sleep(time.Until(transmitted))
	return len(data), nil
}

const (
	bodyBytes  = 60_000
	callBytes  = 600
	target     = 1200 * time.Millisecond
	work       = 250 * time.Millisecond
	loadFactor = 1.6
	loadTime   = 5 * time.Second
)

// TestOverloadedLink offers 1.6 times the link's capacity. It checks that the bodies that
// fit are in time, that the others are refused early without having sent anything, and that
// small calls on the same link are transmitted quickly.
func TestOverloadedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		link, gate := &sharedLink{}, transfer.NewGate(transfer.Options{BytesPerSecond: linkBytesPerSecond})
		random := rand.New(rand.NewPCG(1, 2))
		var mutex sync.Mutex
		var inTime, late, sent int
		var refusals, calls []time.Duration
		upload := func() {
			began := time.Now()
			ticket := queue.Ticket{
				Due: began.Add(target / 2), LatestStart: began.Add(4 * target), MaxWait: target/2 - gate.Duration(bodyBytes),
			}
			grant, refusal, _ := gate.Acquire(context.Background(), ticket, bodyBytes)
			mutex.Lock()
			defer mutex.Unlock()
			if refusal != queue.None {
				refusals = append(refusals, time.Since(began))
				return
			}
			sent++
			mutex.Unlock()
			err := (*transfer.Egress)(nil).Write(link, make([]byte, bodyBytes), transfer.Order{Pace: gate.Pace()})
			grant.Received()
			mutex.Lock()
			c.Check(err, qt.IsNil)
			if time.Since(began)+work <= target {
				inTime++
			} else {
				late++
			}
		}
		call := func() {
			began := time.Now()
			_, _ = link.Write(make([]byte, callBytes))
			mutex.Lock()
			defer mutex.Unlock()
			calls = append(calls, time.Since(began))
		}
		var running sync.WaitGroup
		meanInterval := time.Duration(bodyBytes / linkBytesPerSecond / loadFactor * float64(time.Second))
		for began := time.Now(); time.Since(began) < loadTime; {
			running.Go(upload)
			running.Go(call)
			time.Sleep(time.Duration(random.ExpFloat64() * float64(meanInterval)))
		}
		running.Wait()

		capacity := loadTime.Seconds() * gate.Rate() / bodyBytes
		slices.Sort(calls)
		slices.Sort(refusals)
		c.Check(float64(inTime) >= 0.9*capacity, qt.IsTrue, qt.Commentf("%d of %.0f in time, %d late", inTime, capacity, late))
		c.Check(calls[len(calls)*99/100] < 120*time.Millisecond, qt.IsTrue, qt.Commentf("%s", calls[len(calls)*99/100]))
		c.Check(len(refusals) > 0, qt.IsTrue)
		c.Check(refusals[len(refusals)*9/10] <= target/4, qt.IsTrue, qt.Commentf("%s", refusals[len(refusals)*9/10]))
		c.Check(link.bytes, qt.Equals, sent*bodyBytes+len(calls)*callBytes) // refused bodies sent nothing
	})
}

// TestStalledBodyReleasesTheLink guards against a sender that stalls within a body and blocks
// the link for others.
func TestStalledBodyReleasesTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		gate := transfer.NewGate(transfer.Options{BytesPerSecond: linkBytesPerSecond})
		now := time.Now()
		ticket := queue.Ticket{Due: now.Add(time.Minute), LatestStart: now.Add(time.Hour), MaxWait: time.Minute}
		stalled, refusal, _ := gate.Acquire(context.Background(), ticket, bodyBytes)
		c.Assert(refusal, qt.Equals, queue.None)
		next, refusal, _ := gate.Acquire(context.Background(), ticket, bodyBytes)
		c.Assert(refusal, qt.Equals, queue.None)
		c.Check(time.Since(now) < time.Second, qt.IsTrue)
		stalled.Release() // has no effect on the other grant
		c.Check(gate.Backlog() > 0, qt.IsTrue)
		next.Received()
		c.Check(gate.Backlog(), qt.Equals, time.Duration(0))
	})
}

// TestRateIsEstimated checks that without a configured capacity, the highest recently
// observed rate is used.
func TestRateIsEstimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		gate := transfer.NewGate(transfer.Options{})
		c.Check(gate.Pace(), qt.Equals, int64(0))
		for range 3 { // a minute each, after which the initial rate is replaced
			now := time.Now()
			ticket := queue.Ticket{Due: now, LatestStart: now.Add(time.Hour), MaxWait: time.Minute}
			grant, refusal, _ := gate.Acquire(context.Background(), ticket, 100_000)
			c.Assert(refusal, qt.Equals, queue.None)
			time.Sleep(100 * time.Millisecond)
			grant.Received()
			time.Sleep(time.Minute)
		}
		c.Check(gate.Rate(), qt.Equals, 1e6)
		c.Check(gate.Duration(500_000), qt.Equals, 500*time.Millisecond)
	})
}

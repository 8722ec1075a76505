package queue_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// drawnRequest is a request that is sent some time after the one before.
type drawnRequest struct {
	priority                       int
	pause, maxWait, service, leave time.Duration
}

func drawRequest(t *rapid.T) drawnRequest {
	millis := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	return drawnRequest{
		priority: rapid.SampledFrom([]int{-1, 0, 0, 0, 1, 2, 2, 7, 8, 1000}).Draw(t, "priority"),
		pause:    millis(100, "pause"), maxWait: millis(2000, "max wait"), service: millis(500, "service"),
		leave: millis(4000, "leave"),
	}
}

// TestSlotsHeldByClassStayWithinLimits guards against a class that is granted more slots than its limit, and
// against a request that waits although nothing holds it back: at the end, none waits and no slot is held.
func TestSlotsHeldByClassStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		slots := rapid.IntRange(1, 9).Draw(drawn, "slots")
		requests := rapid.SliceOfN(rapid.Custom(drawRequest), 1, 120).Draw(drawn, "requests")
		reserve := rapid.IntRange(0, 10).Draw(drawn, "reserve")
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = playDrawn(slots, reserve, requests) })
		if fault != "" {
			drawn.Fatal(fault)
		}
	})
}

// playDrawn returns what is wrong after or while the requests are sent.
func playDrawn(slots, reserve int, requests []drawnRequest) (fault string) {
	q := queue.New(slots)
	q.ReserveFixed(reserve)
	var ended, beyond atomic.Int64
	for _, each := range requests {
		time.Sleep(each.pause)
		go func() {
			defer ended.Add(1)
			ctx, cancel := context.WithTimeout(context.Background(), each.leave)
			defer cancel()
			slot, _, _ := q.Acquire(ctx, ticket(each.priority, each.maxWait))
			if slot == nil {
				return
			}
			if !withinLimits(q, each.priority) {
				beyond.Add(1)
			}
			time.Sleep(each.service)
			slot.Release(true)
		}()
		synctest.Wait()
		if usage := q.Usage(); usage.Running == 0 && usage.Waiting > 0 {
			fault = fmt.Sprintf("%d requests wait for an idle instance", usage.Waiting)
		}
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	switch usage := q.Usage(); {
	case int(ended.Load()) != len(requests), usage != queue.Usage{Slots: slots}, q.Reserved() != 0:
		return fmt.Sprintf("%d of %d requests have ended, %+v, %d reserved", ended.Load(), len(requests), usage, q.Reserved())
	case beyond.Load() > 0:
		return fmt.Sprintf("%d slots were granted beyond the limit of a class", beyond.Load())
	}
	return fault
}

// withinLimits reports whether the class of a priority and those before it hold no more than their limits. It
// is called at the moment of a grant, as a limit may fall below what is held.
func withinLimits(q *queue.Queue, priority int) bool {
	for each := range min(max(priority, 0), 7) + 1 {
		if held, limit := q.HeldFrom(each); held > limit {
			return false
		}
	}
	return true
}

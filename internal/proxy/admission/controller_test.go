package admission_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/winchhead/winchhead/internal/proxy/admission"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAcquireStopsWaiting(t *testing.T) {
	for _, test := range []struct {
		name   string
		act    func(slot *admission.Slot, cancel context.CancelFunc)
		cause  admission.Cause
		passed time.Duration
	}{
		{"slot released", func(slot *admission.Slot, _ context.CancelFunc) { slot.Release() }, admission.CauseNone, 0},
		{"caller disconnects", func(_ *admission.Slot, cancel context.CancelFunc) { cancel() }, admission.CauseCancelled, 0},
		{"deadline exceeded", func(*admission.Slot, context.CancelFunc) {}, admission.CauseExpired, time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				controller := admission.NewController(admission.Limits{Slots: 1, Connections: 2, MaxQueued: 1})
				began := time.Now()
				wanted := admission.Request{Route: "a", Deadline: began.Add(time.Minute)}
				holding, _ := controller.Acquire(t.Context(), wanted)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var slot *admission.Slot
				var refusal admission.Refusal
				done := make(chan struct{})
				go func() {
					defer close(done)
					slot, refusal = controller.Acquire(ctx, wanted)
				}()
				synctest.Wait()
				c.Assert(controller.Usage().Queued, qt.Equals, 1)
				test.act(holding, cancel)
				<-done
				c.Check(refusal.Cause, qt.Equals, test.cause)
				c.Check(time.Since(began), qt.Equals, test.passed)
				holding.Release()
				if slot != nil {
					slot.Release()
				}
				c.Check(controller.Usage(), qt.Equals, admission.Usage{Slots: 1})
			})
		})
	}
}

// Callers concurrently acquire slots, cancel and become sessions. At no time do more
// requests run than there are slots.
func TestConcurrentRequestsStayWithinSlots(t *testing.T) {
	c := qt.New(t)
	const slots, callers = 3, 200
	controller := admission.NewController(admission.Limits{Slots: slots, Connections: 6, MaxQueued: callers})
	running := make(chan struct{}, slots) // sending to the full channel means that the limit was exceeded
	var group sync.WaitGroup
	for number := range callers {
		group.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if number%5 == 0 {
				go cancel()
			}
			slot, _ := controller.Acquire(ctx, admission.Request{Route: "a", Deadline: time.Now().Add(time.Hour)})
			if slot == nil {
				return
			}
			select {
			case running <- struct{}{}:
			default:
				t.Error("more requests run than there are slots")
				return
			}
			<-running
			if number%7 == 0 {
				slot.BecomeSession()
			}
			slot.Release()
			slot.Release()
		})
	}
	group.Wait()
	c.Check(controller.Usage(), qt.Equals, admission.Usage{Slots: slots})
}

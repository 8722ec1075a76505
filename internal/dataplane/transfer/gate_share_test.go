package transfer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// TestLessUrgentBodiesPass guards against bodies that never get the link while bodies of higher priority ask for more
// than it bears: they get half of their proportional share of it.
func TestLessUrgentBodiesPass(t *testing.T) {
	const (
		urgentLoad, behindLoad = 1.5, 0.5 // of the link
		span                   = 20 * time.Second
	)
	for name, shares := range map[string]bool{"by priority alone": false, "with a guarantee": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := transfer.NewGate(transfer.Options{BytesPerSecond: linkBytesPerSecond, ClassShares: shares})
				var passed [2]atomic.Int64
				send := func(priority int, load float64) {
					interval := time.Duration(float64(gate.Duration(bodyBytes)) / load)
					for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
						now := time.Now()
						ticket := queue.Ticket{Priority: priority, Due: now.Add(target), LatestStart: now.Add(2 * target), MaxWait: target}
						go func() {
							grant, _, _ := gate.Acquire(context.Background(), ticket, bodyBytes)
							if grant == nil {
								return
							}
							time.Sleep(gate.Duration(bodyBytes))
							grant.Received()
							passed[priority].Add(1)
						}()
					}
				}
				go send(0, urgentLoad)
				go send(1, behindLoad)
				time.Sleep(2 * span)
				link := span.Seconds() / gate.Duration(bodyBytes).Seconds()
				share := float64(passed[1].Load()) / link
				t.Logf("urgent %d, behind %d, of %.0f", passed[0].Load(), passed[1].Load(), link)
				guaranteed := behindLoad / (urgentLoad + behindLoad) / 2
				qt.Check(t, share >= 0.9*guaranteed, qt.Equals, shares)
				qt.Check(t, float64(passed[0].Load())/urgentLoad >= float64(passed[1].Load())/behindLoad, qt.IsTrue)
			})
		})
	}
}

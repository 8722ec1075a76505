package source_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/source"
)

// TestStallTimeout checks that a read goes on as long as enough of its answer arrives, however
// long it takes in total, and ends one stall timeout after that stops.
func TestStallTimeout(t *testing.T) {
	const (
		first = 3 * time.Second
		stall = time.Second
		step  = 500 * time.Millisecond
	)
	rows := map[string]struct {
		header time.Duration // when the header arrives; zero: never
		bytes  int           // that arrive in each step after the header
		steps  int
		lasts  time.Duration
		reason string
	}{
		"nothing arrives":         {lasts: first, reason: "no answer before the timeout"},
		"only the header arrives": {header: 2 * time.Second, lasts: 2*time.Second + stall, reason: "the answer stalled: too little data before the timeout"},
		"a large answer":          {header: time.Second, bytes: 100_000, steps: 100, lasts: time.Second + 100*step + stall, reason: "the answer stalled: too little data before the timeout"},
		"a trickle":               {header: time.Second, bytes: 100, steps: 100, lasts: time.Second + stall, reason: "the answer stalled: too little data before the timeout"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				began := time.Now()
				outer, endOuter := source.WithStallTimeout(context.Background(), time.Hour, time.Hour)
				defer endOuter()
				ctx, end := source.WithStallTimeout(outer, first, stall)
				defer end()
				go func() {
					if row.header == 0 {
						return
					}
					time.Sleep(row.header)
					source.ReportProgress(ctx, 0)
					for range row.steps {
						time.Sleep(step)
						source.ReportProgress(ctx, row.bytes)
					}
				}()
				<-ctx.Done()
				c.Check(time.Since(began), qt.Equals, row.lasts)
				c.Check(context.Cause(ctx), qt.ErrorMatches, row.reason)
				c.Check(outer.Err(), qt.IsNil)
				time.Sleep(time.Hour) // lets the sending goroutine end
			})
		})
	}
}

// TestPauseStopsTheTimeout checks that a read that waits for another read of its process does
// not time out meanwhile, and has its full timeout afterwards.
func TestPauseStopsTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, end := source.WithStallTimeout(context.Background(), time.Second, time.Second)
		defer end()
		resume := source.PauseStallTimeout(ctx)
		time.Sleep(time.Minute)
		c.Assert(ctx.Err(), qt.IsNil)
		resumed := time.Now()
		resume()
		<-ctx.Done()
		c.Check(time.Since(resumed), qt.Equals, time.Second)
	})
}

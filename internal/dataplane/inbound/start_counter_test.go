package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestStartCounter compares the counter with a list of all starts: it must count those since a time, and no
// more than those of one step before it.
func TestStartCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := modelStart
		counter := startCounter{epoch: now}
		var starts []time.Time
		countSince := func(since time.Time) (count int) {
			for _, at := range starts {
				if !at.Before(since) {
					count++
				}
			}
			return count
		}
		for range rapid.IntRange(0, 200).Draw(t, "starts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "interval")) * time.Millisecond)
			counter.add(now)
			starts = append(starts, now)
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause")) * time.Millisecond)
		since := now.Add(-time.Duration(rapid.IntRange(0, 4900).Draw(t, "ago")) * time.Millisecond)
		got := counter.since(since, now)
		if least, most := countSince(since), countSince(since.Add(-countedStep)); got < least || got > most {
			t.Fatalf("counted %d starts, want %d to %d", got, least, most)
		}
	})
}

// TestStartCounterForgets checks that nothing is left of starts long ago.
func TestStartCounterForgets(t *testing.T) {
	counter := startCounter{epoch: modelStart}
	counter.add(modelStart)
	now := modelStart.Add(time.Hour)
	qt.Check(t, counter.since(modelStart, now), qt.Equals, 0)
}

package client

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConnectionsAfterBursts replays the use of the connections to one node and checks how many stay
// open. It guards against connections that a burst opened and that stay for the whole idle timeout,
// and against closing those that the next burst needs.
func TestConnectionsAfterBursts(t *testing.T) {
	const pruneInterval = 2 * time.Second
	burstEach := func(period time.Duration) func(time.Duration) int {
		return func(at time.Duration) int {
			if at%period < 3*time.Second {
				return 40
			}
			return 2
		}
	}
	for name, row := range map[string]struct {
		// inUse returns how many connections are used at once.
		inUse func(at time.Duration) int
		// opened is how many connections are opened in a minute, left how many are open at its end.
		opened, left int
	}{
		"steady":                   {func(time.Duration) int { return 8 }, 8, 8},
		"one burst":                {burstEach(time.Hour), 40, 2},
		"bursts after 5 s each":    {burstEach(8 * time.Second), 40, 40},
		"bursts after 27 s each":   {burstEach(30 * time.Second), 40 + 38, 2},
		"a request each 20 s":      {func(at time.Duration) int { return map[bool]int{true: 1}[at%(20*time.Second) == 0] }, 1, 1},
		"many requests, then none": {func(at time.Duration) int { return map[bool]int{true: 30}[at < time.Second] }, 30, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var use recentUse
			start := time.Now()
			open, opened := 0, 0
			for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
				inUse := row.inUse(at)
				opened += max(inUse-open, 0)
				open = max(open, inUse)
				use.record(start.Add(at), inUse)
				if at%pruneInterval == 0 {
					open -= use.unneeded(start.Add(at), inUse, open-inUse)
				}
			}
			c.Check(opened, qt.Equals, row.opened)
			c.Check(open, qt.Equals, row.left)
		})
	}
}

// TestTrimClosesLongestIdle: the connections beyond those used lately are closed, and the one used
// last stays.
func TestTrimClosesLongestIdle(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	pool := NewPool(Options{
		Address: startAnswering(c), ConnectTimeout: time.Minute, IdleTimeout: time.Hour,
		Now: func() time.Time { return now },
	})
	c.Cleanup(pool.Close)
	responses := make([]*Response, 3)
	for i := range responses {
		response, err := pool.Do(context.Background(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		c.Assert(err, qt.IsNil)
		responses[i] = response
	}
	for _, response := range responses {
		response.Discard()
	}
	last := pool.idle[2]
	pool.Trim(now)
	c.Check(pool.Open(), qt.Equals, 3)
	for range 2 {
		now = now.Add(recentUseTime)
		pool.Trim(now)
	}
	c.Check(pool.Open(), qt.Equals, 1)
	c.Check(pool.idle, qt.HasLen, 1)
	c.Check(pool.idle[0] == last, qt.IsTrue)
}
